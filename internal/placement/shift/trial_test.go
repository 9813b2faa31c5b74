package shift

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"gotest.tools/v3/assert"
)

var table = flag.Bool("table", false, "print the table of shifting policies")

const (
	tick       = 5 * time.Second
	trialHours = 4
)

// demand is a course of demand for three models on thirty engines, each of 100
// tokens a second. Total demand stays below the total capacity.
type demand struct {
	name string
	at   func(model int, t time.Duration) float64
}

var demands = []demand{
	{"swing of two hours", func(model int, t time.Duration) float64 {
		phase := 2 * math.Pi * (t.Hours()/2 + float64(model)/3)
		return 750 + 450*math.Sin(phase)
	}},
	{"step for 40 minutes each hour", func(model int, t time.Duration) float64 {
		if model == int(t.Hours())%3 && t%time.Hour > 20*time.Minute {
			return 1500
		}
		return 500
	}},
	{"bursts of 20 s each 2 minutes", func(model int, t time.Duration) float64 {
		if t%(2*time.Minute) < 20*time.Second && model == int(t/(2*time.Minute))%3 {
			return 1300
		}
		return 700
	}},
	{"swing of ten minutes", func(model int, t time.Duration) float64 {
		phase := 2 * math.Pi * (6*t.Hours() + float64(model)/3)
		return 750 + 350*math.Sin(phase)
	}},
}

// decider is a policy of the trial.
type decider func(now time.Time, pools []Pool) []Move

// cost is what a course cost: unserved and stranded are parts of the demand by
// worth and of the engines' time.
type cost struct {
	unserved, stranded float64
	moves              int
}

func trial(d demand, decide decider, seed uint64) cost {
	rng := rand.New(rand.NewPCG(seed, 5))
	pools := []Pool{pool("a", 10, 0), pool("b", 10, 0), pool("c", 10, 0)}
	for i, worth := range []float64{3, 1, 1} {
		pools[i].Worth = worth
	}
	ready := make(map[string]time.Time)
	var c cost
	asked, lacked, idle, steps := 0.0, 0.0, 0, 0
	for t := time.Duration(0); t < trialHours*time.Hour; t += tick {
		now := start.Add(t)
		for i := range pools {
			p := &pools[i]
			p.Demand = d.at(i, t) * (0.9 + 0.2*rng.Float64())
			serving := 0
			for j := range p.Engines {
				e := &p.Engines[j]
				e.Loading = now.Before(ready[e.ID])
				if !e.Loading {
					serving++
				}
			}
			idle += len(p.Engines) - serving
			asked += p.Worth * p.Demand
			lacked += p.Worth * max(0, p.Demand-100*float64(serving))
			steps++
		}
		for _, m := range decide(now, pools) {
			carryOut(pools, m, now)
			ready[m.Engine] = now.Add(m.LoadTime)
			c.moves++
		}
	}
	c.unserved = lacked / asked
	c.stranded = float64(idle) / float64(10*steps)
	return c
}

func carryOut(pools []Pool, m Move, now time.Time) {
	from, to := -1, -1
	for i := range pools {
		if pools[i].Key == m.From {
			from = i
		}
		if pools[i].Key == m.To {
			to = i
		}
	}
	apply(pools, from, to, m.Engine)
	last := &pools[to].Engines[len(pools[to].Engines)-1]
	last.Since = now
}

func fixed(time.Time, []Pool) []Move { return nil }

// leastLoaded moves one engine of the least loaded pool as soon as another is
// over 0.9, without hysteresis or cost.
func leastLoaded(_ time.Time, pools []Pool) []Move {
	for i := range pools {
		if pools[i].load() <= 0.9 {
			continue
		}
		least := -1
		for j := range pools {
			if j != i && (least < 0 || pools[j].load() < pools[least].load()) {
				least = j
			}
		}
		if pools[least].loadWith(len(pools[least].Engines)-1) < 0.9 {
			return moveSome(pools, least, i, 1)
		}
	}
	return nil
}

