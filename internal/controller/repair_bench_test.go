package controller

import (
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// The measurement of docs/design/groups.md:
//
//	go test -run '^$' -bench BenchmarkRepair -benchtime 1x -timeout 30m ./internal/controller
const (
	repairSeeds   = 8
	repairHour    = time.Hour
	repairDomains = 6
	repairVMs     = 8
)

type repairStrategy struct {
	name   string
	policy policy
	// follows is true if the strategy uses the preset's weights.
	follows bool
}

var repairStrategies = []repairStrategy{
	{"rebuild always", policy{}, false},
	{"keep a fixed spare", policy{reuseSurvivors: true, reserveDomain: true, spares: 1}, false},
	{"no takeover", policy{reuseSurvivors: true, reserveDomain: true}, false},
	{"chosen", defaultPolicy, true},
}

type userWeights struct {
	name               string
	downtime, stranded float64
}

var users = []userWeights{{"Verifica 3:1", 3, 1}, {"Halvorsen 1:3", 1, 3}}

// repairPool is a pool of 48 VMs and the number of small groups configured on it.
type repairPool struct {
	name  string
	small int
}

var repairPools = []repairPool{{"full", 9}, {"one VM in eight spare", 3}}

// repairConfig configures groups on all VMs of the pool except those that small leaves free.
func repairConfig(u userWeights, small int) blackboard.ConfigChange {
	return blackboard.ConfigChange{
		Groups: []blackboard.GroupSpec{
			{Name: "large", Model: "large", Replicas: 6, VMsPerReplica: 4, Worth: 100},
			{Name: "medium", Model: "medium", Replicas: 5, VMsPerReplica: 3, Worth: 40},
			{Name: "small", Model: "small", Replicas: small, VMsPerReplica: 1, Worth: 10},
		},
		Presets:   []blackboard.Preset{{Name: "p", DowntimeWeight: u.downtime, StrandedWeight: u.stranded}},
		UsePreset: "p",
	}
}

// planFaults draws the faults of one hour from the seed alone, so that each strategy meets the
// same faults. A VM is lost every 3 minutes on average and returns after 1 to 10 minutes; in one
// case of four a second VM is lost within a minute. A VM pauses every 2 minutes, a domain is
// unreachable for 2 to 10 minutes once an hour, and a restart is announced every 6 minutes.
func (w *world) planFaults() {
	rng := rand.New(rand.NewSource(w.seed))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int63n(int64(d))) }
	lose := func(at, back time.Duration, e *simEngine, forgets bool) {
		w.after(at, func() {
			e.kill()
			if forgets {
				e.weights = make(map[string]bool)
			}
			w.after(back, e.start)
		})
	}
	pick := func() *simEngine { return w.engines[rng.Intn(len(w.engines))] }
	for at := 2 * time.Minute; at < repairHour; at += upTo(6 * time.Minute) {
		lose(at, time.Minute+upTo(9*time.Minute), pick(), rng.Intn(2) == 0)
		if rng.Intn(4) == 0 {
			lose(at+upTo(time.Minute), time.Minute+upTo(9*time.Minute), pick(), rng.Intn(2) == 0)
		}
	}
	for at := 2 * time.Minute; at < repairHour; at += upTo(4 * time.Minute) {
		e, d := pick(), time.Second+upTo(8*time.Second)
		w.after(at, func() { e.pause(d) })
	}
	domain, dark := fmt.Sprintf("domain-%d", rng.Intn(repairDomains)), 10*time.Minute+upTo(30*time.Minute)
	for _, e := range w.engines {
		if e.domain == domain {
			w.after(dark, func() { e.dark = true })
			w.after(dark+2*time.Minute+upTo(8*time.Minute), func() { e.dark = false })
		}
	}
	for at := 3 * time.Minute; at < repairHour; at += upTo(12 * time.Minute) {
		e := pick()
		w.after(at, func() { e.leaving = true })
		lose(at+30*time.Second, 30*time.Second, e, false)
		w.after(at+time.Minute, func() { e.leaving = false })
	}
}

// outcome is in hours: downtime of groups by spec, and stranded accelerators.
type outcome struct {
	down     map[string]float64
	stranded float64
}

func repairRun(b *testing.B, seed int64, pool repairPool, strategy repairStrategy, u userWeights) outcome {
	w := newWorld(b, seed, repairDomains, repairVMs, strategy.policy, repairConfig(u, pool.small))
	w.storeSeconds, w.localLoad = 10, 10*time.Second
	w.planFaults()
	w.run(repairHour)
	if w.failed != "" {
		b.Error(w.failed)
	}
	o := outcome{down: make(map[string]float64), stranded: w.score.stranded / 3600}
	for spec, s := range w.score.down {
		o.down[spec] = s / 3600
	}
	return o
}

// cost weighs the two measures: downtime in hours of a large group, by worth, and stranded
// accelerators in hours of the sixteen accelerators of a large group.
func (o outcome) cost(u userWeights) float64 {
	down := o.down["large"] + 0.4*o.down["medium"] + 0.1*o.down["small"]
	return u.downtime*down + u.stranded*o.stranded/16
}

func repairMean(b *testing.B, pool repairPool, strategy repairStrategy, u userWeights) outcome {
	sum := outcome{down: make(map[string]float64)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	for seed := range int64(repairSeeds) {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			o := repairRun(b, seed+1, pool, strategy, u)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			for spec, h := range o.down {
				sum.down[spec] += h / repairSeeds
			}
			sum.stranded += o.stranded / repairSeeds
		}()
	}
	wg.Wait()
	return sum
}

// BenchmarkRepair prints the means of an hour for each pool, strategy and user. A strategy that
// does not use the weights is run once.
func BenchmarkRepair(b *testing.B) {
	for b.Loop() {
		fmt.Printf("\n| pool | way | weights | large down (h) | medium down (h) | small down (h) | stranded (accelerator h) | cost |\n")
		fmt.Printf("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |\n")
		for _, pool := range repairPools {
			for _, strategy := range repairStrategies {
				var o outcome
				for i, u := range users {
					if i == 0 || strategy.follows {
						o = repairMean(b, pool, strategy, u)
					}
					fmt.Printf("| %s | %s | %s | %.2f | %.2f | %.2f | %.1f | %.2f |\n", pool.name, strategy.name, u.name,
						o.down["large"], o.down["medium"], o.down["small"], o.stranded, o.cost(u))
				}
			}
		}
	}
}
