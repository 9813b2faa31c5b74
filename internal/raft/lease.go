package raft

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"
)

// pendingRead waits until a majority has answered a round that began after it.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// transfer is a handover of leadership that is under way.
type transfer struct {
	target NodeID
	due    time.Duration
	// told is set once the target may start its election. From then on the
	// leader has no lease in this term: the target's election does not wait
	// for the voters' promise, however late the message arrives.
	told bool
}

// nthHighest returns the n-th highest of values.
func nthHighest[T cmp.Ordered](values []T, n int) T {
	slices.Sort(values)
	return values[len(values)-n]
}

// quorumAckedAt is the latest moment, by this leader's clock, at which
// messages were sent that a majority, with this node, has answered.
func (n *Node) quorumAckedAt() time.Duration {
	var acks []time.Duration
	for _, id := range n.membership.Voters() {
		if id == n.cfg.ID {
			acks = append(acks, n.now)
			continue
		}
		acks = append(acks, n.progress[id].ackedAt)
	}
	return nthHighest(acks, n.membership.Quorum())
}

// LeaseExpiry is the moment until which no other node can lead, by the clock
// that the driver passes in. It is zero without a lease.
//
// A majority has promised, at or after the moment the leader sent the message
// that they answered, to elect nobody for an election timeout. The lease
// counts from the sending and is shorter by LeaseMargin, so it ends first also
// when the clocks run at different rates. It holds only after an entry of
// this leader's own term is applied: before it is committed, the leader may not
// know of all that earlier leaders committed, and before it is applied, the state
// machine lacks some of that.
func (n *Node) LeaseExpiry() time.Duration {
	if n.role != RoleLeader || n.transfer.told || n.log.applied < n.openingIndex {
		return 0
	}
	acked := n.quorumAckedAt()
	if acked == never {
		return 0
	}
	return max(0, acked+n.cfg.ElectionTimeout-n.cfg.LeaseMargin)
}

// Active tells whether a member answered within the last election timeout.
func (n *Node) Active(id NodeID) bool {
	return n.answeredWithin(id, n.cfg.ElectionTimeout)
}

// Fresh tells whether a member answered within the last few heartbeats, which
// is what a change that needs its vote asks for.
func (n *Node) Fresh(id NodeID) bool {
	return n.answeredWithin(id, freshHeartbeats*n.cfg.HeartbeatInterval)
}

// SilentFor is how long a member has not answered this leader.
func (n *Node) SilentFor(id NodeID) time.Duration {
	p := n.progress[id]
	if p == nil || id == n.cfg.ID {
		return 0
	}
	return n.now - max(p.ackedAt, n.leaderSince)
}

func (n *Node) answeredWithin(id NodeID, limit time.Duration) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	return p != nil && n.now-p.ackedAt < limit
}

func (n *Node) ownTermCommitted() bool {
	return n.role == RoleLeader && n.log.committed >= n.openingIndex
}

func (n *Node) tickLeader() {
	// A leader that a majority no longer answers steps down, so that its
	// callers look for the new one and it answers nobody from old state.
	answered := max(n.quorumAckedAt(), n.leaderSince)
	if n.now-answered > n.cfg.ElectionTimeout {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.transfer.target != 0 && n.now >= n.transfer.due {
		n.endTransfer()
		return
	}
	if n.now >= n.heartbeatDue {
		n.beat()
	}
}

// endTransfer gives up a handover that took too long. Once the target was
// told, only a new term brings the lease back.
func (n *Node) endTransfer() {
	if n.transfer.told {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	n.transfer = transfer{}
}

// ReadIndex asks for a linearizable read. Ready returns it with the index
// that must be applied first, once a majority has confirmed this leader after
// the call. A read that was asked for is forgotten when the leader steps down.
func (n *Node) ReadIndex(now time.Duration, id uint64) error {
	n.advanceClock(now)
	if n.role != RoleLeader {
		return errors.Trace(ErrNotLeader)
	}
	if !n.ownTermCommitted() {
		return errors.Trace(ErrNotReady)
	}
	n.pendingReads = append(n.pendingReads, pendingRead{id: id, index: n.log.committed, round: n.round + 1})
	n.roundWanted = true
	return nil
}

func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	var rounds []uint64
	for _, id := range n.membership.Voters() {
		if id == n.cfg.ID {
			rounds = append(rounds, n.round)
			continue
		}
		rounds = append(rounds, n.progress[id].ackedRound)
	}
	confirmed := nthHighest(rounds, n.membership.Quorum())
	for len(n.pendingReads) > 0 && n.pendingReads[0].round <= confirmed {
		r := n.pendingReads[0]
		n.pendingReads = n.pendingReads[1:]
		n.reads = append(n.reads, Read{ID: r.id, Index: r.index})
	}
}

// TransferLeadership hands over to the voter that answers and holds the most
// of the log. Proposals are refused until the handover ends.
func (n *Node) TransferLeadership(now time.Duration) error {
	n.advanceClock(now)
	if n.role != RoleLeader {
		return errors.Trace(ErrNotLeader)
	}
	if n.transfer.target != 0 {
		return nil
	}
	var target NodeID
	for _, id := range n.membership.Voters() {
		if id == n.cfg.ID || !n.Active(id) {
			continue
		}
		if target == 0 || n.progress[id].match > n.progress[target].match {
			target = id
		}
	}
	if target == 0 {
		return errors.Trace(ErrNoTransferTarget)
	}
	n.transfer = transfer{target: target, due: n.now + n.cfg.ElectionTimeout}
	n.maybeHandOver()
	return nil
}

// maybeHandOver tells the target to start once it holds the whole log.
func (n *Node) maybeHandOver() {
	t := n.transfer.target
	if t == 0 || n.transfer.told {
		return
	}
	p := n.progress[t]
	if p == nil || p.match < n.log.lastIndex() {
		return
	}
	n.transfer.told = true
	n.send(Message{Type: MessageTimeoutNow, To: t})
}

// LeaderSince is when this node began to lead, by the driver's clock; it is
// zero on a node that does not lead.
func (n *Node) LeaderSince() time.Duration {
	if n.role != RoleLeader {
		return 0
	}
	return n.leaderSince
}
