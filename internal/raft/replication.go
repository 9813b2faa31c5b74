package raft

import (
	"time"

	"github.com/citronstep/citronstep/internal/invariant"
)

// progress is the replication state of one member, as its leader knows it.
type progress struct {
	// match is the highest index that the member is known to have synced.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing is set until an append matches the member's log. Until then the
	// leader sends one append at a time.
	probing bool
	// probeInFlight is set while a probe has no answer. A heartbeat clears it, so that a
	// lost probe is sent again.
	probeInFlight bool
	// snapshotUntil is the time at which an unanswered snapshot is sent again. It
	// is zero if no snapshot is in flight.
	snapshotUntil time.Duration
	// snapshotRound is the heartbeat round in which the last snapshot was sent.
	snapshotRound uint64
	// addedAt is the time at which this leader began to track the member.
	addedAt time.Duration
	// leavingUntil is the time until which the member counts as about to stop.
	leavingUntil time.Duration
	// ackedAt is the latest time, on the leader's clock, at which the leader sent
	// a message that the member has answered.
	ackedAt time.Duration
	// ackedRound is the latest heartbeat round that the member has answered.
	ackedRound uint64
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{next: next, probing: true, addedAt: now, ackedAt: never}
}

// broadcastHeartbeat starts a new heartbeat round and sends a heartbeat to every
// other member.
func (n *Node) broadcastHeartbeat() {
	n.round++
	n.needsNewRound = false
	n.heartbeatDue = n.now + n.cfg.HeartbeatInterval
	for _, member := range n.membership.Members {
		if member.ID == n.cfg.ID {
			continue
		}
		p := n.progress[member.ID]
		p.probeInFlight = false
		n.send(Message{
			Type: MessageHeartbeat, To: member.ID, SentAt: n.now, Round: n.round,
			Commit: min(p.match, n.log.committed),
		})
	}
}

// replicate sends each member the entries that it lacks. It runs once for each Ready,
// so one append carries all entries proposed since the last Ready.
func (n *Node) replicate() {
	if n.role != RoleLeader {
		return
	}
	if n.needsNewRound {
		n.broadcastHeartbeat()
		n.confirmReads()
	}
	for _, member := range n.membership.Members {
		if member.ID != n.cfg.ID {
			n.sendEntries(member.ID, false)
		}
	}
}

// sendEntries sends the next entries, or a snapshot, to a member. With probe set,
// it also sends an empty append and ignores MaxInflight: the answer shows whether
// an earlier append was lost.
func (n *Node) sendEntries(to NodeID, probe bool) {
	p := n.progress[to]
	if p.snapshotUntil != 0 && n.now < p.snapshotUntil {
		return
	}
	if p.probing && p.probeInFlight {
		return
	}
	previous := p.next - 1
	term, held := n.log.term(previous)
	if !held {
		n.sendSnapshot(to, p)
		return
	}
	if !p.probing && previous-p.match >= n.cfg.MaxInflight && !probe {
		return
	}
	entries := n.log.entriesAfter(previous, n.cfg.MaxBatchBytes)
	if len(entries) == 0 && !probe {
		return
	}
	n.send(Message{
		Type: MessageAppend, To: to, Index: previous, LogTerm: term, Entries: entries,
		Commit: n.log.committed, SentAt: n.now, Round: n.round,
	})
	if p.probing {
		p.probeInFlight = true
		return
	}
	p.next += uint64(len(entries))
}

func (n *Node) sendSnapshot(to NodeID, p *progress) {
	snapshot := n.log.snapshot
	if snapshot.Index == 0 {
		return
	}
	p.snapshotUntil = n.now + snapshotRetryTimeouts*n.cfg.ElectionTimeout
	p.snapshotRound = n.round
	n.send(Message{Type: MessageSnapshot, To: to, Snapshot: &snapshot, SentAt: n.now, Round: n.round})
}

// snapshotRetryTimeouts is the number of election timeouts after which an unanswered
// snapshot is sent again. It leaves time for a large snapshot on a slow link, which
// a second copy would only slow down further.
const snapshotRetryTimeouts = 4

