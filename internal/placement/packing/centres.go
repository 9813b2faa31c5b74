package packing

import "math"

// lossWeight is the weight of what is left without one data centre.
//
// Load: a data centre is evacuated, or loses power. Where its domains hold most groups of one
// model, that model is lost while another is served by twice what it needs.
const lossWeight = 0.1

// centre is a data centre and the groups of each model in it, as they count.
type centre struct {
	name string
	sums []float64
}

// centreOf returns the index of a data centre.
func (p *plan) centreOf(name string) int {
	for i, c := range p.centres {
		if c.name == name {
			return i
		}
	}
	p.centres = append(p.centres, centre{name: name, sums: make([]float64, len(p.models))})
	return len(p.centres) - 1
}

// worth is what the sums are worth together with one option of one more place.
func (p *plan) worth(pl place, chosen int) float64 {
	counts := pl.options[chosen].counts
	all := p.worthOf(func(i int) float64 { return p.sums[i] + counts[i] })
	if len(p.centres) < 2 {
		return all
	}
	left := 0.0
	for k, c := range p.centres {
		left += p.worthOf(func(i int) float64 {
			if k == pl.centre {
				return p.sums[i] - c.sums[i]
			}
			return p.sums[i] - c.sums[i] + counts[i]
		})
	}
	return (1-lossWeight)*all + lossWeight*left/float64(len(p.centres))
}

// worthOf is what some number of groups of each model is worth.
func (p *plan) worthOf(groups func(model int) float64) float64 {
	total, shares := 0.0, 0.0
	for i, m := range p.models {
		total += m.Share * math.Log(max(none, groups(i)))
		shares += m.Share
	}
	return total / max(shares, none)
}
