package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// stagingModels are two models whose groups are of four and two VMs.
var stagingModels = []blackboard.ModelSpec{
	{Name: "wide", VMs: 4, Share: 0.5, LoadMillis: 14_000, StagedMillis: 1500},
	{Name: "narrow", VMs: 2, Share: 0.5, LoadMillis: 14_000, StagedMillis: 1500},
}

// newStagingWorld returns a pool whose hosts keep one model each and whose callers arrive after
// some time. Loads are as fast as the platform makes them before that.
func newStagingWorld(t *testing.T, domains, each int, callersAfter time.Duration) *poolWorld {
	w := newPoolWorldOf(t, 7, domains, each, true)
	w.stagedModels, w.storeRate, w.storeAtOnce = 1, 14, 20
	w.load, w.busyLoad = 1400*time.Millisecond, 14*time.Second
	w.configure(2, stagingModels)
	w.callersAt = w.now.Add(callersAfter)
	return w
}

// holdsBoth reports whether an engine holds one model in its accelerators and another on its host.
func (e *poolEngine) holdsBoth() bool { return e.model != "" && e.staged != "" && e.model != e.staged }

func (w *poolWorld) countHoldingBoth() (n int) {
	for _, e := range w.engines {
		if e.alive && e.holdsBoth() {
			n++
		}
	}
	return n
}

// Guards against loads from the store in traffic: every VM holds both models before the first
// request, and no load begins after it.
func TestEveryHostHoldsTheOtherModelBeforeCallersArrive(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 6, 27, 14*time.Second)
	w.run(13 * time.Second)
	assert.Equal(t, w.countHoldingBoth(), len(w.engines))
	w.run(20 * time.Second)
	assert.Equal(t, len(w.fetched), 0)
	for vm, n := range w.stageOrders {
		assert.Equal(t, n, 1, "orders to %s", vm)
	}
}

// Guards against groups that come into service later because hosts stage meanwhile.
func TestStagingDelaysNoGroup(t *testing.T) {
	t.Parallel()
	serves := func(stagedModels int) (counts []int) {
		w := newStagingWorld(t, 6, 27, 20*time.Second)
		w.stagedModels = stagedModels
		w.configure(3, stagingModels)
		for range 100 {
			w.run(2 * simStep)
			counts = append(counts, w.serving()["wide"]*4+w.serving()["narrow"]*2)
		}
		return counts
	}
	assert.DeepEqual(t, serves(1), serves(0))
}

// Guards against loads beyond the store's rate when callers arrive while hosts still stage.
func TestStagingRespectsTheStoreRateOnceCallersArrive(t *testing.T) {
	t.Parallel()
	for _, after := range []time.Duration{3, 4, 5, 6} {
		w := newStagingWorld(t, 15, 27, after*time.Second)
		w.run(30 * time.Second)
		ceiling := int(w.storeRate*storeWindow.Seconds()*1.1) + 3
		most := mostWithin(w.fetched, storeWindow)
		assert.Assert(t, most <= ceiling, "%d loads began within %s", most, storeWindow)
	}
}

// Guards against a pool of one model, or of models without load times, that receives orders to
// stage.
func TestOnlyPoolsOfSeveralModelsWithLoadTimesStage(t *testing.T) {
	t.Parallel()
	unstated := []blackboard.ModelSpec{{Name: "wide", VMs: 4, Share: 0.5}, {Name: "narrow", VMs: 2, Share: 0.5}}
	for _, models := range [][]blackboard.ModelSpec{stagingModels[:1], unstated} {
		w := newStagingWorld(t, 2, 9, 20*time.Second)
		w.configure(3, models)
		w.run(30 * time.Second)
		assert.Equal(t, len(w.stageOrders), 0)
	}
}

// Guards against a group that waits for loads from the store while the only free VM holds its
// model on its host and another in its accelerators.
func TestABrokenGroupServesAgainWithin3Seconds(t *testing.T) {
	t.Parallel()
	for _, model := range []string{"wide", "narrow"} {
		w := newStagingWorld(t, 1, 9, 10*time.Second)
		w.run(20 * time.Second)
		all := w.serving()
		assert.DeepEqual(t, all, map[string]int{"wide": 1, "narrow": 2})
		w.engine(w.board.Groups[model+"-0"].Members[1].Incarnation).alive = false
		w.run(3 * time.Second)
		assert.DeepEqual(t, w.serving(), all)
		assert.Equal(t, len(w.fetched), 0)
	}
}

// freeEngine returns the engine of a VM that is in no group.
func (w *poolWorld) freeEngine() *poolEngine {
	for _, e := range w.engines {
		if e.alive && w.board.VMs[e.address].Free() {
			return e
		}
	}
	w.t.Fatal("no VM is free")
	return nil
}

