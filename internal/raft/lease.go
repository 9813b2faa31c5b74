package raft

import (
	"time"

	"github.com/juju/errors"
)

// pendingRead is a read that waits until a majority has answered a heartbeat
// round that began after the read was requested.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// transfer is a leadership transfer in progress. The zero value means none.
type transfer struct {
	target   NodeID
	deadline time.Duration
	// timeoutNowSent is set when the leader sends MessageTimeoutNow. From then on the
	// leader has no lease in this term. The message may arrive at any later
	// time, and the target's election ignores the voters' promises.
	timeoutNowSent bool
}

// quorumAckedAt returns the latest time, on this leader's clock, such that a
// majority has answered a message sent at or after that time. The leader counts
// as part of the majority. The result is never if no majority has answered.
func (n *Node) quorumAckedAt() time.Duration {
	return majorityValue(n.membership, func(id NodeID) time.Duration {
		if id == n.cfg.ID {
			return n.now
		}
		return n.progress[id].ackedAt
	})
}

// LeaseExpiry returns the time until which no other node can lead, on the clock
// that the driver passes in. It returns zero if this node holds no lease.
//
// Each voter that answers the leader promises not to vote for an election
// timeout. The promise starts when the voter receives the message. The lease
// starts earlier, when the leader sends it, and is shorter by LeaseMargin.
// It therefore ends before the promises even if clocks run at different rates.
//
// The lease is valid only after an entry of the leader's own term is applied.
// Before that entry is committed, the leader may not know every entry that earlier
// leaders committed. Before it is applied, the state machine may lack some of them.
func (n *Node) LeaseExpiry() time.Duration {
	if n.role != RoleLeader || n.transfer.timeoutNowSent || n.log.applied < n.termStartIndex {
		return 0
	}
	acked := n.quorumAckedAt()
	if acked == never {
		return 0
	}
	return max(0, acked+n.cfg.ElectionTimeout-n.cfg.LeaseMargin)
}

// IsActive reports whether a member answered within the last election timeout.
func (n *Node) IsActive(id NodeID) bool {
	return n.ackedWithin(id, n.cfg.ElectionTimeout)
}

// AnsweredRecently reports whether a member answered within the last few heartbeat intervals,
// see freshHeartbeatIntervals. A membership change that needs the member's vote
// requires this.
func (n *Node) AnsweredRecently(id NodeID) bool {
	return n.ackedWithin(id, freshHeartbeatIntervals*n.cfg.HeartbeatInterval)
}

// TimeSinceAnswer returns the time since a member last answered this leader, or since
// this leader began to track it if the member has not answered. It returns zero for
// this node and for a non-member.
func (n *Node) TimeSinceAnswer(id NodeID) time.Duration {
	p := n.progress[id]
	if p == nil || id == n.cfg.ID {
		return 0
	}
	return n.now - max(p.ackedAt, p.addedAt)
}

// isSilentFor reports whether a member has not answered for longer than limit. A limit
// of zero means never.
func (n *Node) isSilentFor(id NodeID, limit time.Duration) bool {
	return limit > 0 && n.TimeSinceAnswer(id) > limit
}

func (n *Node) ackedWithin(id NodeID, limit time.Duration) bool {
	if id == n.cfg.ID {
		return true
	}
	p := n.progress[id]
	return p != nil && n.now-p.ackedAt < limit
}

func (n *Node) ownTermCommitted() bool {
	return n.role == RoleLeader && n.log.committed >= n.termStartIndex
}

// tickLeader checks the quorum and the leadership transfer, and sends heartbeats
// that are due.
func (n *Node) tickLeader() {
	// A leader that a majority no longer answers steps down. Its callers then
	// look for the new leader, and it serves nobody from stale state.
	answered := max(n.quorumAckedAt(), n.leaderSince)
	if n.now-answered > n.cfg.ElectionTimeout {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	if n.transfer.target != 0 && n.now >= n.transfer.deadline {
		n.abortTransfer()
		return
	}
	if n.now >= n.heartbeatDue {
		n.broadcastHeartbeat()
	}
	n.handOverUnlessVoter()
}

// handOverUnlessVoter transfers the leadership of an outgoing voter or a learner to a voter.
// Either may have to lead because its log is the most complete one, but the group must not
// depend on it for longer.
func (n *Node) handOverUnlessVoter() {
	if !n.ownTermCommitted() || n.membership.IsVoter(n.cfg.ID) {
		return
	}
	// Without a voter that answers, the next tick tries again.
	_ = n.TransferLeadership(n.now)
}

// abortTransfer aborts a leadership transfer that exceeded its time limit. If the
// leader has sent MessageTimeoutNow, it steps down: it cannot hold a lease again
// in this term.
func (n *Node) abortTransfer() {
	if n.transfer.timeoutNowSent {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	n.transfer = transfer{}
}

// ReadIndex requests a linearizable read. After a majority has confirmed this
// leader's term in a later heartbeat round, Ready returns the read with the index
// that must be applied first. The node discards pending reads when it steps down.
//
// It returns ErrNotLeader on a node that does not lead, and ErrNotReady before an
// entry of the leader's own term is committed.
func (n *Node) ReadIndex(now time.Duration, id uint64) error {
	n.advanceClock(now)
	if n.role != RoleLeader {
		return errors.Trace(ErrNotLeader)
	}
	if !n.ownTermCommitted() {
		return errors.Trace(ErrNotReady)
	}
	n.pendingReads = append(n.pendingReads, pendingRead{id: id, index: n.log.committed, round: n.round + 1})
	n.needsNewRound = true
	return nil
}

// confirmReads releases the pending reads whose heartbeat round a majority has
// answered.
func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	confirmed := majorityValue(n.membership, func(id NodeID) uint64 {
		if id == n.cfg.ID {
			return n.round
		}
		return n.progress[id].ackedRound
	})
	for len(n.pendingReads) > 0 && n.pendingReads[0].round <= confirmed {
		r := n.pendingReads[0]
		n.pendingReads = n.pendingReads[1:]
		n.reads = append(n.reads, Read{ID: r.id, Index: r.index})
	}
}

// TransferLeadership starts a transfer to the active voter with the longest
// matching log. It returns nil if a transfer is already in progress. The node
// rejects proposals until the transfer ends.
//
// It returns ErrNotLeader on a node that does not lead, and ErrNoTransferTarget
// if no other voter is active.
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
		if id == n.cfg.ID || !n.IsActive(id) {
			continue
		}
		if target == 0 || n.progress[id].match > n.progress[target].match {
			target = id
		}
	}
	if target == 0 {
		return errors.Trace(ErrNoTransferTarget)
	}
	n.transfer = transfer{target: target, deadline: n.now + n.cfg.ElectionTimeout}
	n.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow sends MessageTimeoutNow to the transfer target once the target
// holds the complete log.
func (n *Node) maybeSendTimeoutNow() {
	t := n.transfer.target
	if t == 0 || n.transfer.timeoutNowSent {
		return
	}
	p := n.progress[t]
	if p == nil || p.match < n.log.lastIndex() {
		return
	}
	n.transfer.timeoutNowSent = true
	n.send(Message{Type: MessageTimeoutNow, To: t})
}

// LeaderSince returns the time at which this node began to lead, on the driver's
// clock. It returns zero on a node that does not lead.
func (n *Node) LeaderSince() time.Duration {
	if n.role != RoleLeader {
		return 0
	}
	return n.leaderSince
}
