package controller

import (
	"fmt"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// takeOverAfter is how long a spec must have been short before a group
	// worth less is broken up for it: releases and quick restarts come first.
	takeOverAfter = 15 * time.Second
	// expectedReturn is how long capacity that is lost is expected to stay
	// away. It weighs what a takeover gains; most VMs that fail are restarted
	// within minutes.
	expectedReturn = 5 * time.Minute
	// expectedLoad is how long a group is expected to load.
	expectedLoad = time.Minute
)

// soonFree returns the VMs of each domain that a spec could use now, or once
// their broken or draining group has released them.
func soonFree(v View, now time.Time, spec blackboard.GroupSpec, u *use) map[string]int {
	count := make(map[string]int)
	for _, vm := range v.Board.VMs {
		if u.vms[vm.ID] || u.held[vm.FabricDomain] {
			continue
		}
		if usable(v, now, vm, spec) || releasable(v, now, vm, spec) {
			count[vm.FabricDomain]++
		}
	}
	return count
}

// releasable tells whether a VM is being released and will then suit a spec.
func releasable(v View, now time.Time, vm blackboard.VM, spec blackboard.GroupSpec) bool {
	g, ok := v.Board.Groups[vm.Group]
	if !ok || g.Epoch != vm.Epoch {
		return false
	}
	if g.State != blackboard.Broken && g.State != blackboard.Draining {
		return false
	}
	return suits(v, now, vm, spec)
}

// suits tells whether a VM, once free, would be usable by a spec. One that
// flaps, straggles, leaves, is drained or failed its last load is not: it would
// break the group that it joins.
func suits(v View, now time.Time, vm blackboard.VM, spec blackboard.GroupSpec) bool {
	if vm.Leaving || v.Board.Config.DrainedVMs[vm.ID] || vm.Accelerators < spec.Accelerators {
		return false
	}
	if spec.FabricDomain != "" && vm.FabricDomain != spec.FabricDomain {
		return false
	}
	if now.Before(v.Memory.avoid[vm.ID]) || !steady(vm, now) {
		return false
	}
	r, heard := v.Evidence.Get(vm.ID)
	return heard && r.Incarnation == vm.Incarnation && now.Sub(r.HeardAt) <= evidence.RoutableAge
}

// holdBack returns the domain that a short spec will form in as soon as VMs are
// released there, or "".
//
// Failure: a group worth much waits for its survivors, which are freed one at
// a time, and a narrow group worth little takes each as it comes free. Specs
// worth less therefore form nothing in the domain until the release is over.
func holdBack(v View, now time.Time, spec blackboard.GroupSpec, u *use) string {
	best := ""
	count := soonFree(v, now, spec, u)
	for _, domain := range sortedKeys(count) {
		if count[domain] < spec.VMsPerReplica {
			continue
		}
		if best == "" || count[domain] < count[best] {
			best = domain
		}
	}
	return best
}

// takeOver drains one group worth less for a spec that is short, when that is
// expected to cost less than waiting.
func takeOver(v View, now time.Time, a *Actions, spec blackboard.GroupSpec, u *use) {
	if !v.Memory.policy.takeOver {
		return
	}
	if now.Sub(since(v.Memory.missing, spec.Name, now)) < takeOverAfter {
		return
	}
	count := soonFree(v, now, spec, u)
	var best *blackboard.Group
	bestGain := 0.0
	for _, g := range groupsByWorth(v) {
		if !mayTakeOver(v, now, g, spec, count) {
			continue
		}
		if gain := gainOf(v, g, spec); gain > bestGain {
			bestGain = gain
			victim := g
			best = &victim
		}
	}
	if best == nil {
		return
	}
	to := blackboard.Draining
	if best.State != blackboard.Serving {
		to = blackboard.Broken
	}
	reason := "broken up for " + spec.Name
	a.moveGroup(*best, to, reason, now)
	a.decide(Decision{
		Kind: "drain", Subject: best.ID, Choice: "take over", RunnerUp: "wait for a return",
		Reason: fmt.Sprintf("%s, expected gain %.0f weighted seconds", reason, bestGain),
	})
	delete(v.Memory.missing, spec.Name)
}

// mayTakeOver tells whether breaking up g would give spec room.
func mayTakeOver(v View, now time.Time, g blackboard.Group, spec blackboard.GroupSpec, count map[string]int) bool {
	switch g.State {
	case blackboard.Forming, blackboard.Loading, blackboard.Serving:
	default:
		return false
	}
	if g.Spec == spec.Name || worthOf(v, g) >= v.Board.Config.GroupWorth(spec.Name) {
		return false
	}
	if spec.FabricDomain != "" && g.FabricDomain != spec.FabricDomain {
		return false
	}
	room := count[g.FabricDomain]
	for _, m := range g.Members {
		if suits(v, now, v.Board.VMs[m.VM], spec) {
			room++
		}
	}
	return room >= spec.VMsPerReplica
}

// gainOf returns what taking g over for spec is expected to save against
// waiting for capacity to return, in seconds of one group of spec down,
// weighted by the preset in force. Above zero the takeover is worth it.
//
//	wait:      downtime of spec for expectedReturn; what lies free stays free
//	take over: downtime of spec while it loads, of g for expectedReturn;
//	           the VMs stand idle while they load, and those of g that the
//	           spec does not need stay free
//
// Downtime of g counts by its share of the spec's worth, and stranded
// accelerators by their share of a group of spec.
func gainOf(v View, g blackboard.Group, spec blackboard.GroupSpec) float64 {
	downtime, stranded := weights(v)
	share := 0.0
	if w := v.Board.Config.GroupWorth(spec.Name); w > 0 {
		share = max(0, float64(worthOf(v, g))/float64(w))
	}
	away := expectedReturn.Seconds()
	load := expectedLoad.Seconds()
	saved := away - load - share*away
	need := float64(spec.VMsPerReplica)
	gave := float64(len(g.Members))
	idleChange := (gave-need)/need*away + load
	return downtime*saved - stranded*idleChange
}

// weights returns the weights of group downtime and of stranded accelerators
// under the preset in force.
func weights(v View) (downtime, stranded float64) {
	p := v.Board.Config.Presets[v.Board.Config.ActivePreset]
	downtime, stranded = p.DowntimeWeight, p.StrandedWeight
	if downtime <= 0 {
		downtime = 1
	}
	if stranded <= 0 {
		stranded = 1
	}
	return downtime, stranded
}
