package controller

import (
	"fmt"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// takeOverAfter is how long a spec must have been short before a group worth less is broken
	// up for it: releases and quick restarts come first.
	takeOverAfter = 15 * time.Second
	// expectedOutage is how long lost capacity is expected to stay away, for the gain of a
	// takeover. Most VMs that fail are restarted within minutes.
	expectedOutage = 5 * time.Minute
	// expectedLoadTime is how long a group is expected to load.
	expectedLoadTime = time.Minute
)

// availableSoon counts the VMs of each domain that a spec could use now, or as soon as their
// broken or draining group has released them.
func availableSoon(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) map[string]int {
	count := make(map[string]int)
	for _, vm := range v.Board.VMs {
		if u.vms[vm.ID] || u.reserved[vm.FabricDomain] {
			continue
		}
		if isUsable(v, now, vm, spec) || isReleasedSoon(v, now, vm, spec) {
			count[vm.FabricDomain]++
		}
	}
	return count
}

// isReleasedSoon reports whether a VM is being released and will then suit a spec.
func isReleasedSoon(v View, now time.Time, vm blackboard.VM, spec blackboard.GroupSpec) bool {
	g, ok := v.Board.Groups[vm.Group]
	if !ok || g.Epoch != vm.Epoch {
		return false
	}
	if g.State != blackboard.Broken && g.State != blackboard.Draining {
		return false
	}
	return suits(v, now, vm, spec)
}

// suits reports whether a spec could use a VM once the VM is free. A VM that flaps, straggles,
// leaves, is drained or failed its last load does not suit: it would break the group that it
// joins.
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
	return hasReport && r.Incarnation == vm.Incarnation && now.Sub(r.ReceivedAt) <= v.Evidence.RoutableAge()
}

// domainToReserve returns the domain in which a short spec will form a group as soon as VMs are
// released there, or "".
//
// Failure: a wide group worth much waits for its survivors, which become free one at a time, and
// a narrow group worth little takes each VM as it becomes free. Specs worth less therefore form
// no group in the domain until the release is complete.
func domainToReserve(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) string {
	if !v.Memory.policy.reserveDomain {
		return ""
	}
	best := ""
	count := availableSoon(v, now, spec, u)
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

// plan is one way to free capacity for a short spec: the groups to break up in one domain, and
// the expected gain.
type plan struct {
	domain  string
	victims []blackboard.Group
	gain    float64
}

// takeOver drains groups worth less for a short spec if that is expected to cost less than
// waiting for capacity to return. Until takeOverAfter has passed, the domain is reserved, so that
// specs worth less do not take its free VMs.
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
			Kind: "drain", Subject: g.ID, Choice: "take over", RunnerUp: "wait for capacity to return",
			Reason: fmt.Sprintf("%s, expected gain %.0f weighted seconds", reason, best.gain),
		})
	}
	delete(v.Memory.shortSince, spec.Name)
}

// bestPlan returns the plan with the greatest gain above zero.
func bestPlan(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) (plan, bool) {
	count := availableSoon(v, now, spec, u)
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

// victimsIn returns the groups of a domain to break up, least worth first, until the spec has
// enough VMs; none if that is impossible. capacity is the number of VMs that the spec can already
// use.
func victimsIn(v View, now time.Time, domain string, spec blackboard.GroupSpec, capacity int) []blackboard.Group {
	groups := groupsByWorth(v)
	var victims []blackboard.Group
	for i := len(groups) - 1; i >= 0 && capacity < spec.VMsPerReplica; i-- {
		g := groups[i]
		if g.FabricDomain != domain || !mayTakeOver(v, g, spec) {
			continue
		}
		usableMembers := 0
		for _, m := range g.Members {
			if suits(v, now, v.Board.VMs[m.VM], spec) {
				usableMembers++
			}
		}
		if usableMembers > 0 {
			capacity += usableMembers
			victims = append(victims, g)
		}
	}
	if capacity < spec.VMsPerReplica {
		return nil
	}
	return victims
}

// mayTakeOver reports whether a group may be broken up for a spec. Only a group worth less may
// be, so that two specs cannot take over each other in turn.
func mayTakeOver(v View, g blackboard.Group, spec blackboard.GroupSpec) bool {
	switch g.State {
	case blackboard.Forming, blackboard.Loading, blackboard.Serving:
		return g.Spec != spec.Name && worthOf(v, g) < v.Board.Config.GroupWorth(spec.Name)
	}
	return false
}

// gainOf returns what breaking up victims for spec is expected to save compared with waiting for
// capacity to return. The unit is seconds of downtime of one group of spec, weighted by the
// preset in force. A takeover pays off above zero.
//
//	wait:      spec is down for expectedOutage; free VMs stay free
//	take over: spec is down while it loads, victims are down for expectedOutage;
//	           the VMs are idle while they load, and VMs of victims beyond the
//	           needs of spec stay free
//
// Downtime of a victim counts by its share of the spec's worth, and stranded accelerators by
// their share of a group of spec.
func gainOf(v View, victims []blackboard.Group, spec blackboard.GroupSpec) float64 {
	downtime, stranded := presetWeights(v)
	share, freedVMs := 0.0, 0.0
	for _, g := range victims {
		if w := v.Board.Config.GroupWorth(spec.Name); w > 0 {
			share += max(0, float64(worthOf(v, g))/float64(w))
		}
		freedVMs += float64(len(g.Members))
	}
	outage := expectedOutage.Seconds()
	load := expectedLoadTime.Seconds()
	need := float64(spec.VMsPerReplica)
	saved := outage - load - share*outage
	idleChange := (freedVMs-need)/need*outage + load
	return downtime*saved - stranded*idleChange
}

// presetWeights returns the weights of group downtime and of stranded accelerators under the
// preset in force.
func presetWeights(v View) (downtime, stranded float64) {
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
