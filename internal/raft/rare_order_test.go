package raft

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// The random runs seldom reach the orders of events below, so each order has its
// own test.

// Guards against two leaders in one term: a node votes, crashes before the vote is
// synced, and votes for another candidate of the same term.
func TestVoteIsPersistedBeforeItIsSent(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	b.now += 2 * time.Second
	n := b.nodes[1]
	// Enter the term first, so that the vote is the only change to persist.
	n.Step(b.now, Message{Type: MessageAppendReply, Group: 1, From: 2, To: 1, Term: 5, Reject: true})
	n.Advance(n.Ready())
	vote := Message{Type: MessageVote, Group: 1, From: 2, To: 1, Term: 5, Index: 1, LogTerm: 1}
	n.Step(b.now, vote)
	r := n.Ready()
	assert.Assert(t, r.MustPersist)
	assert.Equal(t, r.HardState.Vote, NodeID(2))
	n.Advance(r)
	vote.From = 3
	n.Step(b.now, vote)
	r = n.Ready()
	assert.Assert(t, r.Messages[0].Reject)
	assert.Assert(t, !r.MustPersist)
}

// Guards against the loss of a committed entry. A leader replicates an entry of an
// earlier term to a majority and commits it by counting. The leader crashes. A node
// with an entry of a term in between at the same index wins and overwrites it.
func TestEarlierTermsCommitOnlyWithTheCurrent(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	n.log.entries = append(n.log.entries[:1:1], Entry{Term: n.hard.Term - 1, Index: 2}, Entry{Term: n.hard.Term, Index: 3})
	n.log.committed = 1
	n.log.applied = 1
	n.termStartIndex = 3
	reply := Message{Type: MessageAppendReply, Group: 1, From: b.peersOf(n)[0], To: n.cfg.ID, Term: n.hard.Term, Index: 2}
	for id := range n.progress {
		n.progress[id].match = 0
	}
	n.progress[n.cfg.ID].match = 3
	n.Step(b.now, reply)
	assert.Equal(t, n.log.committed, uint64(1))
	reply.Index = 3
	n.Step(b.now, reply)
	assert.Equal(t, n.log.committed, uint64(3))
}

// Guards against a stale read on a partitioned leader. An answer to an earlier
// heartbeat is still in flight. If it confirmed a later read, the old leader would
// answer that read after the new leader has committed a write.
func TestReadNeedsARoundThatBeganAfterIt(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	late := Message{
		Type: MessageHeartbeatReply, Group: 1, From: b.peersOf(n)[0], To: n.cfg.ID,
		Term: n.hard.Term, SentAt: b.now, Round: n.round,
	}
	assert.NilError(t, n.ReadIndex(b.now, 1))
	r := n.Ready()
	n.Advance(r)
	n.Step(b.now, late)
	r = n.Ready()
	assert.Equal(t, len(r.Reads), 0)
	n.Advance(r)
	late.Round = n.round
	n.Step(b.now, late)
	assert.Equal(t, len(n.Ready().Reads), 1)
}

// Guards against votes from non-voters. Replicas that returned with an empty disk
// are not voters yet and answer a candidate. Two such answers must not count as a
// majority of three.
func TestOnlyVotersCountTowardsMajority(t *testing.T) {
	b := newTestGroup(t, 3, 2)
	n := b.nodes[1]
	n.startElection(false)
	for _, id := range []NodeID{4, 5, 99} {
		n.Step(b.now, Message{Type: MessageVoteReply, Group: 1, From: id, To: 1, Term: n.hard.Term})
	}
	assert.Equal(t, n.role, RoleCandidate)
	n.Step(b.now, Message{Type: MessageVoteReply, Group: 1, From: 2, To: 1, Term: n.hard.Term})
	assert.Equal(t, n.role, RoleLeader)
}

// Guards against a lease that outlasts the vote promises. If the leader's clock
// runs 5% slow and the voters' clocks 5% fast, a lease of the same nominal length
// would end after the promises.
func TestLeaseIsShorterThanTheVotePromise(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(500 * time.Millisecond)
	promise := n.quorumAckedAt() + n.cfg.ElectionTimeout
	assert.Equal(t, n.LeaseExpiry(), promise-n.cfg.LeaseMargin)
	slow := float64(n.cfg.ElectionTimeout-n.cfg.LeaseMargin) / (1 - simClockDrift)
	fast := float64(n.cfg.ElectionTimeout) / (1 + simClockDrift)
	assert.Assert(t, slow < fast)
}

// Guards against a partitioned node that continues to lead. Callers that reach it
// would wait forever, and operators would see two leaders.
func TestLeaderWithoutAQuorumStepsDown(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(300 * time.Millisecond)
	for _, id := range b.peersOf(n) {
		b.down[id] = true
	}
	b.advance(n.cfg.ElectionTimeout / 2)
	assert.Equal(t, n.role, RoleLeader)
	b.advance(n.cfg.ElectionTimeout)
	assert.Assert(t, n.role != RoleLeader)
	term := n.hard.Term
	b.advance(5 * time.Second)
	assert.Equal(t, n.hard.Term, term, "pre-votes start no new terms")
}

