package packing

import "math"

// shortageWeight is the weight of unmet demand in the objective, beside the declared shares. At
// this weight a further group for a model that is short is worth more than one for a model whose
// demand is met, unless the shares differ by more.
const shortageWeight = 4

// unmetWorth returns the part of the objective for observed demand: 0 if each model has the groups
// that serve its demand, and less the more are missing. Models are weighed by the VMs that their
// demand needs. If the VMs suffice for no model, each therefore gets the same part of its demand.
//
// Load: the requests of one model double. By the declared shares alone, VMs that become free form
// groups of another model, whose groups are half idle.
func (p *plan) unmetWorth(groups func(model int) float64) float64 {
	total, weights := 0.0, 0.0
	for i, m := range p.models {
		if m.Demand == nil || m.Demand.Groups <= 0 {
			continue
		}
		weight := m.Demand.Groups * float64(m.Size)
		weights += weight
		if n := groups(i); n < m.Demand.Groups {
			total += weight * math.Log(max(epsilon, n)/m.Demand.Groups)
		}
	}
	return shortageWeight * total / max(weights, epsilon)
}
