package raft

import (
	"testing"

	"gotest.tools/v3/assert"
)

func sampleView() MembershipView {
	return MembershipView{
		Membership: Membership{Members: []Member{
			{ID: 1, VM: "a", DataCentre: "x", Address: "1"},
			{ID: 2, VM: "b", DataCentre: "y", Address: "2"},
			{ID: 3, VM: "c", DataCentre: "z", Address: "3"},
		}},
		Self:     1,
		Wanted:   3,
		Active:   map[NodeID]bool{1: true, 2: true, 3: true},
		CaughtUp: map[NodeID]bool{1: true, 2: true, 3: true},
	}
}

// Story: VM b asked to join, became a voter, lost its disk and joined again
// within ten seconds. The leader still remembered the first request, took the
// new identity, not heard from yet, for the old one, and removed it. The VM
// could never return under that identity.
func TestStaleJoinReplacesNobody(t *testing.T) {
	v := sampleView()
	v.Membership = v.Membership.Without(2)
	v.Membership = v.Membership.With(Member{ID: 22, VM: "b", DataCentre: "y", Address: "2", Learner: true})
	v.Joins = []Member{{ID: 2, VM: "b", DataCentre: "y", Address: "2"}, {ID: 22, VM: "b", DataCentre: "y", Address: "2"}}
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "")
}

// Story: a VM comes back with an empty disk. Its old identity leaves the list
// before the new one enters, and the new one votes only once it has caught up.
func TestReplacementInOrder(t *testing.T) {
	v := sampleView()
	v.Joins = []Member{{ID: 33, VM: "c", DataCentre: "z", Address: "3"}}
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "", "the old identity still answers")

	v.Active[3] = false
	next, _ := NextMembership(v)
	assert.Assert(t, next.IsRemoved(3))
	assert.Equal(t, len(next.Members), 2)

	v.Membership = next
	next, _ = NextMembership(v)
	m, ok := next.Find(33)
	assert.Assert(t, ok && m.Learner)

	v.Membership = next
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "the learner has not answered yet")
	v.Active[33] = true
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "the learner has not caught up yet")
	v.CaughtUp[33] = true
	next, _ = NextMembership(v)
	assert.Assert(t, next.IsVoter(33))
}

// Story: four control VMs, three voters wanted. A voter is lost; the learner
// to promote is one from the data centre that has no voter.
func TestPromotionSpreadsOverDataCentres(t *testing.T) {
	v := sampleView()
	v.Membership = v.Membership.Without(3)
	v.Membership = v.Membership.With(Member{ID: 4, VM: "d", DataCentre: "x", Address: "4", Learner: true})
	v.Membership = v.Membership.With(Member{ID: 5, VM: "e", DataCentre: "z", Address: "5", Learner: true})
	for _, id := range []NodeID{4, 5} {
		v.Active[id] = true
		v.CaughtUp[id] = true
	}
	next, _ := NextMembership(v)
	assert.Assert(t, next.IsVoter(5))
	assert.Assert(t, !next.IsVoter(4))
}

// Story: a VM keeps its disk but gets another address. It stays a voter under
// its identity and the list shows the new address.
func TestMovedReplicaKeepsItsVote(t *testing.T) {
	v := sampleView()
	v.Joins = []Member{{ID: 2, VM: "b", DataCentre: "y", Address: "20"}}
	next, _ := NextMembership(v)
	m, _ := next.Find(2)
	assert.Equal(t, m, Member{ID: 2, VM: "b", DataCentre: "y", Address: "20"})
}

// Story: a voter's VM dies in the evening and never returns. A fourth control
// VM stands by as learner. By morning a second voter is gone: without the
// spare's promotion the group would have no majority.
func TestSpareTakesTheSilentVotersPlace(t *testing.T) {
	v := sampleView()
	v.Silent = map[NodeID]bool{3: true}
	v.Fresh = map[NodeID]bool{1: true, 2: true}
	v.Active[3] = false
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "", "there is no spare")

	v.Membership = v.Membership.With(Member{ID: 4, VM: "d", DataCentre: "z", Address: "4", Learner: true})
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "the spare has not caught up")
	v.Active[4] = true
	v.CaughtUp[4] = true
	v.Fresh[2] = false
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "another voter may be gone too")
	v.Fresh[2] = true
	next, _ := NextMembership(v)
	assert.Assert(t, next.IsRemoved(3))
	v.Membership = next
	next, _ = NextMembership(v)
	assert.Assert(t, next.IsVoter(4))
}
