package raft

import (
	"time"

	"github.com/citronstep/citronstep/internal/invariant"
)

// progress is what a leader knows of one member.
type progress struct {
	// match is the highest index known to be synced there.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// probing sends one append at a time, until one matches.
	probing bool
	// asked is set while a probe is on its way.
	asked bool
	// snapshotUntil, if not zero, is when an unanswered snapshot is sent again.
	snapshotUntil time.Duration
	// ackedAt is the leader's clock at the sending of the last message that
	// this member answered; ackedRound is that message's round.
	ackedAt    time.Duration
	ackedRound uint64
}

func newProgress(next uint64) *progress {
	return &progress{next: next, probing: true, ackedAt: never}
}

// beat sends a heartbeat to each other member in a new round.
func (n *Node) beat() {
	n.round++
	n.roundWanted = false
	n.heartbeatDue = n.now + n.cfg.HeartbeatInterval
	for _, member := range n.membership.Members {
		if member.ID == n.cfg.ID {
			continue
		}
		p := n.progress[member.ID]
		p.asked = false
		n.send(Message{
			Type: MessageHeartbeat, To: member.ID, SentAt: n.now, Round: n.round,
			Commit: min(p.match, n.log.committed),
		})
	}
}

// flush sends each member what it lacks. It runs once for each Ready, so that
// all that was proposed since the last one leaves in one append.
func (n *Node) flush() {
	if n.role != RoleLeader {
		return
	}
	if n.roundWanted {
		n.beat()
		n.confirmReads()
	}
	for _, member := range n.membership.Members {
		if member.ID != n.cfg.ID {
			n.sendEntries(member.ID, false)
		}
	}
}

// sendEntries sends the next entries to a member; with probe set also an
// empty append, whose answer shows whether an earlier one was lost.
func (n *Node) sendEntries(to NodeID, probe bool) {
	p := n.progress[to]
	if p.snapshotUntil != 0 && n.now < p.snapshotUntil {
		return
	}
	if p.probing && p.asked {
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
	entries := n.log.after(previous, n.cfg.MaxBatchBytes)
	if len(entries) == 0 && !probe {
		return
	}
	n.send(Message{
		Type: MessageAppend, To: to, Index: previous, LogTerm: term, Entries: entries,
		Commit: n.log.committed, SentAt: n.now, Round: n.round,
	})
	if p.probing {
		p.asked = true
		return
	}
	p.next += uint64(len(entries))
}

func (n *Node) sendSnapshot(to NodeID, p *progress) {
	snapshot := n.log.snapshot
	if snapshot.Index == 0 {
		return
	}
	p.snapshotUntil = n.now + snapshotRetry*n.cfg.ElectionTimeout
	n.send(Message{Type: MessageSnapshot, To: to, Snapshot: &snapshot, SentAt: n.now, Round: n.round})
}

// snapshotRetry is after how many election timeouts an unanswered snapshot is
// sent again: long enough for a large one on a slow link, since doubling it
// would only make the link slower.
const snapshotRetry = 4

// handleFromLeader takes an append, a heartbeat or a snapshot of this term.
func (n *Node) handleFromLeader(m Message) {
	known := n.leader == 0 || n.leader == m.From
	if !invariant.Check(n.role != RoleLeader && known, "one leader in a term",
		"term %d: leaders %x and %x", n.hard.Term, uint64(n.leader), uint64(m.From)) {
		return
	}
	n.becomeFollower(n.hard.Term, m.From)
	n.heardAt = n.now
	switch m.Type {
	case MessageAppend:
		n.handleAppend(m)
	case MessageHeartbeat:
		n.log.commitTo(m.Commit)
		n.send(Message{Type: MessageHeartbeatReply, To: m.From, SentAt: m.SentAt, Round: m.Round})
	case MessageSnapshot:
		n.handleSnapshot(m)
	}
}

func (n *Node) replyAppend(m Message, match uint64) {
	n.send(Message{Type: MessageAppendReply, To: m.From, Index: match, SentAt: m.SentAt, Round: m.Round})
}

func (n *Node) handleAppend(m Message) {
	previous := Position{Index: m.Index, Term: m.LogTerm}
	if previous.Index < n.log.committed {
		// Committed entries are the same everywhere; an old append that
		// arrives late must not be compared with what was compacted.
		n.replyAppend(m, n.log.committed)
		return
	}
	if !n.log.matches(previous) {
		n.send(Message{
			Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index,
			Hint: n.log.hintFor(previous), SentAt: m.SentAt, Round: m.Round,
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
	n.replyAppend(m, last)
}

func (n *Node) handleSnapshot(m Message) {
	s := *m.Snapshot
	if s.Index <= n.log.committed {
		n.replyAppend(m, n.log.committed)
		return
	}
	if n.log.matches(Position{Index: s.Index, Term: s.Term}) {
		n.log.commitTo(s.Index)
		n.replyAppend(m, s.Index)
		return
	}
	n.log.restore(s)
	n.pendingSnapshot = &s
	n.useMembership(s.Membership, s.Index, s.Term)
	n.replyAppend(m, s.Index)
}

// acknowledge notes that a member answered, which renews the lease and
// confirms reads. It returns nil for one that is no longer a member.
func (n *Node) acknowledge(m Message) *progress {
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
	p := n.acknowledge(m)
	if p == nil {
		return
	}
	if p.match < n.log.lastIndex() {
		n.sendEntries(m.From, true)
	}
}

func (n *Node) handleAppendReply(m Message) {
	p := n.acknowledge(m)
	if p == nil {
		return
	}
	if m.Reject {
		n.handleReject(m, p)
		return
	}
	if !invariant.Check(m.Index <= n.log.lastIndex(), "log matching",
		"member %x matches at %d past the last index %d", uint64(m.From), m.Index, n.log.lastIndex()) {
		return
	}
	p.asked = false
	p.snapshotUntil = 0
	if m.Index >= p.match {
		p.probing = false
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	n.maybeCommit()
	n.maybeHandOver()
}

func (n *Node) handleReject(m Message, p *progress) {
	if m.Index <= p.match {
		return // an answer to an append that has since been overtaken
	}
	p.asked = false
	p.probing = true
	p.next = max(p.match+1, min(m.Index, m.Hint+1))
}

// maybeCommit commits what a majority has synced. Only an entry of this term
// commits by counting; earlier ones commit with it, because an earlier entry
// on a majority can still be overwritten by a leader of a term between.
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

func (n *Node) quorumMatch() uint64 {
	var matches []uint64
	for _, id := range n.membership.Voters() {
		matches = append(matches, n.progress[id].match)
	}
	return nthHighest(matches, n.membership.Quorum())
}
