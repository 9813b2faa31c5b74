package controller

import (
	"github.com/citronstep/citronstep/internal/blackboard"
)

// domainModels gives each fabric domain of the pools one model.
//
// Load: members of serving groups fail every few seconds, and loading weights
// takes ten times as long as joining with them in the accelerators. Harm of
// mixed domains: what stands by holds the other model, and the survivors of a
// group wait for a load. With one model a domain, whatever lives in it can form
// the next group within half a second. A domain keeps its model while it has a
// group of it; an empty one gets the model that is furthest below its share.
//
// A choice stands from when it is made. Made anew with each domain that comes
// to be known, it changed while the VMs of the first ones were loading, and a
// pool of six domains ended with two of one model and four of the other.
func domainModels(v View) map[string]blackboard.GroupSpec {
	domains := make(map[string]map[string]bool)
	for _, vm := range v.Board.VMs {
		if vm.Pool == "" || vm.Leaving || !working(v, vm) {
			continue
		}
		if domains[vm.Pool] == nil {
			domains[vm.Pool] = make(map[string]bool)
		}
		domains[vm.Pool][vm.FabricDomain] = true
	}
	models := make(map[string]blackboard.GroupSpec)
	for _, pool := range sortedKeys(domains) {
		assignPool(v, pool, sortedKeys(domains[pool]), models)
	}
	return models
}

// assignPool gives the domains of one pool their models.
func assignPool(v View, pool string, domains []string, models map[string]blackboard.GroupSpec) {
	specs := poolSpecs(v, pool)
	if len(specs) == 0 {
		return
	}
	held := heldModels(v, pool)
	given := make(map[string]int)
	var open []string
	for _, domain := range domains {
		spec, ok := held[domain]
		if !ok {
			// What this leader chose before stands: the VMs are loading it.
			spec, ok = v.Board.Config.Groups[v.Memory.domains[domain].Name]
		}
		if !ok || spec.Pool != pool {
			open = append(open, domain)
			continue
		}
		models[domain] = spec
		given[spec.Name]++
	}
	for _, domain := range open {
		spec := furthestBelow(specs, given)
		models[domain] = spec
		given[spec.Name]++
	}
}

func poolSpecs(v View, pool string) []blackboard.GroupSpec {
	var specs []blackboard.GroupSpec
	for _, name := range sortedKeys(v.Board.Config.Groups) {
		if spec := v.Board.Config.Groups[name]; spec.Pool == pool && spec.Share > 0 {
			specs = append(specs, spec)
		}
	}
	return specs
}

// heldModels returns the model of each domain that has a group, or else one in
// the accelerators of its VMs: that of the most VMs.
func heldModels(v View, pool string) map[string]blackboard.GroupSpec {
	votes := make(map[string]map[string]int)
	vote := func(domain, model string, weight int) {
		if votes[domain] == nil {
			votes[domain] = make(map[string]int)
		}
		votes[domain][model] += weight
	}
	for _, vm := range v.Board.VMs {
		if vm.Pool != pool || !working(v, vm) {
			continue
		}
		if g, ok := v.Board.Groups[vm.Group]; ok && g.Epoch == vm.Epoch {
			vote(vm.FabricDomain, g.Model, 2)
		} else if model := v.Memory.loaded(vm); model != "" {
			vote(vm.FabricDomain, model, 2)
		} else if len(vm.Weights) > 0 {
			vote(vm.FabricDomain, vm.Weights[0], 1)
		}
	}
	held := make(map[string]blackboard.GroupSpec)
	for domain, counts := range votes {
		best := ""
		for _, model := range sortedKeys(counts) {
			spec, ok := v.Board.Config.Groups[model]
			if ok && spec.Pool == pool && (best == "" || counts[model] > counts[best]) {
				best = model
			}
		}
		if best != "" {
			held[domain] = v.Board.Config.Groups[best]
		}
	}
	return held
}

// furthestBelow returns the spec with the fewest domains against its share, as
// the Sainte-Laguë method divides seats. Domains are counted and not their VMs:
// at a start a domain's first VMs announce themselves before the others, and its
// model would be chosen by a part of it.
func furthestBelow(specs []blackboard.GroupSpec, given map[string]int) blackboard.GroupSpec {
	best := specs[0]
	for _, spec := range specs[1:] {
		if (float64(given[spec.Name])+0.5)/spec.Share < (float64(given[best.Name])+0.5)/best.Share {
			best = spec
		}
	}
	return best
}
