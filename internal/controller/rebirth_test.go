package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// A member of a serving group crashes and starts again under the id that it had,
// within the time of one announcement. By id it is still the ready member, but it
// holds nothing. Its group must be given up on its first word and stand again
// under a new epoch.
func TestAMemberThatStartedAgainUnderItsIDBreaksItsGroup(t *testing.T) {
	w := newPoolWorldOf(t, 2, 1, 9, true)
	w.serveOnly("wide")
	w.run(25 * time.Second)
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Serving)
	w.engine(g.Members[1].Incarnation).start(w.now)
	w.run(2 * simStep)
	assert.Equal(t, w.board.Groups["wide-0"].State, blackboard.Broken)
	w.run(4 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 2})
	for _, now := range w.board.Groups {
		assert.Assert(t, now.Epoch != g.Epoch || now.State != blackboard.Serving)
	}
}

// A group loads, a member crashes and starts again under its id, and then what its
// earlier life said last arrives late: ready, in this group and epoch. A group that
// is opened on that word answers with half a model.
func TestNoGroupIsOpenedOnTheWordOfAnEarlierLife(t *testing.T) {
	w := newPoolWorldOf(t, 8, 1, 4, true)
	for step := 0; step < 400 && w.board.Groups["wide-0"].State != blackboard.Loading; step++ {
		w.run(simStep)
	}
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Loading)
	reborn := w.engine(g.Members[1].Incarnation)
	before := *reborn
	before.group, before.epoch, before.phase, before.sequence = g.ID, g.Epoch, backend.PhaseReady, before.sequence+5
	reborn.start(w.now.Add(simStep))
	for _, m := range g.Members {
		e := w.engine(m.Incarnation)
		if e != reborn {
			e.group, e.epoch, e.phase = g.ID, g.Epoch, backend.PhaseReady
		}
		e.beatAt = w.now
		w.beat(e)
	}
	before.beatAt = w.now
	w.beat(&before)
	w.orders = nil
	w.lead()
	for _, o := range w.orders {
		assert.Assert(t, o.plan.Order.Kind != backend.OrderOpen, "opened at %s", o.to)
	}
	r, _ := w.table.Get(reborn.address)
	assert.Equal(t, r.Incarnation, reborn.incarnation())
}

// An announcement names a pool that nobody configured, or an engine's lacks its
// fabric domain and looks like that of a plain service. Neither may be taken up;
// one that the configuration fits must be.
func TestOnlyWhatTheConfigurationFitsIsTakenUp(t *testing.T) {
	w := newPoolWorld(t, 1, 0, 0)
	say := func(id, service string, kind backend.Kind) {
		w.table.Hear(w.now, "e", backend.Announcement{
			ID: id, Incarnation: id, Sequence: 1, Kind: kind, Address: id, Service: service, FabricDomain: "d", Phase: backend.PhaseIdle,
		})
	}
	say("stray", "unknown", backend.KindEngine)
	say("flat", "pool", backend.KindService)
	say("whole", "pool", backend.KindEngine)
	say("files-1", "files", backend.KindService)
	w.lead()
	_, stray := w.board.VMs["stray"]
	_, flat := w.board.Services["flat"]
	_, whole := w.board.VMs["whole"]
	_, files := w.board.Services["files-1"]
	assert.DeepEqual(t, []bool{stray, flat, whole, files}, []bool{false, false, true, true})
}
