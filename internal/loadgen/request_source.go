package loadgen

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// request is one randomly generated request. It does not depend on the answers of the system.
type request struct {
	number int
	flow   int
	// target is set anew for each attempt.
	target    string
	marker    string
	prompt    string
	maxTokens int
	// wait is the time after the previous request was due; open loop only.
	wait time.Duration
}

// requestSource generates the requests of a plan in order, from the plan's seed.
type requestSource struct {
	plan    *Plan
	random  *rand.Rand
	weights int
	next    int
}

func newRequestSource(p *Plan) *requestSource {
	d := &requestSource{plan: p, random: rand.New(rand.NewPCG(p.Seed, 0))}
	for _, f := range p.Flows {
		d.weights += f.Weight
	}
	return d
}

// draw returns the next request, or false when the plan's count is reached.
func (d *requestSource) draw() (request, bool) {
	if d.next >= d.plan.Count {
		return request{}, false
	}
	r := request{
		number: d.next,
		flow:   d.pickFlow(),
		marker: fmt.Sprintf("load-%s-%x-%d", d.plan.RunID, d.plan.Seed, d.next),
	}
	f := d.plan.Flows[r.flow]
	r.prompt = d.prompt(f, r.marker)
	r.maxTokens = d.drawAround(f.MaxTokens)
	if d.plan.Rate > 0 {
		r.wait = time.Duration(d.random.ExpFloat64() / d.plan.Rate * float64(time.Second))
	}
	d.next++
	return r, true
}

// pickFlow returns the index of a flow, chosen at random by weight.
func (d *requestSource) pickFlow() int {
	n := d.random.IntN(d.weights)
	for i, f := range d.plan.Flows {
		if n < f.Weight {
			return i
		}
		n -= f.Weight
	}
	return 0
}

// drawAround returns a uniformly distributed value between 0.5 and 1.5 times mean.
func (d *requestSource) drawAround(mean int) int {
	return max(1, mean/2+d.random.IntN(mean+1))
}

// prompt returns a text that starts with one of the flow's beginnings and ends with the marker
// of the request.
func (d *requestSource) prompt(f Flow, marker string) string {
	beginning := fmt.Sprintf("%s document %d. ", f.Name, d.random.IntN(f.Prefixes))
	size := d.drawAround(f.PromptBytes)
	filler := max(0, size-len(beginning)-len(marker)-1)
	return beginning + strings.Repeat("x", filler) + " " + marker
}
