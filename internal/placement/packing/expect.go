package packing

import "math"

// expectation names one mean.
type expectation struct{ groups, size, over int }

// left returns how many of a domain's groups of one model are left on average, with
// over VMs beside them that hold the model too.
func (p *plan) left(groups, size, over int) float64 {
	key := expectation{groups, size, over}
	if mean, known := p.known[key]; known {
		return mean
	}
	holders := groups*size + over
	away := p.outlook.Away
	mean := 0.0
	// probability is that of exactly lost of the holders being away.
	probability := math.Pow(1-away, float64(holders))
	for lost := 0; lost <= holders; lost++ {
		mean += probability * float64(min(groups, (holders-lost)/size))
		probability *= float64(holders-lost) / float64(lost+1) * away / (1 - away)
	}
	p.known[key] = mean
	return mean
}

// spread divides the VMs that are over among the models that have groups, each in
// turn for the one with most VMs in groups for each that stands by already.
func spread(models []Model, groups []int, over int) []int {
	n := make([]int, len(models))
	for range over {
		best, most := -1, 0.0
		for i, m := range models {
			if each := float64(groups[i]*m.Size) / float64(n[i]+1); each > most {
				best, most = i, each
			}
		}
		if best < 0 {
			return n
		}
		n[best]++
	}
	return n
}
