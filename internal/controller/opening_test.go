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

// A pool starts empty. Each domain gets its models by their shares, all groups must serve within
// the time of one load, and no VM may be left loading without need.
func TestAPoolFormsAllItsGroups(t *testing.T) {
	t.Parallel()
	w := newPoolWorld(t, 1, 6, 9)
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 6, "narrow": 9})
}

// The VMs of a pool become known one after the other, and later those of one more domain while
// the VMs of the others load. No layout may be chosen from a part of the VMs, an existing layout
// must stay, and in the end all VMs must be divided by the models' shares.
func TestDomainsThatComeOneByOneKeepTheirModels(t *testing.T) {
	t.Parallel()
	w := newPoolWorld(t, 4, 0, 0)
	const apart = 5 * time.Millisecond
	comes := func(domain string, i int) {
		w.apply(&blackboard.PutVM{VM: blackboard.VM{ID: domain + fmt.Sprint(i), Incarnation: "1", Pool: "pool", FabricDomain: domain}})
		w.now = w.now.Add(apart)
		planLayouts(View{Board: w.board, Evidence: w.table, Memory: w.memory}, w.now, &Actions{})
	}
	settle := func() {
		w.now = w.now.Add(simAnnounceInterval)
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

// A member of a serving group dies. The group must serve again on the domain's standby within two
// seconds of the entries' reports, and no VM may stay in the old group.
func TestAStandbyReplacesALostMember(t *testing.T) {
	t.Parallel()
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

// Guards against groups that are broken for the silence of members while they answer. The paths
// from half of the VMs to the control processes fail for eight seconds, while callers' requests
// still reach the VMs. Forming the groups again would leave them out of service for longer.
func TestGroupsThatAnswerServeOnWhileTheirMembersAreSilent(t *testing.T) {
	t.Parallel()
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

// Members of unused groups die, so that no entry can report it. One head reports the loss once it
// has noticed. The other group loses its head, which only silence shows; it must be broken in the
// end.
func TestAnUnusedGroupIsBrokenEventually(t *testing.T) {
	t.Parallel()
	w := newPoolWorld(t, 6, 1, 9)
	w.serveOnly("wide")
	w.unused = true
	w.run(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 2})
	w.engine(w.board.Groups["wide-0"].Members[1].Incarnation).alive = false
	w.engine(w.board.Groups["wide-1"].Members[0].Incarnation).alive = false
	w.run(8 * time.Second)
	assert.Assert(t, w.board.Groups["wide-0"].State != blackboard.Serving, "its head has reported failed")
	assert.Assert(t, w.board.Groups["wide-1"].State == blackboard.Serving, "only silence indicates its loss so far")
	w.run(silentMemberLimit)
	assert.Assert(t, w.board.Groups["wide-1"].State != blackboard.Serving)
}

// The head of a group is cut off from the control processes and continues to serve, and another
// member dies at the same time. The survivors must not be used before the head has certainly
// stopped serving.
func TestSurvivorsWaitForAHeadThatIsCutOff(t *testing.T) {
	t.Parallel()
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

// Guards against a VM that serves for two groups. A group loads, and a late order of an earlier
// leader makes one of its members serve for an older group again. The member must receive the
// order to leave the old group first, and may join once it has left.
func TestNoJoinWhileAMemberHeadsAnotherGroup(t *testing.T) {
	t.Parallel()
	w := newPoolWorld(t, 8, 1, 4)
	for step := 0; step < 400 && w.board.Groups["wide-0"].State != blackboard.Loading; step++ {
		w.run(simStep)
	}
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Loading)
	e := w.engine(g.Members[1].Incarnation)
	e.group, e.epoch, e.members, e.phase, e.announceAt = "old-0", 1, []string{e.id}, backend.PhaseOpen, w.now
	w.announce(e)
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

// Guards against a group that answers with half a model. A group loads, a member crashes, and a
// new incarnation at its address repeats the last report of its predecessor: ready, in this group
// and epoch. The new incarnation has joined nothing, so the group must not open on its report.
func TestAReadyReportOfAnotherIncarnationOpensNothing(t *testing.T) {
	t.Parallel()
	w := newPoolWorld(t, 8, 1, 4)
	for step := 0; step < 400 && w.board.Groups["wide-0"].State != blackboard.Loading; step++ {
		w.run(simStep)
	}
	g := w.board.Groups["wide-0"]
	assert.Equal(t, g.State, blackboard.Loading)
	for i, m := range g.Members {
		e := w.engine(m.Incarnation)
		e.group, e.epoch, e.phase, e.announceAt = g.ID, g.Epoch, backend.PhaseReady, w.now
		if i == 1 {
			e.id += "-again"
		}
		w.announce(e)
	}
	w.orders = nil
	w.lead()
	for _, o := range w.orders {
		assert.Assert(t, o.plan.Order.Kind != backend.OrderOpen, "opened at %s", o.to)
	}
}

// Random faults: members die, return, or are cut off and continue to work; domains fail; leaders
// change and lose their memory; orders are lost or carried out up to 12 s late; entries report
// stalls wrongly. A group must never serve unless each member has been ready in its epoch. A VM
// must never join another group while the head of its own group serves. After the faults all
// groups must serve again.
//
// CITRONSTEP_SIM_SEEDS and CITRONSTEP_SIM_FIRST choose more seeds.
func TestPoolsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	poolsUnderRandomFaults(t, false, 0)
}

// The same faults with engines that keep their IDs when they restart: an incarnation carries out
// orders for its predecessor, and announcements of the predecessor arrive up to 9 s late.
func TestPoolsWithRestartingEnginesUnderRandomFaults(t *testing.T) {
	t.Parallel()
	poolsUnderRandomFaults(t, true, 0)
}

// The same faults with engines that keep their IDs and whose hosts hold a further model.
func TestPoolsThatStageUnderRandomFaults(t *testing.T) {
	t.Parallel()
	poolsUnderRandomFaults(t, true, 1)
}

func poolsUnderRandomFaults(t *testing.T, keepsID bool, stagedModels int) {
	seeds, first := 24, 1
	if text := os.Getenv("CITRONSTEP_SIM_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	if text := os.Getenv("CITRONSTEP_SIM_FIRST"); text != "" {
		first, _ = strconv.Atoi(text)
	}
	for seed := first; seed < first+seeds; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			w := newPoolWorldOf(t, uint64(seed), 3, 9, keepsID)
			w.stagedModels = stagedModels
			w.configure(2, simModels)
			w.run(20 * time.Second)
			w.faulty = true
			w.run(60 * time.Second)
			w.faulty = false
			w.run(75 * time.Second)
			got := w.serving()
			assert.Assert(t, got["wide"] >= 2 && got["wide"]*4+got["narrow"]*3 >= 24, "after the faults: %v", got)
		})
	}
}
