package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// elevenModels are models with groups of six and three VMs. A domain of eleven that serves one of
// them alone leaves five or two VMs without a group.
var elevenModels = []blackboard.ModelSpec{
	{Name: "wide", VMs: 6, Share: 0.67, LoadMillis: 14_000, StagedMillis: 1500},
	{Name: "narrow", VMs: 3, Share: 0.33, LoadMillis: 14_000, StagedMillis: 1500},
}

func newElevenWorld(t *testing.T, seed uint64, domains int) *poolWorld {
	w := newPoolWorld(t, seed, domains, 11)
	w.configure(2, elevenModels)
	return w
}

// A pool of 66 VMs starts. With one model for each domain, 24 VMs were free while callers of the
// wide model waited. 54 VMs must serve, and the two others of each domain must hold one model
// each.
func TestDomainsOfElevenServeBothModels(t *testing.T) {
	w := newElevenWorld(t, 1, 6)
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 6, "narrow": 6})
	spares := make(map[string]int)
	for _, e := range w.engines {
		if w.board.VMs[e.address].Free() {
			spares[e.model]++
		}
	}
	assert.DeepEqual(t, spares, map[string]int{"wide": 6, "narrow": 6})
}

// In each domain a member of the wide group and a member of the narrow group die at the same
// moment. The standbys must replace them within the time of a join. The members that return five
// seconds later must become standbys for the models that they had, so that the next loss is
// repaired like the first.
func TestEitherModelIsRepairedInJoiningTime(t *testing.T) {
	w := newElevenWorld(t, 2, 3)
	w.run(25 * time.Second)
	all := map[string]int{"wide": 3, "narrow": 3}
	for range 3 {
		assert.DeepEqual(t, w.serving(), all)
		for _, g := range w.board.Groups {
			if g.State != blackboard.Serving {
				continue
			}
			e := w.engine(g.Members[1].Incarnation)
			e.alive, e.backAt = false, w.now.Add(5*time.Second)
		}
		w.run(2500 * time.Millisecond)
		assert.DeepEqual(t, w.serving(), all)
		w.run(10 * time.Second)
	}
}

// VMs of a domain are lost for good, one every four seconds, as the pool shrinks by a third.
// Existing groups continue to serve, and as long as a domain's VMs suffice for a group of either
// model, one serves in the end.
func TestAShrinkingDomainServesWhatItCan(t *testing.T) {
	w := newElevenWorld(t, 3, 2)
	w.run(25 * time.Second)
	for i := range 5 {
		w.engines[i].alive = false
		w.run(4 * time.Second)
	}
	w.run(50 * time.Second)
	got := w.serving()
	assert.Assert(t, got["wide"] >= 1 && got["wide"]*6+got["narrow"]*3 >= 9+6, "%v", got)
}
