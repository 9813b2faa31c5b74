package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// maxBytesSinceSnapshot bounds the log on disk and in memory between snapshots when commands
// are large.
const maxBytesSinceSnapshot = 8 << 20

// process handles the output of the consensus state machine until there is none left. It syncs
// first, publishes, and then sends, applies and returns results.
func (n *Node) process() error {
	for {
		n.requestReads()
		r := n.core.Ready()
		if r.IsEmpty() {
			n.publish()
			return errors.Trace(n.recordRemoval())
		}
		if err := n.execute(r); err != nil {
			return errors.Trace(err)
		}
	}
}

func (n *Node) execute(r raft.Ready) error {
	if err := n.wal.Save(r); err != nil {
		return errors.Trace(err)
	}
	n.publish()
	n.transport.send(r.Messages)
	if r.Snapshot != nil {
		if err := n.restore(*r.Snapshot); err != nil {
			return errors.Trace(err)
		}
	}
	answers := n.apply(r.Committed)
	n.core.Advance(r)
	if err := n.compact(); err != nil {
		return errors.Trace(err)
	}
	// The state is published before the results are returned: a read that starts after a write
	// has returned must see the index of that write.
	n.publish()
	for _, a := range answers {
		a.to.done <- a.outcome
	}
	for _, read := range r.Reads {
		if p := n.reads[read.ID]; p != nil {
			delete(n.reads, read.ID)
			p.done <- outcome{}
		}
	}
	return nil
}

func (n *Node) restore(s raft.Snapshot) error {
	n.logger.info("msg", "restoring a snapshot", "index", s.Index, "bytes", len(s.Data))
	n.bytesSinceSnap, n.snapshotBytes = 0, len(s.Data)
	for index, p := range n.waiters {
		if index <= s.Index {
			delete(n.waiters, index)
			p.done <- outcome{err: errors.Trace(ErrOutcomeUnknown)}
		}
	}
	return errors.Annotate(n.opts.Machine.Restore(s.Data), "restoring the state machine from the leader's snapshot")
}

type answer struct {
	to      *proposal
	outcome outcome
}

func (n *Node) apply(entries []raft.Entry) []answer {
	var answers []answer
	for _, e := range entries {
		var o outcome
		n.bytesSinceSnap += len(e.Data)
		if e.Type == raft.EntryCommand && len(e.Data) > 0 {
			o.result = n.opts.Machine.Apply(e.Index, e.Data)
		}
		p := n.waiters[e.Index]
		if p == nil {
			continue
		}
		delete(n.waiters, e.Index)
		if p.term != e.Term {
			// Another entry was committed at this index, so the command can never be committed.
			o = outcome{err: n.notLeader()}
		}
		answers = append(answers, answer{to: p, outcome: o})
	}
	return answers
}

// snapshotSizeDivisor and maxEntriesFactor limit the cost of snapshots to a small part of the
// cost of the log. A snapshot is written once the log since the last one has a fourth of its
// size, or eight times SnapshotEntries entries.
const (
	snapshotSizeDivisor = 4
	maxEntriesFactor    = 8
)

// compactionDue reports whether the log since the last snapshot is long enough for a
// compaction.
func (n *Node) compactionDue(entries uint64) bool {
	switch {
	case entries == 0:
		return false
	case n.bytesSinceSnap >= maxBytesSinceSnapshot, entries >= maxEntriesFactor*n.opts.SnapshotEntries:
		return true
	}
	return entries >= n.opts.SnapshotEntries && n.bytesSinceSnap*snapshotSizeDivisor >= n.snapshotBytes
}

func (n *Node) compact() error {
	status := n.core.Status()
	since := status.Applied - status.SnapshotIndex
	if !n.compactionDue(since) {
		return nil
	}
	data, err := n.opts.Machine.Snapshot()
	if err != nil {
		return errors.Annotate(err, "taking a snapshot of the state machine")
	}
	// Half of the entries stay in the log, so that a follower that was absent for a short time
	// catches up without a snapshot.
	s, base, err := n.core.Compact(data, n.opts.SnapshotEntries/2)
	if err != nil {
		return errors.Trace(err)
	}
	n.bytesSinceSnap, n.snapshotBytes = 0, len(data)
	n.logger.info("msg", "log compacted", "snapshot", s.Index, "first", base.Index+1, "bytes", len(data))
	return errors.Trace(n.wal.Compact(s, base))
}

func (n *Node) recordRemoval() error {
	if n.identity.Removed || !n.core.Status().Removed {
		return nil
	}
	n.logger.warn("msg", "this replica was removed from its cluster")
	id := n.identity
	id.Removed = true
	return errors.Trace(n.setIdentity(id))
}

