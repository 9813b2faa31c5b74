package controller

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// A pool starts empty: each domain gets one model by its share, all groups
// stand within the time of one load, and no VM is left loading for nothing.
func TestAPoolFormsAllItsGroups(t *testing.T) {
	w := newPoolWorld(t, 1, 6, 9)
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 6, "narrow": 9})
}

// The VMs of a pool come to be known one after the other, and later those of one
// more domain, while the VMs of the others are loading. Nothing may be chosen by a
// part of them; a layout that was given must stand, and all VMs be divided by the
// models' shares in the end.
func TestDomainsThatComeOneByOneKeepTheirModels(t *testing.T) {
	w := newPoolWorld(t, 4, 0, 0)
	const apart = 5 * time.Millisecond
	comes := func(domain string, i int) {
		w.apply(&blackboard.PutVM{VM: blackboard.VM{ID: domain + fmt.Sprint(i), Incarnation: "1", Pool: "pool", FabricDomain: domain}})
		w.now = w.now.Add(apart)
		planLayouts(View{Board: w.board, Evidence: w.table, Memory: w.memory}, w.now, &Actions{})
	}
	settle := func() {
		w.now = w.now.Add(simBeat)
		planLayouts(View{Board: w.board, Evidence: w.table, Memory: w.memory}, w.now, &Actions{})
	}
	first := []string{"d5", "d4", "d3", "d2", "d1"}
	for i := range 9 {
		for _, domain := range first {
			comes(domain, i)
			assert.Equal(t, len(w.memory.layouts), 0, "chosen by a part of the VMs")
		}
	}
	settle()
	given := maps.Clone(w.memory.layouts)
	assert.Equal(t, len(given), len(first))
	for i := range 9 {
		comes("d0", i)
		_, early := w.memory.layouts["d0"]
		assert.Assert(t, !early, "chosen by %d VMs", i+1)
	}
	settle()
	total := make(map[string]int)
	for domain, layout := range w.memory.layouts {
		if before, known := given[domain]; known {
			assert.DeepEqual(t, layout.Groups, before.Groups)
		}
		for model, n := range layout.Groups {
			total[model] += n
		}
	}
	assert.DeepEqual(t, total, map[string]int{"wide": 6, "narrow": 9})
}

// A member of a serving group dies. The group must serve again on the domain's
// standby within two seconds of the entries' word, and no VM stay in the old
// one.
func TestAStandbyReplacesALostMember(t *testing.T) {
	w := newPoolWorld(t, 2, 1, 9)
	w.serveOnly("wide")
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 2})
	var victim *poolEngine
	for _, g := range w.board.Groups {
		if g.State == blackboard.Serving {
			victim = w.engine(g.Members[1].Incarnation)
		}
	}
	victim.alive = false
	w.run(2 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 2})
}

// The paths from half of the VMs to the control processes fail for eight seconds,
// while callers' requests still reach them. All groups answer all the while; taken
// out of service for the silence of a member, they would be missing for as long
// as it takes to form them again.
func TestGroupsThatAnswerServeOnWhileTheirMembersAreSilent(t *testing.T) {
	w := newPoolWorld(t, 5, 6, 9)
	w.run(25 * time.Second)
	all := w.serving()
	for i, e := range w.engines {
		if i%2 == 0 {
			e.cut, e.cutUntil = true, w.now.Add(8*time.Second)
		}
	}
	for range 16 {
		w.run(500 * time.Millisecond)
		assert.DeepEqual(t, w.serving(), all)
	}
	w.run(10 * time.Second)
	assert.DeepEqual(t, w.serving(), all)
}

// Members of a group die that nobody uses, so that no entry can tell. The head
// says so once it has noticed; a group whose head dies is found by silence alone,
// and its other members must serve again in the end.
func TestAGroupThatNobodyUsesIsGivenUpInTheEnd(t *testing.T) {
	w := newPoolWorld(t, 6, 1, 9)
	w.serveOnly("wide")
	w.unused = true
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 2})
	w.engine(w.board.Groups["wide-0"].Members[1].Incarnation).alive = false
	w.engine(w.board.Groups["wide-1"].Members[0].Incarnation).alive = false
	w.run(8 * time.Second)
	assert.Assert(t, w.board.Groups["wide-0"].State != blackboard.Serving, "its head has said that it broke")
	assert.Assert(t, w.board.Groups["wide-1"].State == blackboard.Serving, "nothing but silence speaks against it yet")
	w.run(silentMemberLimit)
	assert.Assert(t, w.board.Groups["wide-1"].State != blackboard.Serving)
}

