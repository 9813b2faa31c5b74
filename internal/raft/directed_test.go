package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// testGroup is a small group of nodes with identical clocks and a network without
// delay, for tests that need one exact order of events.
type testGroup struct {
	t     *testing.T
	now   time.Duration
	nodes map[NodeID]*Node
	order []NodeID
	// down holds the nodes that neither send nor receive.
	down map[NodeID]bool
	// heldTypes holds the message types that are collected in heldMessages instead of
	// delivered.
	heldTypes    map[MessageType]bool
	heldMessages []Message
	reads        []Read
}

func newTestGroup(t *testing.T, voters, learners int) *testGroup {
	t.Helper()
	b := &testGroup{
		t: t, now: time.Hour, nodes: map[NodeID]*Node{}, down: map[NodeID]bool{}, heldTypes: map[MessageType]bool{},
	}
	var m Membership
	for id := NodeID(1); id <= NodeID(voters+learners); id++ {
		m.Members = append(m.Members, Member{ID: id, VM: string(rune('a' + id)), Learner: id > NodeID(voters)})
		b.order = append(b.order, id)
	}
	data, err := EncodeMembership(m)
	assert.NilError(t, err)
	for _, id := range b.order {
		saved := PersistedState{
			HardState: HardState{Term: 1, Commit: 1},
			Entries:   []Entry{{Term: 1, Index: 1, Type: EntryMembership, Data: data}},
		}
		node, err := New(Config{
			ID: id, Group: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
			LeaseMargin: 125 * time.Millisecond, Rand: rand.New(rand.NewPCG(uint64(id), 7)),
		}, saved, b.now)
		assert.NilError(t, err)
		b.nodes[id] = node
	}
	return b
}

// deliverAll delivers messages until none are left.
func (b *testGroup) deliverAll() {
	for moved := true; moved; {
		moved = false
		for _, id := range b.order {
			r := b.nodes[id].Ready()
			if r.IsEmpty() {
				continue
			}
			moved = true
			b.nodes[id].Advance(r)
			b.reads = append(b.reads, r.Reads...)
			for _, m := range r.Messages {
				b.deliver(m)
			}
		}
	}
}

func (b *testGroup) deliver(m Message) {
	if b.heldTypes[m.Type] {
		b.heldMessages = append(b.heldMessages, m)
		return
	}
	if !b.down[m.From] && !b.down[m.To] && b.nodes[m.To] != nil {
		b.nodes[m.To].Step(b.now, m)
	}
}

// advance advances the clock by d in steps of 50 ms and ticks the nodes that are up.
func (b *testGroup) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 50 * time.Millisecond
		for _, id := range b.order {
			if !b.down[id] {
				b.nodes[id].Tick(b.now)
			}
		}
		b.deliverAll()
	}
}

// leader advances the clock until a node that is up leads, and returns that node.
func (b *testGroup) leader() *Node {
	b.t.Helper()
	for range 200 {
		b.advance(50 * time.Millisecond)
		for _, id := range b.order {
			if n := b.nodes[id]; n.role == RoleLeader && !b.down[id] {
				return n
			}
		}
	}
	b.t.Fatal("no leader")
	return nil
}