// handleLeaderMessage handles an append, heartbeat or snapshot of the current term.
func (n *Node) handleLeaderMessage(m Message) {
	noOtherLeader := n.leader == 0 || n.leader == m.From
	if !invariant.Check(n.role != RoleLeader && noOtherLeader, "one leader in a term",
		"term %d: leaders %x and %x", n.hard.Term, uint64(n.leader), uint64(m.From)) {
		return
	}
	n.becomeFollower(n.hard.Term, m.From)
	n.lastLeaderContact = n.now
	switch m.Type {
	case MessageAppend:
		n.handleAppend(m)
	case MessageHeartbeat:
		n.log.commitTo(m.Commit)
		n.send(Message{Type: MessageHeartbeatReply, To: m.From, SentAt: m.SentAt, Round: m.Round})
		if n.leaving {
			n.send(Message{Type: MessageLeaving, To: m.From})
			n.leavingSent = true
		}
	case MessageSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) sendAppendReply(m Message, match uint64) {
	n.send(Message{Type: MessageAppendReply, To: m.From, Index: match, SentAt: m.SentAt, Round: m.Round})
}

func (n *Node) handleAppend(m Message) {
	previous := Position{Index: m.Index, Term: m.LogTerm}
	if previous.Index < n.log.committed {
		// Committed entries are the same on all nodes. A delayed append may refer
		// to entries that were compacted, so it is not compared with the log.
		n.sendAppendReply(m, n.log.committed)
		return
	}
	if !n.log.matches(previous) {
		n.send(Message{
			Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index,
			ConflictHint: n.log.conflictHint(previous), SentAt: m.SentAt, Round: m.Round,
		})
		return
	}
	if !n.log.merge(m.Entries) {
		return
	}
	if err := n.reloadMembership(); err != nil {
		invariant.Check(false, "memberships decode", "%v", err)
		return
	}
	last := m.Index + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.sendAppendReply(m, last)
}

func (n *Node) handleSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index <= n.log.committed {
		n.sendAppendReply(m, n.log.committed)
		return
	}
	if n.log.matches(Position{Index: s.Index, Term: s.Term}) {
		n.log.commitTo(s.Index)
		n.sendAppendReply(m, s.Index)
		return
	}
	n.log.restore(s)
	n.pendingSnapshot = &s
	n.setMembership(s.Membership, s.Index, s.Term)
	n.sendAppendReply(m, s.Index)
}

// recordAck records a member's answer, which renews the lease and confirms
// reads. It returns the member's progress, or nil if this node does not lead or the
// sender is no member.
func (n *Node) recordAck(m Message) *progress {
	if n.role != RoleLeader {
		return nil
	}
	p := n.progress[m.From]
	if p == nil {
		return nil
	}
	if m.Round != 0 {
		p.ackedAt = max(p.ackedAt, m.SentAt)
		p.ackedRound = max(p.ackedRound, m.Round)
	}
	n.confirmReads()
	return p
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.recordAck(m)
	if p == nil {
		return
	}
	if m.Round > p.snapshotRound {
		// Messages arrive in order, so the snapshot or its answer was lost.
		p.snapshotUntil = 0
	}
	if p.match < n.log.lastIndex() {
		n.sendEntries(m.From, true)
	}
}

// Leave makes this node notify its leader, with each heartbeat, that it is about to stop. It
// reports whether the node may stop now: its vote is handed over, or there is no learner to
// take it. A learner may stop once it has notified the leader, which could otherwise choose it as
// the successor of another voter.
func (n *Node) Leave() bool {
	n.leaving = true
	_, listed := n.membership.Find(n.cfg.ID)
	switch {
	case n.membership.HasVote(n.cfg.ID):
		return len(n.membership.Voters()) == len(n.membership.Members)
	case n.membershipIndex > n.log.committed:
		return false
	}
	return !listed || n.leavingSent
}

// handleLeaving notes that a member is about to stop. The note lapses unless it is repeated, since
// the member may have restarted meanwhile.
func (n *Node) handleLeaving(m Message) {
	if p := n.progress[m.From]; n.role == RoleLeader && p != nil {
		p.leavingUntil = n.now + n.cfg.ElectionTimeout
	}
}

func (n *Node) handleAppendReply(m Message) {
	p := n.recordAck(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleAppendReject(m, p)
		return
	}
	if !invariant.Check(m.Index <= n.log.lastIndex(), "log matching",
		"member %x matches at %d past the last index %d", uint64(m.From), m.Index, n.log.lastIndex()) {
		return
	}
	p.probeInFlight = false
	p.snapshotUntil = 0
	if m.Index >= p.match {
		p.probing = false
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	n.maybeCommit()
	n.maybeSendTimeoutNow()
}

func (n *Node) handleAppendReject(m Message, p *progress) {
	if m.Index <= p.match {
		return // a stale answer: a later append has already matched
	}
	p.probeInFlight = false
	p.probing = true
	p.next = max(p.match+1, min(m.Index, m.ConflictHint+1))
}

// maybeCommit commits the entries that a majority has synced, if the last of them
// is of the current term. Entries of earlier terms commit only together with it.
// Even if a majority holds an earlier entry, a leader of a term in between can
// still overwrite it.
func (n *Node) maybeCommit() {
	index := n.quorumMatch()
	if index <= n.log.committed {
		return
	}
	if term, ok := n.log.term(index); !ok || term != n.hard.Term {
		return
	}
	n.log.commitTo(index)
}

// quorumMatch returns the highest index that a majority has synced.
func (n *Node) quorumMatch() uint64 {
	return majorityValue(n.membership, func(id NodeID) uint64 { return n.progress[id].match })
}
