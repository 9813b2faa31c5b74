package shift

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Planner remembers since when each pool is under pressure and what it gave.
type Planner struct {
	options  Options
	pressure map[Key]time.Time
	gave     map[Key]time.Time
	hold     time.Duration
	regretAt time.Time
	smooth   map[Key]float64
	smoothAt time.Time
	// warmAt is when enough demand was seen to judge it.
	warmAt time.Time
}

// warmUp is how many hold times pass before the first move: a new leader that
// begins within a burst would take it for the mean.
const warmUp = 2

// New returns a Planner.
func New(o Options) *Planner {
	o = o.withDefaults()
	return &Planner{
		options:  o,
		pressure: make(map[Key]time.Time),
		gave:     make(map[Key]time.Time),
		hold:     o.Hold,
		smooth:   make(map[Key]float64),
	}
}

// Decide returns the moves to order now. The caller orders each once and shows
// the engine as Loading in its new pool from then on.
//
// It is made for demand that moves between models over minutes and hours.
// Moving engines after each burst would strand them in loads; never moving them
// would refuse one model's callers beside another's idle engines.
func (p *Planner) Decide(now time.Time, pools []Pool) []Move {
	pools = slices.Clone(pools)
	p.smoothDemand(now, pools)
	p.observe(now, pools)
	loading := countLoading(pools)
	var moves []Move
	for _, i := range p.takers(now, pools) {
		for loading < p.options.Loads && pools[i].load() > p.options.Overloaded {
			move, from := p.best(now, pools, i)
			if from < 0 {
				break
			}
			apply(pools, from, i, move.Engine)
			p.gave[move.From] = now
			moves = append(moves, move)
			loading++
		}
	}
	return moves
}

// smoothDemand replaces each demand by its mean over about the hold time, so
// that pools are sized for the mean of swings too fast to follow.
func (p *Planner) smoothDemand(now time.Time, pools []Pool) {
	if p.smoothAt.IsZero() {
		p.smoothAt = now
		p.warmAt = now.Add(warmUp * p.options.Hold)
	}
	weight := 1 - math.Exp(-now.Sub(p.smoothAt).Seconds()/p.hold.Seconds())
	p.smoothAt = now
	for i := range pools {
		key := pools[i].Key
		mean, known := p.smooth[key]
		if !known {
			mean = pools[i].Demand
		}
		mean += weight * (pools[i].Demand - mean)
		p.smooth[key] = mean
		pools[i].Demand = mean
	}
}

// load is the demand as a part of the capacity, engines that load included:
// they were moved for this demand already.
func (p *Pool) load() float64 {
	return p.loadWith(len(p.Engines))
}

func (p *Pool) loadWith(engines int) float64 {
	if engines <= 0 {
		return 1e9
	}
	return p.Demand / (float64(engines) * p.PerEngine)
}

func (p *Planner) observe(now time.Time, pools []Pool) {
	seen := make(map[Key]bool, len(pools))
	for i := range pools {
		key := pools[i].Key
		seen[key] = true
		since, known := p.pressure[key]
		over := pools[i].load() > p.options.Overloaded
		switch {
		case !over:
			delete(p.pressure, key)
		case !known || since.After(now):
			p.pressure[key] = now
			p.regret(now, key)
		}
	}
	p.forgive(now)
	for key := range p.smooth {
		if !seen[key] {
			delete(p.pressure, key)
			delete(p.gave, key)
			delete(p.smooth, key)
		}
	}
}

// regret doubles the time that a pressure must last when a pool that gave an
// engine lately is short itself.
//
// It is made for demand that swings about as fast as engines load: each move
// then comes when the swing is nearly over, and both pools lose by it.
func (p *Planner) regret(now time.Time, key Key) {
	at, gave := p.gave[key]
	if !gave || now.Sub(at) > p.options.Horizon {
		return
	}
	delete(p.gave, key)
	p.hold = min(2*p.hold, p.options.Horizon)
	p.regretAt = now
}

// forgive halves that time after a while without regret.
func (p *Planner) forgive(now time.Time) {
	if p.hold > p.options.Hold && now.Sub(p.regretAt) > forgiveAfter*p.options.Horizon {
		p.hold = max(p.hold/2, p.options.Hold)
		p.regretAt = now
	}
}