func (b *testGroup) peersOf(n *Node) []NodeID {
	var ids []NodeID
	for _, id := range b.order {
		if id != n.cfg.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against a group without a majority after a promotion. Of three voters,
// with five wanted, one is just lost. The leader promotes a fourth VM, which is
// lost too before it has answered. Two of four voters are no majority, although two
// of three were, and the group stays down.
func TestFourthVoterNeedsAllToAnswer(t *testing.T) {
	b := newTestGroup(t, 3, 1)
	n := b.leader()
	lost := b.peersOf(n)[0]
	b.down[lost] = true
	b.advance(400 * time.Millisecond)
	learner, _ := n.membership.Find(4)
	learner.Learner = false
	_, err := n.ProposeMembership(n.membership.With(learner))
	assert.Assert(t, errors.Is(err, ErrUnsafeChange), "%v", err)

	b.down[lost] = false
	b.advance(400 * time.Millisecond)
	_, err = n.ProposeMembership(n.membership.With(learner))
	assert.NilError(t, err)
}

// Guards against a stale read on a new leader. The leader holds an entry that the
// old leader committed and answered, but does not yet know that it is committed. A
// read at this point would return the state before that write.
func TestNoReadBeforeAnEntryOfTheOwnTerm(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	b.heldTypes[MessageAppend] = true
	n := b.leader()
	assert.Assert(t, errors.Is(n.ReadIndex(b.now, 1), ErrNotReady))
	assert.Equal(t, n.LeaseExpiry(), time.Duration(0))
	_, err := n.ProposeMembership(n.membership.Without(b.peersOf(n)[0]))
	assert.Assert(t, errors.Is(err, ErrNotReady), "%v", err)

	b.heldTypes[MessageAppend] = false
	b.advance(200 * time.Millisecond)
	assert.NilError(t, n.ReadIndex(b.now, 1))
	b.deliverAll()
	assert.Equal(t, len(b.reads), 1)
	assert.Assert(t, n.LeaseExpiry() > b.now)
}

// Guards against a lease on a stale state machine. A new leader knows that all
// entries of its predecessors are committed but has not applied them yet. With a
// lease, it would grant leases to others based on a state that is long out of date.
func TestNoLeaseBeforeTheEntriesOfEarlierLeadersAreApplied(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	b.heldTypes[MessageAppendReply] = true
	n := b.leader()
	for _, m := range b.heldMessages {
		if m.To == n.cfg.ID {
			n.Step(b.now, m)
		}
	}
	assert.Assert(t, n.ownTermCommitted())
	assert.Equal(t, n.LeaseExpiry(), time.Duration(0))

	b.heldTypes[MessageAppendReply] = false
	b.deliverAll()
	assert.Assert(t, n.LeaseExpiry() > b.now)
}

// Guards against a leader that serves after a long pause. Its process is suspended
// until another node leads. When it resumes, a caller requests its lease and a
// read before it has handled any message.
func TestFrozenLeaderHasNoLease(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	frozen := n.cfg.ID
	assert.Assert(t, n.LeaseExpiry() > b.now)
	b.down[frozen] = true
	next := b.leader()
	assert.Assert(t, next.cfg.ID != frozen)
	assert.Assert(t, n.LeaseExpiry() <= b.now)

	assert.NilError(t, n.ReadIndex(b.now, 1))
	b.down[frozen] = false
	b.advance(time.Second)
	assert.Equal(t, len(b.reads), 0)
	assert.Equal(t, n.role, RoleFollower)
}

// Guards against a broken vote promise within a term. A follower enters a later
// term because of a message other than a vote request. A candidate of that term
// then requests its vote. The vote would break the promise on which the current
// leader's lease depends, and a second leader would serve while the first one still
// answers reads.
func TestVotePromiseHoldsInTheCandidatesTerm(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	others := b.peersOf(n)
	voter := b.nodes[others[0]]
	term := voter.hard.Term + 1
	voter.Step(b.now, Message{Type: MessagePreVoteReply, Group: 1, From: others[1], To: others[0], Term: term, Reject: true})
	assert.Equal(t, voter.hard.Term, term)
	last := n.log.last()
	voter.Step(b.now, Message{
		Type: MessageVote, Group: 1, From: others[1], To: others[0], Term: term, Index: last.Index, LogTerm: last.Term,
	})
	assert.Equal(t, voter.hard.Vote, NodeID(0))
}

// Guards against two leaders during a leadership transfer, as before a graceful
// stop. The successor's election does not wait for vote promises. The old leader's
// lease must therefore end when it sends MessageTimeoutNow.
func TestLeadershipTransferEndsTheLease(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	b.heldTypes[MessageTimeoutNow] = true
	assert.NilError(t, n.TransferLeadership(b.now))
	assert.Equal(t, n.LeaseExpiry(), time.Duration(0))
	_, err := n.Propose([]byte("x"))
	assert.Assert(t, errors.Is(err, ErrTransferring))
	b.deliverAll()
	assert.Equal(t, len(b.heldMessages), 1)

	b.heldTypes[MessageTimeoutNow] = false
	b.deliver(b.heldMessages[0])
	b.deliverAll()
	assert.Equal(t, b.nodes[b.heldMessages[0].To].role, RoleLeader)
	assert.Equal(t, n.role, RoleFollower)
}

// Guards against a removed member that requests votes forever. A member is removed
// while it is partitioned. When it returns and requests votes, it is notified of its
// removal and stops.
func TestRemovedMemberIsNotified(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	removed := b.peersOf(n)[0]
	b.down[removed] = true
	_, err := n.ProposeMembership(n.membership.Without(removed))
	assert.NilError(t, err)
	b.advance(3 * time.Second)
	term := n.hard.Term
	b.down[removed] = false
	b.advance(3 * time.Second)
	assert.Assert(t, b.nodes[removed].Status().Removed)
	assert.Equal(t, n.role, RoleLeader)
	assert.Equal(t, n.hard.Term, term)
}

// Guards against two disjoint majorities when two operators change the membership
// at once. Either an exchange of two voters in one step or a second change before
// the first is committed could cause them.
func TestOneMembershipChangeAtATime(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	others := b.peersOf(n)
	two := n.membership.Without(others[0]).With(Member{ID: 9, VM: "z"})
	_, err := n.ProposeMembership(two)
	assert.Assert(t, errors.Is(err, ErrInvalidChange), "%v", err)
	_, err = n.ProposeMembership(n.membership.With(Member{ID: 9, VM: "z", Learner: true}))
	assert.NilError(t, err)
	_, err = n.ProposeMembership(n.membership.Without(others[0]))
	assert.Assert(t, errors.Is(err, ErrChangePending), "%v", err)
}

// Guards against a vote promise lost in a restart or a step-down. A leader answers
// reads under its lease while one follower does not receive its messages. The other
// follower restarts, or the leader steps down because of a later term. Both counted
// in the majority for the lease. If either voted at once for the isolated follower,
// a second leader would write while the lease still runs.
func TestVotePromiseOutlastsRestartAndStepDown(t *testing.T) {
	b := newTestGroup(t, 3, 0)
	n := b.leader()
	b.advance(200 * time.Millisecond)
	others := b.peersOf(n)
	isolated := others[0]
	term := n.hard.Term + 1
	last := n.log.last()
	voteRequest := func(to NodeID) Message {
		return Message{
			Type: MessageVote, Group: 1, From: isolated, To: to, Term: term, Index: last.Index, LogTerm: last.Term,
		}
	}
	old := b.nodes[others[1]]
	saved := PersistedState{HardState: old.hard, Entries: old.log.entries}
	restarted, err := New(old.cfg, saved, b.now)
	assert.NilError(t, err)
	restarted.Step(b.now, voteRequest(restarted.cfg.ID))
	assert.Equal(t, restarted.hard, saved.HardState)

	n.Step(b.now, Message{
		Type: MessageAppendReply, Group: 1, From: isolated, To: n.cfg.ID, Term: term, Reject: true,
	})
	assert.Equal(t, n.role, RoleFollower)
	n.Step(b.now, voteRequest(n.cfg.ID))
	assert.Equal(t, n.hard.Vote, NodeID(0))
	n.Step(b.now+2*time.Second, voteRequest(n.cfg.ID))
	assert.Equal(t, n.hard.Vote, isolated)
}
