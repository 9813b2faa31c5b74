package controller

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/demand"
)

// turningModels are models with groups of eight and four VMs. By equal shares a pool of 76 VMs in
// four domains has four wide groups and eight narrow ones.
var turningModels = []blackboard.ModelSpec{
	{Name: "wide", VMs: 8, Share: 0.5, Pace: 1, LoadMillis: 16_000, StagedMillis: 1600},
	{Name: "narrow", VMs: 4, Share: 0.5, Pace: 0.6, LoadMillis: 12_000, StagedMillis: 1100},
}

func turningEngine() *blackboard.EngineSpec {
	return &blackboard.EngineSpec{
		Slots: 34, TokensPerEvent: 5, StepMillis: 6.07, PerRequestMillis: 0.241, PromptTokensPerSecond: 46_000, ChunkTokens: 2048,
		UsualPrompt: 900, UsualAnswer: 110, LoadsPerSecond: 14, LoadsAtOnce: 21, StagedModels: 1, Models: turningModels,
	}
}

// turningWorld is a pool whose callers ask for each model at a rate in groups, that is, as many
// requests a second as that many groups serve on time.
type turningWorld struct {
	*poolWorld
	table   *demand.Table
	rates   func(elapsed time.Duration) map[string]float64
	began   time.Time
	sentAt  time.Time
	missing bool
	least   map[string]int
}

// newTurningWorld returns a pool in service, whose hosts hold the other model if staged is true.
func newTurningWorld(t *testing.T, staged bool) *turningWorld {
	w := &turningWorld{poolWorld: newPoolWorld(t, 1, 4, 19), table: demand.NewTable(), least: make(map[string]int)}
	w.apply(&blackboard.ReplaceConfiguration{Version: 2, Services: []blackboard.ServiceSpec{{Name: "pool", Engine: turningEngine()}}})
	if staged {
		w.stageAfter = 6 * time.Second
	}
	w.demand = w.observe
	w.ask(1.4, 2.9)
	w.runFor(45 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 4, "narrow": 8})
	w.least = map[string]int{"wide": 4, "narrow": 8}
	return w
}

// ask sets constant rates, in groups.
func (w *turningWorld) ask(wide, narrow float64) {
	w.swing(func(time.Duration) (float64, float64) { return wide, narrow })
}

// swing sets rates that change with the time since the call.
func (w *turningWorld) swing(rates func(elapsed time.Duration) (wide, narrow float64)) {
	w.began = w.now
	w.rates = func(elapsed time.Duration) map[string]float64 {
		wide, narrow := rates(elapsed)
		return map[string]float64{"wide": wide, "narrow": narrow}
	}
}

// observe reports the demand of the last second and returns the demand as a leader knows it.
func (w *turningWorld) observe(now time.Time) Demand {
	const tokens = 1010
	serving := w.serving()
	if now.Sub(w.sentAt) >= time.Second && !w.missing {
		w.sentAt = now
		counts := make(map[demand.Class]demand.Count)
		for model, groups := range w.rates(now.Sub(w.began)) {
			n := int(100 * groups * GroupCapacity(turningEngine(), model, tokens))
			late := max(0, int(float64(n)*(1-float64(serving[model])/max(groups, 1e-9))))
			counts[demand.Class{Model: model}] = demand.Count{Arrived: n, Tokens: n * tokens, OnTime: n - late, Late: late}
		}
		for i := range 2 {
			w.table.Record(now, demand.Report{Entry: fmt.Sprint(i), Window: time.Second, Counts: counts})
		}
	}
	d := Demand{Models: w.table.Summaries(now), MaxAge: demand.MaxAge(2), Observed: w.table.IsComplete(now, 2)}
	for i := range d.Models {
		d.Models[i].RequestsPerSecond /= 200
		d.Models[i].TokensPerSecond /= 200
	}
	return d
}

// runFor runs the pool and records the least number of groups of each model that served.
func (w *turningWorld) runFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		serving := w.serving()
		for model := range w.least {
			w.least[model] = min(w.least[model], serving[model])
		}
	}
}

// newLeader replaces the leader by one with an empty memory.
func (w *turningWorld) newLeader() {
	w.term++
	w.memory = NewMemory(w.now, 500*time.Millisecond)
	w.table = demand.NewTable()
}

// The wide model's requests grow fivefold for good while the narrow model's groups are mostly
// idle. Groups must be turned within seconds, as far as the narrow model's own demand allows.
func TestLayoutsFollowALastingChange(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.ask(6.9, 2.7)
	w.runFor(10 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 5, "narrow": 6})
	w.runFor(30 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 5, "narrow": 6})
}

// The narrow model's requests double while the wide model needs less than half of its groups.
func TestANarrowModelGainsGroups(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.ask(1.4, 13)
	w.runFor(10 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 3, "narrow": 10})
	w.runFor(30 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 3, "narrow": 10})
	assert.Assert(t, w.least["wide"] >= 3, "%v", w.least)
}

// Guards against layouts that are turned to and fro by traffic that swings, with the models in
// phase or against each other.
func TestASwingTurnsNothing(t *testing.T) {
	t.Parallel()
	for _, swing := range []float64{0.2, 0.55} {
		for _, phase := range []float64{0, math.Pi} {
			w := newTurningWorld(t, true)
			w.swing(func(elapsed time.Duration) (float64, float64) {
				at := 2 * math.Pi * elapsed.Seconds() / 12
				return 3 * (1 + swing*math.Sin(at)), 6 * (1 + swing*math.Sin(at+phase))
			})
			w.runFor(40 * time.Second)
			assert.DeepEqual(t, w.least, map[string]int{"wide": 4, "narrow": 8})
		}
	}
}