// forgiveAfter is how many horizons without regret halve the hold.
const forgiveAfter = 3

// takers returns the pools under lasting pressure, greatest worth first.
func (p *Planner) takers(now time.Time, pools []Pool) []int {
	var takers []int
	if now.Before(p.warmAt) {
		return nil
	}
	for i := range pools {
		since, over := p.pressure[pools[i].Key]
		if over && now.Sub(since) >= p.options.Hold {
			takers = append(takers, i)
		}
	}
	sort.SliceStable(takers, func(a, b int) bool {
		x, y := &pools[takers[a]], &pools[takers[b]]
		if x.Worth != y.Worth {
			return x.Worth > y.Worth
		}
		return x.load() > y.load()
	})
	return takers
}

// best finds the move to pool to with the greatest gain.
func (p *Planner) best(now time.Time, pools []Pool, to int) (Move, int) {
	best, from := Move{}, -1
	for i := range pools {
		if i == to || len(pools[i].Engines) <= pools[i].Least {
			continue
		}
		engine, load, ok := p.engine(now, &pools[i], &pools[to])
		if !ok {
			continue
		}
		gain := p.gain(&pools[i], &pools[to], load)
		if gain > 0 && (from < 0 || gain > best.Gain) {
			best = Move{Engine: engine, From: pools[i].Key, To: pools[to].Key, Gain: gain, LoadTime: load}
			from = i
		}
	}
	return best, from
}

// gain is the worth of what is served more within the horizon, less what the
// giver then lacks and what the engine can't do while it loads.
func (p *Planner) gain(from, to *Pool, load time.Duration) float64 {
	n, m := len(to.Engines), len(from.Engines)
	horizon := p.options.Horizon.Seconds()
	served := p.lack(to, n, p.options.Overloaded) - p.lack(to, n+1, p.options.Overloaded)
	given := p.lack(from, m-1, p.options.Spare) - p.lack(from, m, p.options.Spare)
	gain := to.Worth * served * (horizon - load.Seconds())
	loss := from.Worth * given * horizon
	stranded := p.options.StrandedWeight * from.Worth * from.PerEngine * min(1, from.load()) * load.Seconds()
	return gain - loss - stranded
}

// lack is the demand above what n engines do at the given load.
func (p *Planner) lack(pool *Pool, n int, load float64) float64 {
	return max(0, pool.Demand-float64(n)*pool.PerEngine*load)
}

// engine picks the engine of from that serves to soonest. An engine that came
// lately or still loads stays: moving it again would waste its load.
func (p *Planner) engine(now time.Time, from, to *Pool) (string, time.Duration, bool) {
	best, bestLoad, found := Engine{}, time.Duration(0), false
	for _, e := range from.Engines {
		if e.Loading || now.Sub(e.Since) < p.options.Stay {
			continue
		}
		load := loadTime(e, from, to)
		if !found || load < bestLoad || (load == bestLoad && e.Running < best.Running) {
			best, bestLoad, found = e, load, true
		}
	}
	return best.ID, bestLoad, found
}

// loadTime is how long e takes to serve in pool to. A change of role alone
// keeps the weights in place.
func loadTime(e Engine, from, to *Pool) time.Duration {
	switch {
	case from.Key.Model == to.Key.Model:
		return 0
	case slices.Contains(e.Holds, to.Key.Model):
		return time.Duration(heldLoadPart * float64(to.LoadTime))
	}
	return to.LoadTime
}

func countLoading(pools []Pool) int {
	n := 0
	for _, p := range pools {
		for _, e := range p.Engines {
			if e.Loading {
				n++
			}
		}
	}
	return n
}

// apply moves the engine within the copies of the pools.
func apply(pools []Pool, from, to int, id string) {
	at := slices.IndexFunc(pools[from].Engines, func(e Engine) bool { return e.ID == id })
	e := pools[from].Engines[at]
	e.Loading = true
	pools[from].Engines = slices.Delete(slices.Clone(pools[from].Engines), at, at+1)
	pools[to].Engines = append(slices.Clone(pools[to].Engines), e)
}