// publish makes the state visible to other goroutines.
func (n *Node) publish() {
	v := view{status: n.core.Status(), leaseExpiry: n.core.LeaseExpiry(), leaderSince: n.core.LeaderSince()}
	if v.status.Role == raft.RoleLeader {
		v.shortage = n.shortage
		v.silentFor = map[raft.NodeID]time.Duration{}
		for _, m := range v.status.Membership.Members {
			if n.core.IsActive(m.ID) {
				v.active = append(v.active, m.ID)
			}
			v.silentFor[m.ID] = n.core.TimeSinceAnswer(m.ID)
		}
	}
	n.mu.Lock()
	old := n.view
	n.view = v
	leaseStartedOrEnded := (old.leaseExpiry == 0) != (v.leaseExpiry == 0)
	if hasVisibleChange(old.status, v.status) || leaseStartedOrEnded {
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.mu.Unlock()
	if old.status.MembershipIndex != v.status.MembershipIndex || old.status.Leader != v.status.Leader {
		n.updatePeers(v.status)
	}
	n.handleRoleChange(old.status, v.status)
}

func hasVisibleChange(a, b raft.Status) bool {
	return a.Role != b.Role || a.Leader != b.Leader || a.Term != b.Term ||
		a.MembershipIndex != b.MembershipIndex || a.Removed != b.Removed ||
		a.OwnTermCommitted != b.OwnTermCommitted
}

func (n *Node) updatePeers(s raft.Status) {
	for _, m := range s.Membership.Members {
		n.transport.setAddress(m.ID, m.Address, false)
	}
	n.transport.removeIdlePeers(s.Membership.Members)
}

// handleRoleChange logs each change of role or term. If this node has lost the leadership, it
// starts the wait limit of the pending commands and fails the pending reads.
func (n *Node) handleRoleChange(old, now raft.Status) {
	if old.Role == now.Role && old.Term == now.Term {
		return
	}
	n.logger.info("msg", "role changed", "role", now.Role, "term", now.Term, "leader", idString(now.Leader))
	if old.Role == raft.RoleLeader && now.Role != raft.RoleLeader {
		n.lostLeadershipAt = n.opts.Now()
		n.failReads()
	}
}

// dropLostWaiters ends the wait for commands that this node appended as leader and that no
// later leader has committed or replaced. They may still be committed.
func (n *Node) dropLostWaiters() {
	if len(n.waiters) == 0 || n.core.Status().Role == raft.RoleLeader {
		return
	}
	const waitElectionTimeouts = 2
	if n.opts.Now()-n.lostLeadershipAt < waitElectionTimeouts*n.opts.electionTimeout() {
		return
	}
	n.failWaiters(ErrOutcomeUnknown)
}

func (n *Node) failWaiters(cause error) {
	for index, p := range n.waiters {
		delete(n.waiters, index)
		p.done <- outcome{err: errors.Trace(cause)}
	}
}

func (n *Node) failReads() {
	err := n.notLeader()
	for id, p := range n.reads {
		delete(n.reads, id)
		p.done <- outcome{err: err}
	}
	for _, p := range n.waitingReads {
		p.done <- outcome{err: err}
	}
	n.waitingReads = nil
}

// notLeader returns a NotLeaderError, which names the leader if one is known.
func (n *Node) notLeader() error {
	status := n.core.Status()
	if status.Leader == status.ID {
		return &NotLeaderError{}
	}
	leader, _ := status.Membership.Find(status.Leader)
	return &NotLeaderError{Leader: leader}
}

// Status returns the state of the node.
func (n *Node) Status() Status {
	now := n.opts.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.view.status
	leader, _ := s.Membership.Find(s.Leader)
	return Status{
		ID:              n.id,
		Cluster:         n.identity.Cluster,
		Founded:         n.identity.Cluster != 0,
		Removed:         n.identity.Removed,
		Role:            roleName(s, n.identity.Removed),
		Term:            s.Term,
		Leader:          leader,
		LeaderSince:     n.view.leaderSince,
		Commit:          s.Commit,
		Applied:         s.Applied,
		LastIndex:       s.LastIndex,
		FirstIndex:      s.FirstIndex,
		SnapshotIndex:   s.SnapshotIndex,
		Members:         slices.Clone(s.Membership.Members),
		MembershipIndex: s.MembershipIndex,
		Active:          slices.Clone(n.view.active),
		Voters:          n.view.shortage.status(now),
		SilentFor:       maps.Clone(n.view.silentFor),
		LeaseRemaining:  remaining(n.view.leaseExpiry, now),
		Err:             n.err,
	}
}

func roleName(s raft.Status, removed bool) string {
	if removed {
		return "removed"
	}
	if m, ok := s.Membership.Find(s.ID); ok && m.Learner {
		return "learner"
	}
	return s.Role.String()
}

func remaining(expiry, now time.Duration) time.Duration {
	return max(0, expiry-now)
}

// LeaseRemaining returns how long no other node can lead. It is zero on a node that does not
// lead or whose lease has expired, including while the node was frozen.
func (n *Node) LeaseRemaining() time.Duration {
	n.mu.Lock()
	expiry := n.view.leaseExpiry
	n.mu.Unlock()
	// The clock is read after the expiry, so a freeze in between can only make the result
	// smaller.
	return remaining(expiry, n.opts.Now())
}

// MaxLease returns a time longer than any lease of any leader of this group, by any of their
// clocks. After Status.LeaderSince plus MaxLease, a new leader knows that no order sent under
// an earlier lease can still be running. That also holds after a leadership transfer, which
// ends the old lease early but not the orders sent under it.
func (n *Node) MaxLease() time.Duration { return n.opts.electionTimeout() }

// Changed returns a channel that closes when the role, leader, term, membership or presence of
// a lease next changes.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}