// Guards against a model that gives up in the trough of a swing what it needs at the next peak,
// because the other model is short all the time.
func TestAModelKeepsGroupsForItsPeaks(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.swing(func(elapsed time.Duration) (float64, float64) {
		at := 1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/13)
		return 9 * at, 5.5 * at
	})
	w.runFor(60 * time.Second)
	assert.Assert(t, w.least["narrow"] >= 6, "%v", w.least)
}

// Guards against groups that are turned to and fro by a swing that exceeds what the groups of
// either model serve.
func TestAGreatSwingIsTurnedForSeldom(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.swing(func(elapsed time.Duration) (float64, float64) {
		if int(elapsed.Seconds()/12)%2 == 0 {
			return 7, 2
		}
		return 1, 14
	})
	epoch := w.board.NextEpoch
	w.runFor(2 * time.Minute)
	formed := w.board.NextEpoch - epoch
	assert.Assert(t, formed <= 24, "%d groups formed", formed)
}

// Guards against a turn that is stuck or that puts a VM into two groups when the leader is lost
// in any of its steps.
func TestATurnSurvivesTheLossOfItsLeader(t *testing.T) {
	t.Parallel()
	for step := range 14 {
		w := newTurningWorld(t, true)
		w.ask(6.9, 2.7)
		w.runFor(2*time.Second + time.Duration(step)*300*time.Millisecond)
		w.newLeader()
		w.runFor(25 * time.Second)
		got := w.serving()
		assert.Equal(t, got["wide"]*8+got["narrow"]*4, 64, "step %d: %v", step, got)
		assert.Assert(t, got["wide"] >= 4 && got["narrow"] >= 6, "step %d: %v", step, got)
		assert.Assert(t, w.least["wide"] >= 4 && w.least["narrow"] >= 5, "step %d: %v", step, w.least)
	}
}

// Guards against a group that is broken for its members' leaving while they are being released, a
// fault's timeout later than it could be released.
func TestATurnedGroupIsReleasedAndNotBroken(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.ask(6.9, 2.7)
	for range 200 {
		w.runFor(50 * time.Millisecond)
		for _, g := range w.board.Groups {
			assert.Assert(t, g.State != blackboard.Broken, "%s: %s", g.ID, g.Reason)
		}
	}
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 5, "narrow": 6})
}

// Guards against a turn that breaks both models when engines leave orders unanswered and carry
// them out late.
func TestATurnSurvivesUnansweredOrders(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.ask(6.9, 2.7)
	w.runFor(2 * time.Second)
	w.silentOrders = true
	w.runFor(8 * time.Second)
	w.silentOrders = false
	w.runFor(25 * time.Second)
	assert.DeepEqual(t, w.serving(), map[string]int{"wide": 5, "narrow": 6})
	assert.Assert(t, w.least["wide"] >= 4 && w.least["narrow"] >= 6, "%v", w.least)
}

// Guards against groups that are given up twice when a new leader sees the opposite shortage in
// the middle of a turn.
func TestTwoLeadersWithDifferentViews(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	w.ask(6.9, 2.7)
	w.runFor(4 * time.Second)
	w.newLeader()
	w.ask(1.4, 13)
	w.runFor(40 * time.Second)
	got := w.serving()
	assert.Equal(t, got["wide"]*8+got["narrow"]*4, 64, "%v", got)
	assert.Assert(t, got["narrow"] > 8, "%v", got)
	assert.Assert(t, w.least["wide"] >= 2 && w.least["narrow"] >= 5, "%v", w.least)
}

// Guards against groups that are turned by demand that an earlier leader wrote to the board.
func TestANewLeaderWithoutReportsTurnsNothing(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	before := w.observe
	w.ask(6.9, 2.7)
	w.demand = func(now time.Time) Demand {
		d := before(now)
		d.Observed = false
		return d
	}
	w.runFor(15 * time.Second)
	assert.DeepEqual(t, w.least, map[string]int{"wide": 4, "narrow": 8})
	w.demand = func(time.Time) Demand { return Demand{} }
	w.runFor(15 * time.Second)
	assert.DeepEqual(t, w.least, map[string]int{"wide": 4, "narrow": 8})
}

// Guards against layouts that follow demand of minutes ago. The declared shares must hold again.
func TestStaleDemandCountsForNothing(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	models := func(age time.Duration) int {
		known := 0
		models := poolModels(View{Board: w.board, Memory: w.memory}, "pool")
		v := View{Board: w.board, Memory: w.memory, Demand: w.observe(w.now)}
		addDemand(v, w.now.Add(age), "pool", models)
		for _, m := range models {
			if m.Demand != nil {
				known++
			}
		}
		return known
	}
	assert.Equal(t, models(time.Second), 2)
	assert.Equal(t, models(demand.MaxAge(2)+time.Second), 0)
	assert.Equal(t, models(-time.Minute), 0, "by a clock that is ahead")
}

// Guards against groups that are given up although their VMs would have to load the other model
// from the store.
func TestVMsWithoutTheOtherModelAreNotTurned(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, false)
	w.ask(6.9, 2.7)
	w.runFor(20 * time.Second)
	assert.DeepEqual(t, w.least, map[string]int{"wide": 4, "narrow": 8})
}

// Guards against turns by figures alone while callers are served on time.
func TestAModelWhoseCallersAreServedGainsNoGroups(t *testing.T) {
	t.Parallel()
	w := newTurningWorld(t, true)
	before := w.observe
	w.ask(6.9, 2.7)
	w.demand = func(now time.Time) Demand {
		d := before(now)
		for i := range d.Models {
			d.Models[i].LateFraction = 0
		}
		return d
	}
	w.runFor(15 * time.Second)
	assert.DeepEqual(t, w.least, map[string]int{"wide": 4, "narrow": 8})
}
