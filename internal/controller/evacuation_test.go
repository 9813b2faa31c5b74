package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// newEvacuationWorld returns a pool with one domain of nine VMs in each of three data centres;
// all VMs serve.
func newEvacuationWorld(t *testing.T, seed uint64) *poolWorld {
	w := newPoolWorld(t, seed, 3, 9)
	for _, e := range w.engines {
		e.dataCentre = "dc-" + e.domain
	}
	w.run(25 * time.Second)
	return w
}

// servingIn counts the serving groups of a domain.
func (w *poolWorld) servingIn(domain string) int {
	n := 0
	for _, g := range w.board.Groups {
		if g.State == blackboard.Serving && g.FabricDomain == domain {
			n++
		}
	}
	return n
}

// Guards against groups in an evacuated data centre that are taken apart or formed again, so that
// the return of the data centre waits for weights.
func TestGroupsStandByInAnEvacuatedDataCentre(t *testing.T) {
	w := newEvacuationWorld(t, 1)
	standing := w.servingIn("d0")
	assert.Assert(t, standing > 0)
	epochs := fmt.Sprint(w.epochs("d0"))
	fetched := len(w.fetched)

	w.apply(&blackboard.SetEvacuation{DataCentre: "dc-d0"})
	w.run(15 * time.Second)
	assert.Equal(t, fmt.Sprint(w.epochs("d0")), epochs)
	for _, g := range w.board.Groups {
		if g.FabricDomain != "d0" || g.State != blackboard.Serving {
			continue
		}
		w.engine(g.Members[1].Incarnation).alive = false
		break
	}
	w.run(15 * time.Second)
	assert.Equal(t, w.servingIn("d0"), standing-1, "formed again while it is evacuated")

	w.apply(&blackboard.SetEvacuation{DataCentre: "dc-d0", End: true})
	w.run(4 * time.Second)
	assert.Equal(t, len(w.fetched), fetched, "loads from the store")
	assert.Equal(t, w.servingIn("d1")+w.servingIn("d2") > 0, true)
}

// epochs returns the epochs of the serving groups of a domain, by group.
func (w *poolWorld) epochs(domain string) map[string]uint64 {
	epochs := make(map[string]uint64)
	for id, g := range w.board.Groups {
		if g.FabricDomain == domain && g.State == blackboard.Serving {
			epochs[id] = g.Epoch
		}
	}
	return epochs
}

// Guards against groups that are drained because all data centres are evacuated and no group is
// wanted anywhere.
func TestEvacuatingAllDataCentresTakesNoGroupApart(t *testing.T) {
	w := newEvacuationWorld(t, 2)
	all := w.serving()
	for _, domain := range []string{"d0", "d1", "d2"} {
		w.apply(&blackboard.SetEvacuation{DataCentre: "dc-" + domain})
	}
	w.run(20 * time.Second)
	assert.DeepEqual(t, w.serving(), all)
	for _, domain := range []string{"d0", "d1", "d2"} {
		w.apply(&blackboard.SetEvacuation{DataCentre: "dc-" + domain, End: true})
	}
	w.run(5 * time.Second)
	assert.DeepEqual(t, w.serving(), all)
}

// Guards against free VMs in another data centre that form no group to replace the evacuated
// ones.
func TestGroupsFormElsewhereForThoseThatAreEvacuated(t *testing.T) {
	w := newPoolWorld(t, 3, 2, 9)
	for _, e := range w.engines {
		e.dataCentre = "dc-" + e.domain
	}
	w.serveOnly("wide")
	for i, e := range w.engines {
		// Domain d1 has one group fewer than d0, and too few VMs for another.
		if e.domain == "d1" && i%9 > 5 {
			e.alive = false
		}
	}
	w.run(25 * time.Second)
	assert.Equal(t, w.servingIn("d1"), 1)
	w.apply(&blackboard.SetEvacuation{DataCentre: "dc-d0"})
	for _, e := range w.engines {
		if e.domain == "d1" && !e.alive {
			e.start(w.now)
		}
	}
	w.run(25 * time.Second)
	assert.Equal(t, w.servingIn("d1"), 2)
}

// Guards against a group with members in two data centres that keeps its VMs in the one from use
// while the other is evacuated.
func TestAGroupThatIsEvacuatedInPartIsReleased(t *testing.T) {
	w := newPoolWorld(t, 4, 1, 4)
	w.serveOnly("wide")
	for i, e := range w.engines {
		e.dataCentre = fmt.Sprint("dc-", i/2)
	}
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 1})
	w.apply(&blackboard.SetEvacuation{DataCentre: "dc-1"})
	w.run(5 * time.Second)
	assert.Equal(t, len(w.serving()), 0)
	for _, v := range w.board.VMs {
		assert.Assert(t, v.Free(), v.ID)
	}
}
