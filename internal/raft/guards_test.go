package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The random runs seldom reach these orders of events, so each has a test of
// its own.

// Story: a node votes, crashes before the vote is synced, and votes for
// another candidate of the same term: two leaders in one term.
func TestVoteIsPersistedBeforeItIsSent(t *testing.T) {
	b := newBench(t, 3, 0)
	b.now += 2 * time.Second
	n := b.nodes[1]
	// It is in the term already, so that the vote alone is new.
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

// Story: a leader of term 3 brings an entry of term 2 to a majority and calls
// it committed. It dies, and a node with a later entry at that place, which a
// leader between the two had written, wins and overwrites it.
func TestEarlierTermsCommitOnlyWithTheOwn(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	n.log.entries = append(n.log.entries[:1:1], Entry{Term: n.hard.Term - 1, Index: 2}, Entry{Term: n.hard.Term, Index: 3})
	n.log.committed = 1
	n.log.applied = 1
	n.openingIndex = 3
	reply := Message{Type: MessageAppendReply, Group: 1, From: b.others(n)[0], To: n.cfg.ID, Term: n.hard.Term, Index: 2}
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

// Story: a leader is cut off while an answer to an earlier heartbeat is still
// on its way. Taken for the confirmation of a read asked later, it would let
// the old leader answer after the new one has taken a write.
func TestReadNeedsARoundThatBeganAfterIt(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	late := Message{
		Type: MessageHeartbeatReply, Group: 1, From: b.others(n)[0], To: n.cfg.ID,
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

// Story: a replica that came back with an empty disk, not a voter yet, answers
// a candidate. Two such answers must not make a majority of three.
func TestOnlyVotersCount(t *testing.T) {
	b := newBench(t, 3, 2)
	n := b.nodes[1]
	n.startElection(false)
	for _, id := range []NodeID{4, 5, 99} {
		n.Step(b.now, Message{Type: MessageVoteReply, Group: 1, From: id, To: 1, Term: n.hard.Term})
	}
	assert.Equal(t, n.role, RoleCandidate)
	n.Step(b.now, Message{Type: MessageVoteReply, Group: 1, From: 2, To: 1, Term: n.hard.Term})
	assert.Equal(t, n.role, RoleLeader)
}

// Story: the leader's clock runs 5% slow and the voters' 5% fast. A lease as
// long as the voters' promise would outlast it.
func TestLeaseIsShorterThanThePromise(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(500 * time.Millisecond)
	promise := n.quorumAckedAt() + n.cfg.ElectionTimeout
	assert.Equal(t, n.LeaseExpiry(), promise-n.cfg.LeaseMargin)
	slow := float64(n.cfg.ElectionTimeout-n.cfg.LeaseMargin) / (1 - simClockDrift)
	fast := float64(n.cfg.ElectionTimeout) / (1 + simClockDrift)
	assert.Assert(t, slow < fast)
}

// Story: a leader is cut off from both peers. Callers that reach it would wait
// on it without end, and operators would see two leaders.
func TestLeaderWithoutAQuorumStepsDown(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(300 * time.Millisecond)
	for _, id := range b.others(n) {
		b.down[id] = true
	}
	b.pass(n.cfg.ElectionTimeout / 2)
	assert.Equal(t, n.role, RoleLeader)
	b.pass(n.cfg.ElectionTimeout)
	assert.Assert(t, n.role != RoleLeader)
	term := n.hard.Term
	b.pass(5 * time.Second)
	assert.Equal(t, n.hard.Term, term, "pre-votes start no new terms")
}

// Story: a leader is cut off, and an answer to a heartbeat of long ago arrives
// late. Counted from its arrival, the lease would go on while the voters'
// promise, made when they sent the answer, has run out.
func TestLateAnswerDoesNotRenewTheLease(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(500 * time.Millisecond)
	sent := b.now
	others := b.others(n)
	b.down[others[0]] = true
	b.down[others[1]] = true
	b.pass(600 * time.Millisecond)
	before := n.LeaseExpiry()
	n.Step(b.now, Message{
		Type: MessageHeartbeatReply, Group: 1, From: others[0], To: n.cfg.ID,
		Term: n.hard.Term, SentAt: sent, Round: n.round,
	})
	assert.Equal(t, n.LeaseExpiry(), max(before, sent+n.cfg.ElectionTimeout-n.cfg.LeaseMargin))
	assert.Assert(t, n.LeaseExpiry() < b.now+n.cfg.ElectionTimeout/2)
}
