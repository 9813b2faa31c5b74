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
		Self:            1,
		TargetVoters:    3,
		ActiveMembers:   map[NodeID]bool{1: true, 2: true, 3: true},
		CaughtUpMembers: map[NodeID]bool{1: true, 2: true, 3: true},
		FreshMembers:    map[NodeID]bool{1: true, 2: true, 3: true},
		SilentMembers:   map[NodeID]bool{},
		LeavingMembers:  map[NodeID]bool{},
		AbsentMembers:   map[NodeID]bool{},
	}
}

// Guards against a stale join request that removes a new member. VM b joined,
// became a voter, lost its disk and joined again within ten seconds. The leader
// still held the first request. The new identity had not answered yet, so the
// leader removed it as the replaced member. The VM could never return under that
// identity.
func TestStaleJoinReplacesNoMember(t *testing.T) {
	v := sampleView()
	v.Membership = v.Membership.Without(2)
	v.Membership = v.Membership.With(Member{ID: 22, VM: "b", DataCentre: "y", Address: "2", Learner: true})
	v.JoinRequests = []Member{{ID: 2, VM: "b", DataCentre: "y", Address: "2"}, {ID: 22, VM: "b", DataCentre: "y", Address: "2"}}
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "")
}

// A VM that returns with an empty disk is replaced in order: the old identity is
// removed, the new one joins as learner, and it votes only once it has caught up.
// Otherwise both identities could count at once.
func TestReplacementInOrder(t *testing.T) {
	v := sampleView()
	v.JoinRequests = []Member{{ID: 33, VM: "c", DataCentre: "z", Address: "3"}}
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "", "the old identity still answers")

	v.ActiveMembers[3] = false
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
	v.ActiveMembers[33] = true
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "the learner has not caught up yet")
	v.CaughtUpMembers[33] = true
	next, _ = NextMembership(v)
	assert.Assert(t, next.IsVoter(33))
}

// Guards against voters that share a data centre. Of three wanted voters, one is
// lost. The learner to promote is the one in the data centre without a voter.
func TestPromotionSpreadsOverDataCentres(t *testing.T) {
	v := sampleView()
	v.Membership = v.Membership.Without(3)
	v.Membership = v.Membership.With(Member{ID: 4, VM: "d", DataCentre: "x", Address: "4", Learner: true})
	v.Membership = v.Membership.With(Member{ID: 5, VM: "e", DataCentre: "z", Address: "5", Learner: true})
	for _, id := range []NodeID{4, 5} {
		v.ActiveMembers[id] = true
		v.CaughtUpMembers[id] = true
	}
	next, _ := NextMembership(v)
	assert.Assert(t, next.IsVoter(5))
	assert.Assert(t, !next.IsVoter(4))
}

// A VM that keeps its disk but changes its address remains a voter under the same
// identity, and the membership has the new address.
func TestMovedReplicaKeepsItsVote(t *testing.T) {
	v := sampleView()
	v.JoinRequests = []Member{{ID: 2, VM: "b", DataCentre: "y", Address: "20"}}
	next, _ := NextMembership(v)
	m, _ := next.Find(2)
	assert.Equal(t, m, Member{ID: 2, VM: "b", DataCentre: "y", Address: "20"})
}

// addLearner adds a learner that answers and has caught up.
func (v *MembershipView) addLearner(id NodeID, vm, dataCentre string) {
	v.Membership = v.Membership.With(Member{ID: id, VM: vm, DataCentre: dataCentre, Learner: true})
	v.ActiveMembers[id] = true
	v.FreshMembers[id] = true
	v.CaughtUpMembers[id] = true
}

// silence makes a member silent for the replacement period.
func (v *MembershipView) silence(id NodeID) {
	v.ActiveMembers[id] = false
	v.FreshMembers[id] = false
	v.SilentMembers[id] = true
}

