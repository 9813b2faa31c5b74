package raft

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var measure = flag.Bool("measure", false, "run the measurements")

// TestMeasureNewLeader reports how long a group has no leader with a lease after
// its leader crashes, without other faults. It is a measurement, not a check. Run
// it with:
//
//	go test ./internal/raft -run TestMeasureNewLeader -v -args -measure -seeds=2000
func TestMeasureNewLeader(t *testing.T) {
	if !*measure {
		t.Skip("a measurement: run it with -args -measure")
	}
	for _, voters := range []int{3, 5} {
		var took []time.Duration
		for i := range *seedCount {
			took = append(took, newLeaderAfterCrash(t, uint64(4*i), voters))
		}
		slices.Sort(took)
		at := func(part float64) time.Duration { return took[int(part*float64(len(took)-1))] }
		const tick = simElectionTimeout / 20
		t.Logf("%d voters, %d crashes: median %v (%d ticks), 99th %v (%d ticks), highest %v; election timeout %v (20 ticks)",
			voters, len(took), at(0.5), at(0.5)/tick, at(0.99), at(0.99)/tick, at(1), simElectionTimeout)
	}
}

// newLeaderAfterCrash returns the time from the crash of the leader until another
// process holds a lease.
func newLeaderAfterCrash(t *testing.T, seed uint64, voters int) time.Duration {
	t.Helper()
	w := newSimCluster(seed, voters, voters)
	w.runUntil(healTime, w.isHealthy)
	w.runUntil(w.duration(simElectionTimeout), func() bool { return false })
	var old *simVM
	for _, vm := range w.vms {
		if vm.proc.isLeader {
			old = vm
		}
	}
	w.crash(old)
	old.restartAt = w.now + time.Hour
	start := w.now
	w.runUntil(healTime, func() bool {
		return slices.ContainsFunc(w.vms, func(vm *simVM) bool {
			return vm.proc != nil && vm.proc.isLeader && vm.proc.lease > vm.clock(w.now)
		})
	})
	return w.now - start
}
