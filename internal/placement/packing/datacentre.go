package packing

import "math"

// lossWeight is the weight of the worth that remains without one data centre.
//
// A data centre may be evacuated or lose power. If its domains hold most groups of one model,
// that model is lost while another has twice the groups that it needs.
const lossWeight = 0.1

// dataCentre is a data centre and its effective number of groups by model.
type dataCentre struct {
	name string
	sums []float64
}

// dataCentreIndex returns the index of a data centre in plan.dataCentres; it adds the data
// centre if it is new.
func (p *plan) dataCentreIndex(name string) int {
	for i, c := range p.dataCentres {
		if c.name == name {
			return i
		}
	}
	p.dataCentres = append(p.dataCentres, dataCentre{name: name, sums: make([]float64, len(p.models))})
	return len(p.dataCentres) - 1
}

// worth returns the value of the objective for the sums with one option of a further domain
// added.
func (p *plan) worth(ds domainState, chosen int) float64 {
	effective := ds.options[chosen].effective
	sums := func(i int) float64 { return p.sums[i] + effective[i] }
	all := p.worthOf(sums) + p.unmetWorth(sums)
	if len(p.dataCentres) < 2 {
		return all
	}
	remaining := 0.0
	for k, c := range p.dataCentres {
		remaining += p.worthOf(func(i int) float64 {
			if k == ds.dataCentre {
				return p.sums[i] - c.sums[i]
			}
			return p.sums[i] - c.sums[i] + effective[i]
		})
	}
	return (1-lossWeight)*all + lossWeight*remaining/float64(len(p.dataCentres))
}

// worthOf returns the value of the objective for a number of groups of each model, without
// regard to data centres.
func (p *plan) worthOf(groups func(model int) float64) float64 {
	total, shares := 0.0, 0.0
	for i, m := range p.models {
		total += m.Share * math.Log(max(epsilon, groups(i)))
		shares += m.Share
	}
	return total / max(shares, epsilon)
}