// Guards against a lease renewed by a late answer. A leader is partitioned, and the
// answer to an old heartbeat arrives. If the lease counted from the arrival, it
// would continue after the vote promises, which count from the sending of the
// answer, have ended.
func TestLateAnswerDoesNotRenewTheLease(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(500 * time.Millisecond)
	sent := b.now
	others := b.peersOf(n)
	b.down[others[0]] = true
	b.down[others[1]] = true
	b.advance(600 * time.Millisecond)
	before := n.LeaseExpiry()
	n.Step(b.now, Message{
		Type: MessageHeartbeatReply, Group: 1, From: others[0], To: n.cfg.ID,
		Term: n.hard.Term, SentAt: sent, Round: n.round,
	})
	assert.Equal(t, n.LeaseExpiry(), max(before, sent+n.cfg.ElectionTimeout-n.cfg.LeaseMargin))
	assert.Assert(t, n.LeaseExpiry() < b.now+n.cfg.ElectionTimeout/2)
}

// Guards against a new replica that waits seconds for a snapshot that was lost.
func TestLostSnapshotIsSentAgainAfterALaterHeartbeat(t *testing.T) {
	b := newTestGroup(t, 3, 1)
	n := b.leader()
	b.down[4] = true
	_, err := n.Propose([]byte("k"))
	assert.NilError(t, err)
	b.advance(200 * time.Millisecond)
	_, _, err = n.Compact(nil, 0)
	assert.NilError(t, err)

	b.heldTypes[MessageSnapshot] = true
	b.down[4] = false
	b.advance(200 * time.Millisecond)
	assert.Assert(t, len(b.heldMessages) > 0)
	b.heldTypes[MessageSnapshot] = false
	b.advance(500 * time.Millisecond)
	assert.Equal(t, b.nodes[4].log.committed, n.log.committed)
}

// Guards against a group without a leader because only a learner holds the most complete log.
func TestLearnerWithTheMostCompleteLogEndsAStandstill(t *testing.T) {
	b := newTestGroup(t, 3, 1)
	// Voter 3 led last, sent an entry to the learner only, and is lost. Voter 1 holds an
	// uncommitted list of an earlier term in which the learner votes.
	b.down[3] = true
	list := b.nodes[1].membership
	learner, _ := list.Find(4)
	learner.Learner = false
	data, err := EncodeMembership(list.With(learner))
	assert.NilError(t, err)
	b.append(1, Entry{Term: 2, Index: 2, Type: EntryMembership, Data: data})
	b.append(4, Entry{Term: 3, Index: 2})

	b.advance(10 * time.Second)
	n := b.leader()
	assert.Assert(t, n.membership.IsVoter(n.cfg.ID))
	assert.Assert(t, n.ownTermCommitted())
	assert.Equal(t, len(n.membership.Voters()), 3)
}

// append gives a node a synced entry, as if a leader that is gone had sent it.
func (b *testGroup) append(id NodeID, e Entry) {
	n := b.nodes[id]
	n.hard.Term = e.Term
	n.log.entries = append(n.log.entries, e)
	n.log.stable = e.Index
	assert.NilError(b.t, n.reloadMembership())
}

// Guards against two disjoint majorities while several voters are exchanged at once.
func TestJointListNeedsAMajorityOfBothLists(t *testing.T) {
	b := newTestGroup(t, 5, 2)
	n := b.leader()
	b.advance(300 * time.Millisecond)
	peers := b.peersOf(n)
	next := b.exchangeTwo(n)
	_, err := n.ProposeMembership(next)
	assert.Assert(t, errors.Is(err, ErrInvalidChange), "%v", err)
	joint := n.membership.joint(next.Members)

	for _, id := range peers[:4] {
		b.down[id] = id <= 5
	}
	committed := n.log.committed
	_, err = n.ProposeMembership(joint)
	assert.NilError(t, err)
	b.advance(500 * time.Millisecond)
	assert.Equal(t, n.log.committed, committed, "three of five incoming voters have it, and one of five outgoing ones")
	b.advance(2 * time.Second)
	assert.Assert(t, n.role != RoleLeader)

	for _, id := range peers[:4] {
		b.down[id] = false
	}
	n = b.leader()
	next = b.exchangeTwo(n)
	_, err = n.ProposeMembership(n.membership.joint(next.Members))
	assert.NilError(t, err)
	b.deliverAll()
	_, err = n.ProposeMembership(n.membership.settled())
	assert.NilError(t, err)
	b.deliverAll()
	assert.DeepEqual(t, n.membership.Voters(), next.Voters())
}

// exchangeTwo returns the leader's membership with two other voters exchanged for learners.
func (b *testGroup) exchangeTwo(leader *Node) Membership {
	next := leader.membership.clone()
	peers := b.peersOf(leader)
	for i, m := range next.Members {
		next.Members[i].Learner = m.ID == peers[0] || m.ID == peers[1]
	}
	return next
}

// Guards against a vote that goes to a learner which is about to stop.
func TestStoppingLearnerTakesOverNoVote(t *testing.T) {
	b := newTestGroup(t, 3, 1)
	n := b.leader()
	b.advance(300 * time.Millisecond)
	assert.Assert(t, !b.nodes[4].Leave())
	b.advance(200 * time.Millisecond)
	assert.Assert(t, b.nodes[4].Leave())
	b.down[4] = true
	b.nodes[b.peersOf(n)[0]].Leave()
	b.advance(200 * time.Millisecond)
	_, reason := NextMembership(n.MembershipView(3, nil))
	assert.Equal(t, reason, "")
}