// Guards against a VM that loads from the store although its host kept a model: it restarts, and
// loads that model first. One load, for the other model, makes it ready for both again.
func TestAVMThatRestartsHoldsBothModelsAfterOneLoad(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 1, 9, 10*time.Second)
	w.run(15 * time.Second)
	e := w.freeEngine()
	kept := e.staged
	e.alive, e.backAt = false, w.now.Add(time.Second)
	w.run(5 * time.Second)
	assert.Equal(t, e.model, kept)
	w.run(20 * time.Second)
	assert.Assert(t, e.holdsBoth(), "%s and %s", e.model, e.staged)
	assert.Equal(t, len(w.fetched), 1)
}

// Guards against a load for each member of a group that breaks and forms again: each join makes
// the host hold the model of the join.
func TestMembersOfGroupsStageNothingInTraffic(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 1, 9, 10*time.Second)
	w.run(15 * time.Second)
	for _, e := range w.engines {
		if !w.board.VMs[e.address].Free() {
			e.staged, e.announceAt = e.model, w.now
		}
	}
	w.run(time.Minute)
	assert.Equal(t, len(w.fetched), 0)
}

// Guards against orders repeated by a new leader: it is lost while hosts stage.
func TestANewLeaderDoesNotOrderAllStagingAgain(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 6, 27, time.Minute)
	for step := 0; step < 200 && w.countHoldingBoth() < 40; step++ {
		w.run(simStep)
	}
	w.term++
	w.memory = NewMemory(w.now, time.Second)
	ordered := 0
	for _, n := range w.stageOrders {
		ordered += n
	}
	assert.Assert(t, ordered < len(w.engines), "staging has ended before the leader is lost")
	w.run(30 * time.Second)
	for vm, n := range w.stageOrders {
		assert.Equal(t, n, 1, "orders to %s", vm)
	}
	assert.Equal(t, w.countHoldingBoth(), len(w.engines))
}

// Guards against a new leader that makes VMs load the model of their hosts, because it does not
// know that their accelerators hold another.
func TestANewLeaderKnowsWhatFreeVMsHold(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 1, 9, 10*time.Second)
	w.run(15 * time.Second)
	w.engine(w.board.Groups["wide-0"].Members[1].Incarnation).alive = false
	for step := 0; step < 100 && w.board.Groups["wide-0"].State == blackboard.Serving; step++ {
		w.run(simStep)
	}
	w.run(200 * time.Millisecond)
	w.term++
	w.memory = NewMemory(w.now, time.Second)
	w.run(5 * time.Second)
	assert.Equal(t, w.serving()["wide"], 1)
	assert.Equal(t, len(w.fetched), 0)
}

// Guards against loads without end at VMs that never report the staged model.
func TestOrdersToStageAreBounded(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 1, 9, 10*time.Second)
	w.ignoresStaging = true
	w.run(10 * time.Minute)
	for vm, n := range w.stageOrders {
		assert.Assert(t, n <= maxStageAttempts, "%d orders to %s", n, vm)
	}
	assert.Equal(t, w.serving()["wide"]*4+w.serving()["narrow"]*2, 8)
}

// Guards against a VM that is lost while its host stages: it must not count against the store for
// as long as it is dead, and it must stage again when it returns.
func TestAVMLostWhileItStages(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 1, 9, 10*time.Second)
	w.run(15 * time.Second)
	e := w.freeEngine()
	e.staged, e.announceAt = e.model, w.now
	w.run(time.Second)
	assert.Assert(t, e.staging != "")
	e.alive, e.backAt = false, w.now.Add(10*time.Second)
	w.run(5 * time.Second)
	assert.Equal(t, w.memory.storeOf("pool").staging, 0)
	w.run(40 * time.Second)
	assert.Assert(t, e.holdsBoth(), "%s and %s", e.model, e.staged)
}

// Guards against repeated orders, and against groups whose loads wait, while the store is slow.
func TestASlowStoreIsNotOrderedTwice(t *testing.T) {
	t.Parallel()
	w := newStagingWorld(t, 1, 9, 10*time.Second)
	w.busyLoad = 25 * time.Second
	w.run(15 * time.Second)
	e := w.freeEngine()
	e.staged, e.announceAt = e.model, w.now
	before := w.stageOrders[e.address]
	w.run(40 * time.Second)
	assert.Equal(t, w.stageOrders[e.address], before+1)
	engine := &blackboard.EngineSpec{LoadsAtOnce: 6, LoadsPerSecond: 4.5}
	s := weightStore{limitsApply: true, staging: 20}
	assert.Assert(t, !s.hasStagingCapacity(w.now, engine))
	assert.Assert(t, s.hasCapacity(engine))
}
