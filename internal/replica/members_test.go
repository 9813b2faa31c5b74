package replica

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/raft"
)

func sampleView() memberView {
	return memberView{
		membership: raft.Membership{Members: []Member{
			{ID: 1, VM: "a", DataCentre: "x", Address: "1"},
			{ID: 2, VM: "b", DataCentre: "y", Address: "2"},
			{ID: 3, VM: "c", DataCentre: "z", Address: "3"},
		}},
		self:     1,
		wanted:   3,
		active:   map[raft.NodeID]bool{1: true, 2: true, 3: true},
		caughtUp: map[raft.NodeID]bool{1: true, 2: true, 3: true},
	}
}

// Story: VM b asked to join, became a voter, lost its disk and joined again
// within ten seconds. The leader still remembered the first request, took the
// new identity, not heard from yet, for the old one, and removed it. The VM
// could never return under that identity.
func TestStaleJoinReplacesNobody(t *testing.T) {
	v := sampleView()
	v.membership = v.membership.Without(2)
	v.membership = v.membership.With(Member{ID: 22, VM: "b", DataCentre: "y", Address: "2", Learner: true})
	v.joins = []Member{{ID: 2, VM: "b", DataCentre: "y", Address: "2"}, {ID: 22, VM: "b", DataCentre: "y", Address: "2"}}
	_, reason := nextMembership(v)
	assert.Equal(t, reason, "")
}

// Story: a VM comes back with an empty disk. Its old identity leaves the list
// before the new one enters, and the new one votes only once it has caught up.
func TestReplacementInOrder(t *testing.T) {
	v := sampleView()
	v.joins = []Member{{ID: 33, VM: "c", DataCentre: "z", Address: "3"}}
	_, reason := nextMembership(v)
	assert.Equal(t, reason, "", "the old identity still answers")

	v.active[3] = false
	next, _ := nextMembership(v)
	assert.Assert(t, next.IsRemoved(3))
	assert.Equal(t, len(next.Members), 2)

	v.membership = next
	next, _ = nextMembership(v)
	m, ok := next.Find(33)
	assert.Assert(t, ok && m.Learner)

	v.membership = next
	_, reason = nextMembership(v)
	assert.Equal(t, reason, "", "the learner has not answered yet")
	v.active[33] = true
	v.caughtUp[33] = true
	next, _ = nextMembership(v)
	assert.Assert(t, next.IsVoter(33))
}

// Story: four control VMs, three voters wanted. A voter is lost; the learner
// to promote is one from the data centre that has no voter.
func TestPromotionSpreadsOverDataCentres(t *testing.T) {
	v := sampleView()
	v.membership = v.membership.Without(3)
	v.membership = v.membership.With(Member{ID: 4, VM: "d", DataCentre: "x", Address: "4", Learner: true})
	v.membership = v.membership.With(Member{ID: 5, VM: "e", DataCentre: "z", Address: "5", Learner: true})
	for _, id := range []raft.NodeID{4, 5} {
		v.active[id] = true
		v.caughtUp[id] = true
	}
	next, _ := nextMembership(v)
	assert.Assert(t, next.IsVoter(5))
	assert.Assert(t, !next.IsVoter(4))
}

// Story: a VM keeps its disk but gets another address. It stays a voter under
// its identity and the list shows the new address.
func TestMovedReplicaKeepsItsVote(t *testing.T) {
	v := sampleView()
	v.joins = []Member{{ID: 2, VM: "b", DataCentre: "y", Address: "20"}}
	next, _ := nextMembership(v)
	m, _ := next.Find(2)
	assert.Equal(t, m, Member{ID: 2, VM: "b", DataCentre: "y", Address: "20"})
}
