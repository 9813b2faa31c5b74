package packing

import "math"

// expectationKey identifies one result of expectedGroups.
type expectationKey struct{ groups, size, spares int }

// expectedGroups returns how many of a domain's groups of one model are available on average,
// with spares further VMs that hold the model too.
func (p *plan) expectedGroups(groups, size, spares int) float64 {
	key := expectationKey{groups, size, spares}
	if mean, known := p.expectations[key]; known {
		return mean
	}
	holders := groups*size + spares
	away := p.forecast.AbsentFraction
	mean := 0.0
	// probability is the probability that exactly lost of the holders are absent.
	probability := math.Pow(1-away, float64(holders))
	for lost := 0; lost <= holders; lost++ {
		mean += probability * float64(min(groups, (holders-lost)/size))
		probability *= float64(holders-lost) / float64(lost+1) * away / (1 - away)
	}
	p.expectations[key] = mean
	return mean
}

// divideSpares divides the spare VMs among the models that have groups. Each VM in turn goes to
// the model with the most grouped VMs for each standby VM.
func divideSpares(models []Model, groups []int, spares int) []int {
	n := make([]int, len(models))
	for range spares {
		best, maxRatio := -1, 0.0
		for i, m := range models {
			if ratio := float64(groups[i]*m.Size) / float64(n[i]+1); ratio > maxRatio {
				best, maxRatio = i, ratio
			}
		}
		if best < 0 {
			return n
		}
		n[best]++
	}
	return n
}