// The head of a group is cut off from the control processes and goes on
// serving; another member dies at the same time. The survivors must not be
// used before the head has surely given up.
func TestSurvivorsWaitForAHeadThatIsCutOff(t *testing.T) {
	w := newPoolWorld(t, 3, 1, 4)
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 1})
	head := w.engine(w.board.Groups["wide-0"].Members[0].Incarnation)
	other := w.engine(w.board.Groups["wide-0"].Members[1].Incarnation)
	head.cut, head.cutUntil = true, w.now.Add(time.Minute)
	other.alive, other.backAt = false, w.now.Add(500*time.Millisecond)
	w.run(20 * time.Second)
	assert.Equal(t, head.phase, backend.PhaseFailed)
}

// A group loads, and a late order of an earlier leader makes one of its members
// serve for an older group again. Joined to the new one it would serve for two; it
// must be told to leave the old one first, and join once it has.
func TestNoJoinWhileAMemberHeadsAnotherGroup(t *testing.T) {
	w := newPoolWorld(t, 8, 1, 4)
	for step := 0; step < 400 && w.board.Groups["wide-0"].State != blackboard.Loading; step++ {
		w.run(simStep)
	}
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Loading)
	e := w.engine(g.Members[1].Incarnation)
	e.group, e.epoch, e.members, e.phase, e.beatAt = "old-0", 1, []string{e.id}, backend.PhaseOpen, w.now
	w.beat(e)
	w.orders = nil
	for range 20 {
		w.now = w.now.Add(simStep)
		w.lead()
	}
	kinds := make(map[backend.OrderKind]int)
	for _, o := range w.orders {
		if o.to == e.address {
			kinds[o.plan.Order.Kind]++
		}
	}
	assert.Equal(t, kinds[backend.OrderLoad], 0)
	assert.Assert(t, kinds[backend.OrderRelease] > 0)
}

// A group loads, a member crashes and its address answers under a new incarnation,
// which repeats what its predecessor last said: ready, in this group and epoch. It
// has joined nothing. A group that is opened on its word answers with half a model.
func TestAReadyReportOfAnotherIncarnationOpensNothing(t *testing.T) {
	w := newPoolWorld(t, 8, 1, 4)
	for step := 0; step < 400 && w.board.Groups["wide-0"].State != blackboard.Loading; step++ {
		w.run(simStep)
	}
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Loading)
	for i, m := range g.Members {
		e := w.engine(m.Incarnation)
		e.group, e.epoch, e.phase, e.beatAt = g.ID, g.Epoch, backend.PhaseReady, w.now
		if i == 1 {
			e.id += "-again"
		}
		w.beat(e)
	}
	w.orders = nil
	w.lead()
	for _, o := range w.orders {
		assert.Assert(t, o.plan.Order.Kind != backend.OrderOpen, "opened at %s", o.to)
	}
}

// Members die, return, are cut off and work on, domains go dark, leaders change
// and forget, orders are lost or carried out up to 12 s late, and entries
// suspect groups wrongly. Never may a group serve without each member having
// been ready in its epoch, nor a VM join another group while the head of its
// own serves; and when the troubles end, all groups must stand again.
//
// CITRONSTEP_SIM_SEEDS and CITRONSTEP_SIM_FIRST choose more seeds.
func TestPoolsUnderRandomFaults(t *testing.T) { poolsUnderRandomFaults(t, false) }

// The same, and engines keep their ids when they start again: orders to the life
// before are carried out by the next, and announcements of the life before arrive
// up to 9 s late.
func TestPoolsWhoseEnginesAreRebornUnderRandomFaults(t *testing.T) { poolsUnderRandomFaults(t, true) }

func poolsUnderRandomFaults(t *testing.T, reborn bool) {
	seeds, first := 24, 1
	if text := os.Getenv("CITRONSTEP_SIM_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	if text := os.Getenv("CITRONSTEP_SIM_FIRST"); text != "" {
		first, _ = strconv.Atoi(text)
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			w := newPoolWorldOf(t, uint64(seed), 3, 9, reborn)
			w.run(20 * time.Second)
			w.faulty = true
			w.run(60 * time.Second)
			w.faulty = false
			w.run(75 * time.Second)
			got := w.serving()
			assert.Assert(t, got["wide"] >= 2 && got["wide"]*4+got["narrow"]*3 >= 24, "after the troubles: %v", got)
		})
	}
}
