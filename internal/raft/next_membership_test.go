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

// Guards against the loss of the majority while a spare is available. A voter's VM
// is lost for good, and a fourth control VM is a learner. If a second voter is lost
// before the learner is promoted, the group has no majority.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	v := sampleView()
	v.SilentMembers = map[NodeID]bool{3: true}
	v.FreshMembers = map[NodeID]bool{1: true, 2: true}
	v.ActiveMembers[3] = false
	_, reason := NextMembership(v)
	assert.Equal(t, reason, "", "there is no learner")

	v.Membership = v.Membership.With(Member{ID: 4, VM: "d", DataCentre: "z", Address: "4", Learner: true})
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "the learner has not caught up")
	v.ActiveMembers[4] = true
	v.CaughtUpMembers[4] = true
	v.FreshMembers[2] = false
	_, reason = NextMembership(v)
	assert.Equal(t, reason, "", "another voter may be lost too")
	v.FreshMembers[2] = true
	next, _ := NextMembership(v)
	assert.Assert(t, next.IsRemoved(3))
	v.Membership = next
	next, _ = NextMembership(v)
	assert.Assert(t, next.IsVoter(4))
}
