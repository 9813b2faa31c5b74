package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const simCold = 3 * time.Second

// newColdWorld returns a pool whose engines are cold (within their slow-start period) for a while
// after each start.
func newColdWorld(t *testing.T, seed uint64) *poolWorld {
	w := newPoolWorld(t, seed, 1, 9)
	w.cold, w.coldPerSecond = simCold, 26
	for _, e := range w.engines {
		e.coldUntil = w.now.Add(simCold)
	}
	w.serveOnly("wide")
	return w
}

// Guards against a cold head that serves before the board marks it, and against a mark that
// stays.
func TestAColdHeadIsMarkedBeforeItServes(t *testing.T) {
	w := newColdWorld(t, 1)
	w.load = 500 * time.Millisecond
	unmarked := 0
	for range 160 {
		w.run(simStep)
		for _, g := range w.board.Groups {
			head := w.engine(g.Head().Incarnation)
			_, marked := w.board.ColdServers[g.Head().Incarnation]
			if g.State == blackboard.Serving && head != nil && w.now.Before(head.coldUntil) && !marked {
				unmarked++
			}
		}
	}
	assert.Equal(t, len(w.serving()), 1)
	assert.Equal(t, unmarked, 0)
	w.run(10 * time.Second)
	assert.Equal(t, len(w.board.ColdServers), 0)
}

// Guards against a head that has just started where a warm member could be the head.
func TestAWarmMemberBecomesTheHead(t *testing.T) {
	w := newColdWorld(t, 2)
	w.run(25 * time.Second)
	for _, e := range w.engines[:2] {
		e.alive, e.backAt = false, w.now.Add(5*time.Second)
	}
	for range 60 {
		w.run(2 * simStep)
		for _, g := range w.board.Groups {
			head := w.engine(g.Head().Incarnation)
			if g.State == blackboard.Serving && head != nil {
				assert.Assert(t, !w.now.Before(head.coldUntil), "%s heads %s and is cold", head.id, g.ID)
			}
		}
	}
	w.run(5 * time.Second)
	assert.Equal(t, w.serving()["wide"], 2)
}

// Guards against a mark that is removed for an announcement from before the end of an evacuation.
// Only an announcement sent after that end shows that a backend server is not cold.
func TestAMarkStaysUntilALaterAnnouncement(t *testing.T) {
	w := newColdWorld(t, 3)
	for _, e := range w.engines {
		e.dataCentre = "dc"
	}
	w.run(25 * time.Second)
	assert.Equal(t, len(w.board.ColdServers), 0)
	w.apply(&blackboard.SetEvacuation{DataCentre: "dc"})
	w.run(5 * time.Second)
	w.apply(&blackboard.SetEvacuation{DataCentre: "dc", End: true})
	marked := len(w.board.ColdServers)
	assert.Equal(t, marked, w.serving()["wide"])
	w.run(simAnnounceInterval - simStep)
	assert.Equal(t, len(w.board.ColdServers), marked)
	w.run(2 * simAnnounceInterval)
	assert.Equal(t, len(w.board.ColdServers), 0)
}

// Guards against a new leader that removes a mark at once.
func TestANewLeaderKeepsAMark(t *testing.T) {
	w := newColdWorld(t, 4)
	for _, e := range w.engines {
		e.dataCentre = "dc"
	}
	w.run(25 * time.Second)
	w.apply(&blackboard.SetEvacuation{DataCentre: "dc"})
	w.apply(&blackboard.SetEvacuation{DataCentre: "dc", End: true})
	marked := len(w.board.ColdServers)
	w.term++
	w.memory = NewMemory(w.now, 500*time.Millisecond)
	w.run(simAnnounceInterval / 2)
	assert.Equal(t, len(w.board.ColdServers), marked)
}
