package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against a group that continues with a member that holds no weights. The member of a
// serving group crashes and restarts under its old ID within one announcement interval, so by ID
// it is still the ready member. Its group must be broken on its first announcement and serve
// again under a new epoch.
func TestAMemberThatRestartsUnderItsIDBreaksItsGroup(t *testing.T) {
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

// Guards against a group that answers with half a model. A group loads, a member crashes and
// restarts under its ID, and then the last announcement of the earlier incarnation arrives late:
// ready, in this group and epoch. The group must not open on that report.
func TestNoGroupOpensOnAReportOfAnEarlierIncarnation(t *testing.T) {
	w := newPoolWorldOf(t, 8, 1, 4, true)
	for step := 0; step < 400 && w.board.Groups["wide-0"].State != blackboard.Loading; step++ {
		w.run(simStep)
	}
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Loading)
	restarted := w.engine(g.Members[1].Incarnation)
	before := *restarted
	before.group, before.epoch, before.phase, before.sequence = g.ID, g.Epoch, backend.PhaseReady, before.sequence+5
	restarted.start(w.now.Add(simStep))
	for _, m := range g.Members {
		e := w.engine(m.Incarnation)
		if e != restarted {
			e.group, e.epoch, e.phase = g.ID, g.Epoch, backend.PhaseReady
		}
		e.announceAt = w.now
		w.announce(e)
	}
	before.announceAt = w.now
	w.announce(&before)
	w.orders = nil
	w.lead()
	for _, o := range w.orders {
		assert.Assert(t, o.plan.Order.Kind != backend.OrderOpen, "opened at %s", o.to)
	}
	r, _ := w.table.Get(restarted.address)
	assert.Equal(t, r.Incarnation, restarted.incarnation())
}

// An announcement names a pool that nobody configured, or an engine's announcement lacks its
// fabric domain and looks like that of a plain service. The blackboard must record neither, but
// must record a backend server that fits the configuration.
func TestOnlyConfiguredServersAreRecorded(t *testing.T) {
	w := newPoolWorld(t, 1, 0, 0)
	announce := func(id, service string, kind backend.Kind) {
		w.table.Record(w.now, "e", backend.Announcement{
			ID: id, Incarnation: id, Sequence: 1, Kind: kind, Address: id, Service: service, FabricDomain: "d", Phase: backend.PhaseIdle,
		})
	}
	announce("stray", "unknown", backend.KindEngine)
	announce("flat", "pool", backend.KindService)
	announce("whole", "pool", backend.KindEngine)
	announce("files-1", "files", backend.KindService)
	w.lead()
	_, stray := w.board.VMs["stray"]
	_, flat := w.board.Services["flat"]
	_, whole := w.board.VMs["whole"]
	_, files := w.board.Services["files-1"]
	assert.DeepEqual(t, []bool{stray, flat, whole, files}, []bool{false, false, true, true})
}
