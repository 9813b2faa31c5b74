package controller

import (
	"fmt"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
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
func soonFree(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) map[string]int {
	count := make(map[string]int)
	for _, vm := range v.Board.VMs {
		if u.vms[vm.ID] || u.reserved[vm.FabricDomain] {
			continue
		}
		if isUsable(v, now, vm, spec) || releasable(v, now, vm, spec) {
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
	if vm.Pool != spec.Pool || vm.Leaving || v.Board.Config.DrainedVMs[vm.ID] || vm.Accelerators < spec.Accelerators {
		return false
	}
	if spec.FabricDomain != "" && vm.FabricDomain != spec.FabricDomain {
		return false
	}
	if now.Before(v.Memory.avoidUntil[vm.ID]) || !isStable(v, vm, now) {
		return false
	}
	r, hasReport := v.Evidence.Get(vm.ID)
	return hasReport && r.Incarnation == vm.Incarnation && now.Sub(r.HeardAt) <= v.Evidence.RoutableAge()
}

// holdBack returns the domain that a short spec will form in as soon as VMs are
// released there, or "".
//
// Failure: a group worth much waits for its survivors, which are freed one at
// a time, and a narrow group worth little takes each as it comes free. Specs
// worth less therefore form nothing in the domain until the release is over.
func holdBack(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) string {
	if !v.Memory.policy.reserveDomain {
		return ""
	}
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

// plan is one way to make room for a short spec: the groups to break up in one
// domain, and what that is expected to save.
type plan struct {
	domain  string
	victims []blackboard.Group
	gain    float64
}

// takeOver drains groups worth less for a spec that is short, when that is
// expected to cost less than waiting for capacity to return. Until it is time,
// the domain is held, so that specs worth less don't take what is free there.
func takeOver(v View, now time.Time, a *Actions, spec blackboard.GroupSpec, u *allocation) {
	if !v.Memory.policy.takeOver {
		return
	}
	short := now.Sub(firstSeen(v.Memory.shortSince, spec.Name, now))
	best, ok := bestPlan(v, now, spec, u)
	if !ok {
		return
	}
	u.reserved[best.domain] = true
	if short < takeOverAfter {
		return
	}
	for _, g := range best.victims {
		to := blackboard.Draining
		if g.State != blackboard.Serving {
			to = blackboard.Broken
		}
		reason := "broken up for " + spec.Name
		a.moveGroup(g, to, reason, now)
		a.decide(Decision{
			Kind: "drain", Subject: g.ID, Choice: "take over", RunnerUp: "wait for a return",
			Reason: fmt.Sprintf("%s, expected gain %.0f weighted seconds", reason, best.gain),
		})
	}
	delete(v.Memory.shortSince, spec.Name)
}

// bestPlan returns the plan with the greatest gain above zero.
func bestPlan(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) (plan, bool) {
	count := soonFree(v, now, spec, u)
	domains := make(map[string]bool)
	for _, vm := range v.Board.VMs {
		domains[vm.FabricDomain] = !u.reserved[vm.FabricDomain]
	}
	var best plan
	for _, domain := range sortedKeys(domains) {
		if !domains[domain] || spec.FabricDomain != "" && spec.FabricDomain != domain {
			continue
		}
		victims := victimsIn(v, now, domain, spec, count[domain])
		if len(victims) == 0 {
			continue
		}
		if gain := gainOf(v, victims, spec); gain > best.gain {
			best = plan{domain, victims, gain}
		}
	}
	return best, best.gain > 0
}

// victimsIn returns the groups of a domain to break up, worth least first,
// until the spec has room; none when it can't have it.
func victimsIn(v View, now time.Time, domain string, spec blackboard.GroupSpec, room int) []blackboard.Group {
	groups := groupsByWorth(v)
	var victims []blackboard.Group
	for i := len(groups) - 1; i >= 0 && room < spec.VMsPerReplica; i-- {
		g := groups[i]
		if g.FabricDomain != domain || !mayTakeOver(v, g, spec) {
			continue
		}
		gives := 0
		for _, m := range g.Members {
			if suits(v, now, v.Board.VMs[m.VM], spec) {
				gives++
			}
		}
		if gives > 0 {
			room += gives
			victims = append(victims, g)
		}
	}
	if room < spec.VMsPerReplica {
		return nil
	}
	return victims
}

// mayTakeOver tells whether a group may be broken up for a spec: only one worth
// less, so that two specs can't take turns.
func mayTakeOver(v View, g blackboard.Group, spec blackboard.GroupSpec) bool {
	switch g.State {
	case blackboard.Forming, blackboard.Loading, blackboard.Serving:
		return g.Spec != spec.Name && worthOf(v, g) < v.Board.Config.GroupWorth(spec.Name)
	}
	return false
}

// gainOf returns what breaking up victims for spec is expected to save against
// waiting for capacity to return, in seconds of one group of spec down,
// weighted by the preset in force. Above zero the takeover is worth it.
//
//	wait:      downtime of spec for expectedReturn; what lies free stays free
//	take over: downtime of spec while it loads, of victims for expectedReturn;
//	           the VMs stand idle while they load, and those that victims give
//	           and the spec does not need stay free
//
// Downtime of a victim counts by its share of the spec's worth, and stranded
// accelerators by their share of a group of spec.
func gainOf(v View, victims []blackboard.Group, spec blackboard.GroupSpec) float64 {
	downtime, stranded := weights(v)
	share, gave := 0.0, 0.0
	for _, g := range victims {
		if w := v.Board.Config.GroupWorth(spec.Name); w > 0 {
			share += max(0, float64(worthOf(v, g))/float64(w))
		}
		gave += float64(len(g.Members))
	}
	away := expectedReturn.Seconds()
	load := expectedLoad.Seconds()
	need := float64(spec.VMsPerReplica)
	saved := away - load - share*away
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