// fiveVoterView returns a view of five voters that all answer.
func fiveVoterView() MembershipView {
	v := sampleView()
	v.TargetVoters = 5
	for _, id := range []NodeID{4, 5} {
		v.addLearner(id, string(rune('a'+id-1)), "x")
		voter, _ := v.Membership.Find(id)
		voter.Learner = false
		v.Membership = v.Membership.With(voter)
	}
	return v
}

// Guards against the loss of the majority while a spare is available. A voter's VM
// is lost for good, and a fourth control VM is a learner. If a second voter is lost
// before the learner is promoted, the group has no majority.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	v := sampleView()
	v.silence(3)
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "", "there is no learner")

	v.addLearner(4, "d", "z")
	v.CaughtUpMembers[4] = false
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "the learner has not caught up")
	v.CaughtUpMembers[4] = true
	v.FreshMembers[2] = false
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "another voter may be lost too")
	v.FreshMembers[2] = true
	next, _ := NextMembership(v)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 4})
	assert.DeepEqual(t, next.Outgoing, []NodeID{1, 2, 3})
	v.Membership = next
	next, _ = NextMembership(v)
	assert.Equal(t, len(next.Outgoing), 0)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 4})
}

// Guards against silent voters that are never replaced because there are two of them.
func TestTwoSilentVotersAreReplaced(t *testing.T) {
	v := fiveVoterView()
	v.silence(4)
	v.silence(5)
	v.addLearner(6, "f", "x")
	next, _ := NextMembership(v)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 3, 5, 6})

	v.addLearner(7, "g", "x")
	next, _ = NextMembership(v)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 3, 6, 7})
	assert.DeepEqual(t, next.Outgoing, []NodeID{1, 2, 3, 4, 5})
}

// Guards against the exchange of a voter that is cut off in place of one that is lost.
func TestLearnerReplacesTheSilentVoterOfItsDataCentre(t *testing.T) {
	v := fiveVoterView()
	v.silence(2)
	v.silence(3)
	v.addLearner(6, "f", "z")
	next, _ := NextMembership(v)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 4, 5, 6})
}

// Guards against a silent voter whose place goes to the successor of another one.
func TestSilentVoterKeepsItsVoteWhileAnotherRejoins(t *testing.T) {
	v := fiveVoterView()
	v.silence(3)
	v.silence(5)
	v.JoinRequests = []Member{{ID: 55, VM: "e", DataCentre: "x"}}
	next, _ := NextMembership(v)
	assert.Assert(t, next.IsRemoved(5))
	v.Membership = next
	next, _ = NextMembership(v)
	v.Membership = next
	v.addLearner(55, "e", "x")
	next, _ = NextMembership(v)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 3, 4, 55})
}

// Guards against a voter that never votes again because it was cut off for a while.
func TestReplacedVoterVotesAgain(t *testing.T) {
	v := sampleView()
	v.silence(3)
	v.addLearner(4, "d", "z")
	next, _ := NextMembership(v)
	former, _ := next.Find(3)
	assert.Assert(t, former.Learner && !next.IsRemoved(3))

	v.Membership = next.settled()
	v.ActiveMembers[3], v.FreshMembers[3], v.SilentMembers[3] = true, true, false
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "")
	v.silence(4)
	next, _ = NextMembership(v)
	assert.DeepEqual(t, next.Voters(), []NodeID{1, 2, 3})
}

// Guards against a list that grows with each VM that is lost for good.
func TestAbsentLearnerIsDroppedAndMayReturn(t *testing.T) {
	v := sampleView()
	v.addLearner(4, "d", "z")
	v.silence(4)
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "")
	v.AbsentMembers[4] = true
	next, _ := NextMembership(v)
	_, ok := next.Find(4)
	assert.Assert(t, !ok && !next.IsRemoved(4))

	v.Membership = next
	v.JoinRequests = []Member{{ID: 4, VM: "d", DataCentre: "z", Address: "4"}}
	next, _ = NextMembership(v)
	m, ok := next.Find(4)
	assert.Assert(t, ok && m.Learner)
}
