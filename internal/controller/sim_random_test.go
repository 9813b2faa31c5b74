package controller

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// The following command runs seeds beyond the fixed ones:
//
//	CITRONSTEP_SIM_SEEDS=2000 CITRONSTEP_SIM_FIRST=1000 \
//	  go test -run TestRandomFaults -timeout 30m ./internal/controller
const (
	seedsVariable = "CITRONSTEP_SIM_SEEDS"
	firstVariable = "CITRONSTEP_SIM_FIRST"
	fixedSeeds    = 24
)

func fromEnv(name string, standard int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return standard
	}
	return n
}

func randomConfig() blackboard.ConfigChange {
	return blackboard.ConfigChange{
		Groups: []blackboard.GroupSpec{
			{Name: "large", Model: "large", Replicas: 2, VMsPerReplica: 4, Accelerators: 4, Worth: 100},
			{Name: "small", Model: "small", Replicas: 3, VMsPerReplica: 2, Worth: 10},
		},
		Presets: []blackboard.Preset{
			{Name: "day"},
			{Name: "peak", GroupReplicas: map[string]int{"large": 3, "small": 1}, DowntimeWeight: 3},
		},
		UsePreset: "day",
	}
}

// Guards against groups that stay incomplete, or serve with a member missing, when faults
// coincide. Members die, pause and return, two at once or the second directly after a repair. A
// domain fails, leaders change with orders still in transit, and operators drain and switch
// presets. Half of the engines ignore fencing tokens. The invariants that the world asserts must
// hold in any order of faults, and after the faults each wanted group must serve again.
func TestRandomFaults(t *testing.T) {
	first := fromEnv(firstVariable, 1)
	for seed := first; seed < first+fromEnv(seedsVariable, fixedSeeds); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, int64(seed), 3, 6, defaultPolicy, randomConfig())
			w.onMove = w.disturbMove
			w.after(20*time.Second, w.injectFault)
			w.run(3 * time.Minute)
			w.endFaults()
			w.run(3 * time.Minute)
			requireNoFailure(t, w)
			assert.Assert(t, w.allServing(), "seed %d: not all wanted groups serve again: %s", seed, w.states())
			assert.Assert(t, w.matchesBoard(), "seed %d: an engine runs an epoch that the blackboard does not assign to it", seed)
		})
	}
}

func (w *world) states() string {
	text := ""
	for _, id := range sortedKeys(w.board.Groups) {
		g := w.board.Groups[id]
		text += id + " " + string(g.State) + " (" + g.Reason + "); "
	}
	return text
}

// injectFault causes one fault and schedules the next.
func (w *world) injectFault() {
	if w.onMove == nil {
		return
	}
	w.after(time.Second+w.upTo(15*time.Second), w.injectFault)
	e := w.engines[w.rng.Intn(len(w.engines))]
	switch w.rng.Intn(11) {
	case 0:
		w.crash(e)
	case 1:
		w.crash(e)
		w.crash(w.engines[w.rng.Intn(len(w.engines))])
	case 2, 3:
		e.pause(time.Second + w.upTo(15*time.Second))
	case 4:
		w.darken(e.domain)
	case 5:
		w.drain(e)
	case 6:
		w.leave(e)
	case 7:
		w.lead(w.rng.Intn(simEntries))
	case 8:
		w.cutLeader()
	case 9:
		preset := []string{"day", "peak"}[w.rng.Intn(2)]
		w.change(blackboard.ConfigChange{UsePreset: preset})
	case 10:
		e.slow = 2 + w.rng.Intn(6)
		w.after(10*time.Second+w.upTo(40*time.Second), func() { e.slow = 0 })
	}
}

func (w *world) crash(e *simEngine) {
	e.kill()
	if w.rng.Intn(2) == 0 {
		e.weights = make(map[string]bool)
	}
	w.after(time.Second+w.upTo(50*time.Second), e.start)
}

// darken cuts a domain's network, or stops its VMs.
func (w *world) darken(domain string) {
	stops := w.rng.Intn(2) == 0
	back := 5*time.Second + w.upTo(40*time.Second)
	for _, e := range w.engines {
		if e.domain != domain {
			continue
		}
		if stops {
			e.kill()
			w.after(back+w.upTo(5*time.Second), e.start)
			continue
		}
		e.dark = true
		w.after(back, func() { e.dark = false })
	}
}

func (w *world) drain(e *simEngine) {
	w.change(blackboard.ConfigChange{DrainVMs: []string{e.id}})
	w.after(time.Second+w.upTo(time.Minute), func() {
		w.change(blackboard.ConfigChange{UndrainVMs: []string{e.id}})
	})
}

// leave announces that a VM is leaving; the VM stops later and returns.
func (w *world) leave(e *simEngine) {
	e.leaving = true
	w.after(10*time.Second+w.upTo(20*time.Second), func() {
		e.kill()
		e.leaving = false
		w.after(w.upTo(20*time.Second), e.start)
	})
}

// cutLeader cuts off the leader; another process becomes leader when its lease has ended.
func (w *world) cutLeader() {
	old := w.leader().entry
	w.entries[old].cut = true
	w.after(simLease, func() {
		if w.leader().entry == old {
			w.lead((old + 1) % simEntries)
		}
	})
	w.after(2*time.Second+w.upTo(20*time.Second), func() { w.entries[old].cut = false })
}

// disturbMove kills a member directly after some groups come into service, and drains a member
// while orders to load are still in transit.
func (w *world) disturbMove(g blackboard.Group) {
	m := g.Members[w.rng.Intn(len(g.Members))]
	switch g.State {
	case blackboard.Serving:
		if w.rng.Intn(8) == 0 {
			w.after(w.upTo(time.Second), func() { w.crash(w.byID[m.VM]) })
		}
	case blackboard.Loading:
		if w.rng.Intn(4) == 0 {
			w.after(w.upTo(500*time.Millisecond), func() { w.drain(w.byID[m.VM]) })
		}
	}
}

// endFaults ends all faults and brings all engines back.
func (w *world) endFaults() {
	w.onMove = nil
	for _, n := range w.entries {
		n.cut = false
	}
	for _, e := range w.engines {
		e.dark, e.leaving = false, false
		e.start()
		w.change(blackboard.ConfigChange{UndrainVMs: []string{e.id}})
	}
	w.change(blackboard.ConfigChange{UsePreset: "day"})
}
