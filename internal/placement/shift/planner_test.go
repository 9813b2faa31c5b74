package shift

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 3, 2, 3, 0, 0, 0, time.UTC)

// pool returns a pool of n engines of 100 tokens a second each.
func pool(model string, n int, demand float64) Pool {
	p := Pool{Key: Key{Model: model}, Demand: demand, PerEngine: 100, Worth: 1, Least: 1, LoadTime: time.Minute}
	for i := range n {
		p.Engines = append(p.Engines, Engine{ID: fmt.Sprint(model, i), Since: start.Add(-time.Hour)})
	}
	return p
}

// decide asks until the pressure has lasted.
func decide(p *Planner, pools []Pool) []Move {
	p.Decide(start, pools)
	return p.Decide(start.Add(warmUp*DefaultHold), pools)
}

// The morning's memos outgrow their engines while the drafting engines idle.
func TestLastingPressureMovesAnEngine(t *testing.T) {
	p := New(Options{})
	pools := []Pool{pool("memo", 2, 250), pool("draft", 5, 100)}
	assert.Equal(t, len(p.Decide(start, pools)), 0)
	assert.Equal(t, len(p.Decide(start.Add(DefaultHold-time.Second), pools)), 0)
	moves := p.Decide(start.Add(warmUp*DefaultHold), pools)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].From.Model, "draft")
	assert.Equal(t, moves[0].To.Model, "memo")
	assert.Equal(t, len(pools[1].Engines), 5)
}

// Bursts of twenty seconds, two minutes apart, are over before a load would
// end; between them the engines suffice.
func TestBurstMovesNothing(t *testing.T) {
	p := New(Options{})
	for i := range 240 {
		demand := 150.0
		if i%12 < 2 {
			demand = 250
		}
		now := start.Add(time.Duration(i) * 10 * time.Second)
		assert.Equal(t, len(p.Decide(now, []Pool{pool("memo", 2, demand), pool("draft", 5, 100)})), 0)
	}
}

// Both models are short of engines. Moving one only moves the shortage.
func TestNothingMovesWhenAllAreShort(t *testing.T) {
	assert.Equal(t, len(decide(New(Options{}), []Pool{pool("memo", 2, 250), pool("draft", 2, 250)})), 0)
}

func TestGreaterWorthTakesFromLesser(t *testing.T) {
	memo := pool("memo", 2, 250)
	memo.Worth = 9
	moves := decide(New(Options{}), []Pool{memo, pool("draft", 2, 170)})
	assert.Equal(t, len(moves), 1)
}

// The demand swings back just after a move. An engine that turned round at once
// would spend its time loading.
func TestEngineStaysAfterAMove(t *testing.T) {
	p := New(Options{})
	memo, draft := pool("memo", 3, 50), pool("draft", 2, 250)
	for i := range memo.Engines {
		memo.Engines[i].Since = start.Add(-time.Minute)
	}
	assert.Equal(t, len(decide(p, []Pool{memo, draft})), 0)
	assert.Equal(t, len(p.Decide(start.Add(DefaultStay), []Pool{memo, draft})), 1)
}

func TestEngineThatHoldsTheWeightsGoesFirst(t *testing.T) {
	draft := pool("draft", 5, 100)
	draft.Engines[3].Holds = []string{"memo"}
	moves := decide(New(Options{}), []Pool{pool("memo", 2, 250), draft})
	assert.Equal(t, moves[0].Engine, "draft3")
	assert.Equal(t, moves[0].LoadTime, 15*time.Second)
}

func TestRoleChangesWithoutALoad(t *testing.T) {
	prefill, decode := pool("memo", 2, 250), pool("memo", 5, 100)
	prefill.Key.Role, decode.Key.Role = "prefill", "decode"
	for i := range decode.Engines {
		decode.Engines[i].ID = fmt.Sprint("d", i)
	}
	moves := decide(New(Options{}), []Pool{prefill, decode})
	assert.Equal(t, moves[0].LoadTime, time.Duration(0))
}

func TestLoadsAtOnceAreBounded(t *testing.T) {
	moves := decide(New(Options{}), []Pool{pool("memo", 2, 800), pool("draft", 9, 50)})
	assert.Equal(t, len(moves), DefaultLoads)
}

func TestPoolKeepsItsLeast(t *testing.T) {
	draft := pool("draft", 3, 0)
	draft.Least = 3
	assert.Equal(t, len(decide(New(Options{}), []Pool{pool("memo", 2, 250), draft})), 0)
}