// threeThresholds follows Jiang and Chang, "Multi-Server Dynamic Load Balancing
// for Networked Virtual Environments": every 32 s an overloaded pool (0.9) gives
// min(its excess over 0.8, the taker's safe room below 0.8) to the least loaded
// pool, or to the one of the largest safe room if the mean is over 0.8. Giving
// load is taking engines here.
func threeThresholds() decider {
	const overload, safe, period = 0.9, 0.8, 32 * time.Second
	last := time.Time{}
	return func(now time.Time, pools []Pool) []Move {
		if now.Sub(last) < period {
			return nil
		}
		last = now
		for i := range pools {
			if pools[i].load() <= overload {
				continue
			}
			capacity, load := 0.0, 0.0
			for j := range pools {
				capacity += float64(len(pools[j].Engines)) * 100
				load += pools[j].Demand
			}
			room := func(j int) float64 { return max(0, safe*100*float64(len(pools[j].Engines))-pools[j].Demand) }
			taker := -1
			for j := range pools {
				better := taker < 0 || (load/capacity < safe && pools[j].Demand < pools[taker].Demand) ||
					(load/capacity >= safe && room(j) > room(taker))
				if j != i && better {
					taker = j
				}
			}
			excess := pools[i].Demand - safe*100*float64(len(pools[i].Engines))
			n := int(math.Ceil(min(excess, room(taker)) / (safe * 100)))
			if room(taker) < safe*100 {
				n = 0
			}
			return moveSome(pools, taker, i, n)
		}
		return nil
	}
}

// moveSome moves up to n engines that serve.
func moveSome(pools []Pool, from, to, n int) []Move {
	var moves []Move
	for _, e := range pools[from].Engines {
		if e.Loading || len(moves) >= min(n, len(pools[from].Engines)-1) {
			continue
		}
		moves = append(moves, Move{Engine: e.ID, From: pools[from].Key, To: pools[to].Key, LoadTime: time.Minute})
	}
	return moves
}

type shifter struct {
	name string
	make func() decider
}

var shifters = []shifter{
	{"fixed", func() decider { return fixed }},
	{"least loaded", func() decider { return leastLoaded }},
	{"three thresholds", threeThresholds},
	{"hysteresis and cost", func() decider { return New(Options{}).Decide }},
}

// TestShiftTable prints the trial:
//
//	go test ./internal/placement/shift -run TestShiftTable -table -v
func TestShiftTable(t *testing.T) {
	if !*table {
		t.Skip("run with -table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', tabwriter.Debug)
	defer out.Flush()
	fmt.Fprintln(out, "demand\tpolicy\tunserved by worth\tengine time in loads\tmoves")
	for _, d := range demands {
		for _, s := range shifters {
			c := meanTrial(d, s, 5)
			fmt.Fprintf(out, "%s\t%s\t%.2f%%\t%.2f%%\t%d\n", d.name, s.name, 100*c.unserved, 100*c.stranded, c.moves)
		}
	}
}

func meanTrial(d demand, s shifter, seeds int) cost {
	var sum cost
	for seed := range seeds {
		c := trial(d, s.make(), uint64(seed))
		sum.unserved += c.unserved / float64(seeds)
		sum.stranded += c.stranded / float64(seeds)
		sum.moves += c.moves
	}
	sum.moves /= seeds
	return sum
}

// Demand swings between models over a day. Engines that follow it serve more
// callers; engines that follow every burst spend their time loading.
func TestShiftingServesMoreWithoutThrashing(t *testing.T) {
	ours, still, nervous := shifters[3], shifters[0], shifters[1]
	slow := meanTrial(demands[0], ours, 2)
	assert.Assert(t, slow.unserved < meanTrial(demands[0], still, 2).unserved/2, "%+v", slow)
	bursts := meanTrial(demands[2], ours, 2)
	assert.Assert(t, bursts.moves < meanTrial(demands[2], nervous, 2).moves/4, "%+v", bursts)
	assert.Assert(t, bursts.stranded < 0.01, "%+v", bursts)
}
