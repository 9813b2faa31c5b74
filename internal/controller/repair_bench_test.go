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

type repairWay struct {
	name   string
	policy policy
	// follows says that the way looks at the preset's weights.
	follows bool
}

var repairWays = []repairWay{
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

// repairPool is how many small groups a pool of 48 VMs is asked for.
type repairPool struct {
	name  string
	small int
}

var repairPools = []repairPool{{"full", 9}, {"one VM in eight spare", 3}}

// repairConfig asks for all VMs of the pool but those that small leaves free.
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

// planFaults draws the faults of one hour from the seed alone, so that each way
// meets the same ones: a VM lost each 3 minutes and back after 1 to 10, now and
// then two or a second one soon after; a pause each 2 minutes; a domain dark
// for 2 to 10 minutes once an hour; a restart announced each 6 minutes.
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

// outcome is in hours: downtime of groups by spec and stranded accelerators.
type outcome struct {
	down     map[string]float64
	stranded float64
}

func repairRun(b *testing.B, seed int64, pool repairPool, way repairWay, u userWeights) outcome {
	w := newWorld(b, seed, repairDomains, repairVMs, way.policy, repairConfig(u, pool.small))
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

// cost weighs the two measures: downtime in hours of a large group, by worth,
// and stranded accelerators in hours of a large group's sixteen.
func (o outcome) cost(u userWeights) float64 {
	down := o.down["large"] + 0.4*o.down["medium"] + 0.1*o.down["small"]
	return u.downtime*down + u.stranded*o.stranded/16
}

func repairMean(b *testing.B, pool repairPool, way repairWay, u userWeights) outcome {
	sum := outcome{down: make(map[string]float64)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	room := make(chan struct{}, 4)
	for seed := range int64(repairSeeds) {
		wg.Add(1)
		room <- struct{}{}
		go func() {
			defer wg.Done()
			o := repairRun(b, seed+1, pool, way, u)
			<-room
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

// BenchmarkRepair prints the means of an hour for each pool, way and user. A
// way that does not look at the weights is run once.
func BenchmarkRepair(b *testing.B) {
	for b.Loop() {
		fmt.Printf("\n| pool | way | weights | large down (h) | medium down (h) | small down (h) | stranded (accelerator h) | cost |\n")
		fmt.Printf("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |\n")
		for _, pool := range repairPools {
			for _, way := range repairWays {
				var o outcome
				for i, u := range users {
					if i == 0 || way.follows {
						o = repairMean(b, pool, way, u)
					}
					fmt.Printf("| %s | %s | %s | %.2f | %.2f | %.2f | %.1f | %.2f |\n", pool.name, way.name, u.name,
						o.down["large"], o.down["medium"], o.down["small"], o.stranded, o.cost(u))
				}
			}
		}
	}
}
