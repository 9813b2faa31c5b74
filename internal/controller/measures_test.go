package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
)

func (w *world) measures() adminapi.Measures {
	return CurrentMeasures(w.board, w.entries[0].table, w.now)
}

// Guards against measures that hide a dead group: they used only the blackboard, where a group
// with a paused member still serves, and one spec's surplus compensated for another's shortage.
func TestMeasuresCountGroupsThatDoNotWork(t *testing.T) {
	w := newWorld(t, 51, 1, 4, defaultPolicy, demoConfig(1, 3))
	assert.Equal(t, w.measures().GroupsDown, 1)
	w.run(30 * time.Second)
	assert.DeepEqual(t, w.measures(), adminapi.Measures{StrandedAccelerators: 4})
	w.byID[w.board.Groups["demo-0"].Members[0].VM].pause(5 * time.Second)
	w.run(4 * time.Second)
	assert.DeepEqual(t, w.measures(), adminapi.Measures{GroupsDown: 1, StrandedAccelerators: 12})
	w.run(10 * time.Second)
	assert.Equal(t, w.measures().GroupsDown, 0)
	w.change(blackboard.ConfigChange{Groups: []blackboard.GroupSpec{
		{Name: "demo", Model: "demo", Replicas: 0, VMsPerReplica: 3},
		{Name: "more", Model: "more", Replicas: 1, VMsPerReplica: 4, Worth: 10},
	}})
	w.run(time.Second)
	assert.Equal(t, w.measures().GroupsDown, 1)
	requireNoFailure(t, w)
}

// A complete fabric domain becomes unreachable and returns with the same incarnations of its
// engines. The groups with the highest worth must be rebuilt elsewhere, in order of worth, and no
// group that still serves may be torn down. After the return no VM may be used before its release
// is confirmed, which the world checks.
func TestADarkDomainIsRebuiltElsewhereByWorth(t *testing.T) {
	w := newWorld(t, 52, 3, 6, defaultPolicy, blackboard.ConfigChange{Groups: []blackboard.GroupSpec{
		{Name: "large", Model: "large", Replicas: 2, VMsPerReplica: 4, Worth: 100},
		{Name: "small", Model: "small", Replicas: 3, VMsPerReplica: 2, Worth: 10},
	}})
	w.run(time.Minute)
	assert.Assert(t, w.allServing(), w.states())
	dark := w.board.Groups["large-0"].FabricDomain
	for _, e := range w.engines {
		e.dark = e.domain == dark
	}
	w.run(3 * time.Minute)
	requireNoFailure(t, w)
	serving := make(map[string]int)
	for _, g := range w.board.Groups {
		if w.isWorking(g) {
			serving[g.Spec]++
		}
	}
	assert.Equal(t, serving["large"], 2, w.states())
	assert.Equal(t, serving["small"], 2, w.states())
	epochs := w.board.NextEpoch
	for _, e := range w.engines {
		e.dark = false
	}
	w.run(time.Minute)
	requireNoFailure(t, w)
	assert.Assert(t, w.allServing(), w.states())
	assert.Assert(t, w.matchesBoard())
	assert.Equal(t, w.board.NextEpoch, epochs+1, "only the missing group is formed")
}
