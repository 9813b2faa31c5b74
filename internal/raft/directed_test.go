package raft

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// bench is a few nodes with perfect clocks and a network without delay, for
// the tests that need one exact order of events.
type bench struct {
	t     *testing.T
	now   time.Duration
	nodes map[NodeID]*Node
	order []NodeID
	// down nodes neither send nor receive.
	down map[NodeID]bool
	// held collects messages of these types in place of delivering them.
	holds map[MessageType]bool
	held  []Message
	reads []Read
}

func newBench(t *testing.T, voters, learners int) *bench {
	t.Helper()
	b := &bench{
		t: t, now: time.Hour, nodes: map[NodeID]*Node{}, down: map[NodeID]bool{}, holds: map[MessageType]bool{},
	}
	var m Membership
	for id := NodeID(1); id <= NodeID(voters+learners); id++ {
		m.Members = append(m.Members, Member{ID: id, VM: string(rune('a' + id)), Learner: id > NodeID(voters)})
		b.order = append(b.order, id)
	}
	data, err := EncodeMembership(m)
	assert.NilError(t, err)
	for _, id := range b.order {
		saved := Saved{
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

// settle exchanges messages until there are none.
func (b *bench) settle() {
	for moved := true; moved; {
		moved = false
		for _, id := range b.order {
			r := b.nodes[id].Ready()
			if r.Empty() {
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

func (b *bench) deliver(m Message) {
	if b.holds[m.Type] {
		b.held = append(b.held, m)
		return
	}
	if !b.down[m.From] && !b.down[m.To] && b.nodes[m.To] != nil {
		b.nodes[m.To].Step(b.now, m)
	}
}

func (b *bench) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 50 * time.Millisecond
		for _, id := range b.order {
			if !b.down[id] {
				b.nodes[id].Tick(b.now)
			}
		}
		b.settle()
	}
}

// leader lets time pass until an up node leads.
func (b *bench) leader() *Node {
	b.t.Helper()
	for range 200 {
		b.pass(50 * time.Millisecond)
		for _, id := range b.order {
			if n := b.nodes[id]; n.role == RoleLeader && !b.down[id] {
				return n
			}
		}
	}
	b.t.Fatal("no leader")
	return nil
}

func (b *bench) others(n *Node) []NodeID {
	var ids []NodeID
	for _, id := range b.order {
		if id != n.cfg.ID {
			ids = append(ids, id)
		}
	}
	return ids
}

// Story: three voters of five wanted, one of them just lost. The leader makes a
// fourth VM a voter, and that one is lost too before it has answered. Two of
// four are no majority, although two of three were: the group stays down.
func TestFourthVoterNeedsAllToAnswer(t *testing.T) {
	b := newBench(t, 3, 1)
	n := b.leader()
	lost := b.others(n)[0]
	b.down[lost] = true
	b.pass(400 * time.Millisecond)
	learner, _ := n.membership.Find(4)
	learner.Learner = false
	_, err := n.ProposeMembership(n.membership.With(learner))
	assert.Assert(t, errors.Is(err, ErrUnsafeChange), "%v", err)

	b.down[lost] = false
	b.pass(400 * time.Millisecond)
	_, err = n.ProposeMembership(n.membership.With(learner))
	assert.NilError(t, err)
}

// Story: a new leader is asked for a read. It holds an entry that the old
// leader had committed and answered, but doesn't know yet that it is
// committed. Answering now would show the state before that write.
func TestNoReadBeforeAnEntryOfTheOwnTerm(t *testing.T) {
	b := newBench(t, 3, 0)
	b.holds[MessageAppend] = true
	n := b.leader()
	assert.Assert(t, errors.Is(n.ReadIndex(b.now, 1), ErrNotReady))
	assert.Equal(t, n.LeaseExpiry(), time.Duration(0))
	_, err := n.ProposeMembership(n.membership.Without(b.others(n)[0]))
	assert.Assert(t, errors.Is(err, ErrNotReady), "%v", err)

	b.holds[MessageAppend] = false
	b.pass(200 * time.Millisecond)
	assert.NilError(t, n.ReadIndex(b.now, 1))
	b.settle()
	assert.Equal(t, len(b.reads), 1)
	assert.Assert(t, n.LeaseExpiry() > b.now)
}

// Failure: a new leader knows that all of its predecessors' entries are committed and still
// applies them. With its lease it would grant others one on a state of long before.
func TestNoLeaseBeforeTheEntriesOfEarlierLeadersAreApplied(t *testing.T) {
	b := newBench(t, 3, 0)
	b.holds[MessageAppendReply] = true
	n := b.leader()
	for _, m := range b.held {
		if m.To == n.cfg.ID {
			n.Step(b.now, m)
		}
	}
	assert.Assert(t, n.ownTermCommitted())
	assert.Equal(t, n.LeaseExpiry(), time.Duration(0))

	b.holds[MessageAppendReply] = false
	b.settle()
	assert.Assert(t, n.LeaseExpiry() > b.now)
}

// Story: a leader's process is stopped for ten seconds and wakes. Before it
// has looked at any message it is asked for its lease, and for a read.
func TestFrozenLeaderHasNoLease(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	frozen := n.cfg.ID
	assert.Assert(t, n.LeaseExpiry() > b.now)
	b.down[frozen] = true
	next := b.leader()
	assert.Assert(t, next.cfg.ID != frozen)
	assert.Assert(t, n.LeaseExpiry() <= b.now)

	assert.NilError(t, n.ReadIndex(b.now, 1))
	b.down[frozen] = false
	b.pass(time.Second)
	assert.Equal(t, len(b.reads), 0)
	assert.Equal(t, n.role, RoleFollower)
}

// Story: a follower comes to a later term by some other message than a vote.
// A candidate of that term asks it next. The vote would break the promise on
// which the present leader's lease rests, so a second leader would serve
// while the first one still answers reads.
func TestPromiseHoldsInTheCandidatesTerm(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	others := b.others(n)
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

// Story: a leader hands over for a graceful stop. Its successor may be elected
// without waiting, so from the moment it is told the old lease must be void.
func TestHandoverEndsTheLease(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	b.holds[MessageTimeoutNow] = true
	assert.NilError(t, n.TransferLeadership(b.now))
	assert.Equal(t, n.LeaseExpiry(), time.Duration(0))
	_, err := n.Propose([]byte("x"))
	assert.Assert(t, errors.Is(err, ErrTransferring))
	b.settle()
	assert.Equal(t, len(b.held), 1)

	b.holds[MessageTimeoutNow] = false
	b.deliver(b.held[0])
	b.settle()
	assert.Equal(t, b.nodes[b.held[0].To].role, RoleLeader)
	assert.Equal(t, n.role, RoleFollower)
}

// Story: a member is removed while it is cut off. When it returns it asks for
// votes again and again; it is told that it was removed, and stays silent.
func TestRemovedMemberIsTold(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	gone := b.others(n)[0]
	b.down[gone] = true
	_, err := n.ProposeMembership(n.membership.Without(gone))
	assert.NilError(t, err)
	b.pass(3 * time.Second)
	term := n.hard.Term
	b.down[gone] = false
	b.pass(3 * time.Second)
	assert.Assert(t, b.nodes[gone].Status().Removed)
	assert.Equal(t, n.role, RoleLeader)
	assert.Equal(t, n.hard.Term, term)
}

// Story: two operators change the membership at once. Two voters exchanged in
// one step, or a second step before the first is committed, could give two
// disjoint majorities.
func TestOneMembershipChangeAtATime(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	others := b.others(n)
	two := n.membership.Without(others[0]).With(Member{ID: 9, VM: "z"})
	_, err := n.ProposeMembership(two)
	assert.Assert(t, errors.Is(err, ErrInvalidChange), "%v", err)
	_, err = n.ProposeMembership(n.membership.With(Member{ID: 9, VM: "z", Learner: true}))
	assert.NilError(t, err)
	_, err = n.ProposeMembership(n.membership.Without(others[0]))
	assert.Assert(t, errors.Is(err, ErrChangePending), "%v", err)
}

// Story: a leader answers reads by its lease while one follower can't hear it.
// The other follower restarts, or the leader itself steps down on hearing of a
// later term. Either has counted in the majority behind the lease, so if it
// voted at once for the one that hears nothing, a second leader would write
// while the lease still runs.
func TestPromiseOutlastsRestartAndStepDown(t *testing.T) {
	b := newBench(t, 3, 0)
	n := b.leader()
	b.pass(200 * time.Millisecond)
	others := b.others(n)
	deaf := others[0]
	term := n.hard.Term + 1
	last := n.log.last()
	ask := func(to NodeID) Message {
		return Message{
			Type: MessageVote, Group: 1, From: deaf, To: to, Term: term, Index: last.Index, LogTerm: last.Term,
		}
	}
	old := b.nodes[others[1]]
	saved := Saved{HardState: old.hard, Entries: old.log.entries}
	restarted, err := New(old.cfg, saved, b.now)
	assert.NilError(t, err)
	restarted.Step(b.now, ask(restarted.cfg.ID))
	assert.Equal(t, restarted.hard, saved.HardState)

	n.Step(b.now, Message{
		Type: MessageAppendReply, Group: 1, From: deaf, To: n.cfg.ID, Term: term, Reject: true,
	})
	assert.Equal(t, n.role, RoleFollower)
	n.Step(b.now, ask(n.cfg.ID))
	assert.Equal(t, n.hard.Vote, NodeID(0))
	n.Step(b.now+2*time.Second, ask(n.cfg.ID))
	assert.Equal(t, n.hard.Vote, deaf)
}
