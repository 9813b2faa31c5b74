package packing

import (
	"math"
	"slices"
)

// donorMargin is how many times the groups for its own demand a model keeps when it gives up groups.
// Published figures give what a group carries, and not what it carries on time: with a tight
// objective that may be half.
const donorMargin = 2

// turningPart is the part of a model's groups that may be given up at the same time: their VMs serve
// nobody for some seconds.
const turningPart = 1.0 / 3

// Turn is the exchange of standing groups of one model in a domain for groups of another.
type Turn struct {
	Domain string
	// From is the model that gives up Groups, by ID; To is the model that gains Gain groups.
	From   string
	Groups []string
	To     string
	Gain   int
}

// TurnState is what the decision on turns knows beside the domains. Slices have one element for
// each model.
type TurnState struct {
	// Coming is how many groups of each model earlier turns will still form, and Leaving how many
	// groups of each model are given up at present.
	Coming, Leaving []int
	// Short is true for a model whose shortage has lasted long enough to turn groups for it.
	Short []bool
	// Busy holds the domains in which groups are to form or are being turned.
	Busy map[string]bool
	// MayTurn reports whether groups of one model may be turned into groups of another now.
	MayTurn func(from, to string) bool
}

// Turns returns the groups to turn now, each for a model whose demand exceeds its groups. A model
// gives up groups only beyond donorMargin times those that its own demand needs, and never the last.
//
// Load: one model's requests double for good or for ten seconds while the groups of another are
// half idle. Harm of a turn: for some seconds its VMs serve neither model, so only VMs that can
// serve the other model within seconds are turned: all members have its weights on their hosts or
// in their accelerators.
func Turns(models []Model, domains []Domain, s TurnState) []Turn {
	s.Coming, s.Leaving = slices.Clone(s.Coming), slices.Clone(s.Leaving)
	t := &turner{models: models, domains: domains, state: s, have: make([]int, len(models)), used: make(map[string]bool)}
	for i, m := range models {
		if m.Demand == nil {
			return nil
		}
		for _, d := range domains {
			t.have[i] += d.Groups[m.Name]
		}
	}
	var turns []Turn
	for {
		next, ok := t.next()
		if !ok {
			return turns
		}
		turns = append(turns, next)
	}
}

// turner is the state of one decision on turns.
type turner struct {
	models  []Model
	domains []Domain
	state   TurnState
	// have is the number of kept groups of each model, less those that this decision gives up.
	have []int
	// used holds the domains with a turn of this decision.
	used map[string]bool
}

// expected returns the groups that a model will have once all turns are complete.
func (t *turner) expected(i int) float64 { return float64(t.have[i] + t.state.Coming[i]) }

// next returns the best turn for the model that is served the smallest part of its demand.
func (t *turner) next() (Turn, bool) {
	for _, to := range t.shortModels() {
		best, found := candidateTurn{}, false
		for from := range t.models {
			if from == to || !t.state.MayTurn(t.models[from].Name, t.models[to].Name) {
				continue
			}
			for k := range t.domains {
				if c, ok := t.turnIn(k, from, to); ok && (!found || c.isBetter(best)) {
					best, found = c, true
				}
			}
		}
		if found {
			t.have[best.from] -= len(best.turn.Groups)
			t.state.Leaving[best.from] += len(best.turn.Groups)
			t.state.Coming[to] += best.turn.Gain
			t.used[best.turn.Domain] = true
			return best.turn, true
		}
	}
	return Turn{}, false
}

// shortModels returns the models that lack groups, those with the smallest part of their demand
// first.
func (t *turner) shortModels() []int {
	var short []int
	for i, m := range t.models {
		if t.state.Short[i] && m.Demand.Groups > t.expected(i) {
			short = append(short, i)
		}
	}
	slices.SortStableFunc(short, func(a, b int) int {
		x, y := t.expected(a)/t.models[a].Demand.Groups, t.expected(b)/t.models[b].Demand.Groups
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return short
}

// candidateTurn is a possible turn.
type candidateTurn struct {
	turn Turn
	from int
	// wasted is how many of the VMs remain without a group, siblings how many groups of the model
	// the domain keeps.
	wasted, siblings int
}

func (c candidateTurn) isBetter(o candidateTurn) bool {
	if c.wasted != o.wasted {
		return c.wasted < o.wasted
	}
	return c.siblings > o.siblings
}

// turnIn returns the turn in one domain that gives up the fewest groups of a model, if there is
// one.
func (t *turner) turnIn(k, from, to int) (candidateTurn, bool) {
	d := t.domains[k]
	if t.used[d.Name] || t.state.Busy[d.Name] {
		return candidateTurn{}, false
	}
	free, standing := turnableVMs(d, t.models[from], t.models[to].Name)
	size := t.models[to].Size
	missing := max(0, size-free)
	n := (missing + t.models[from].Size - 1) / t.models[from].Size
	if n == 0 || n > len(standing) || !t.mayGiveUp(from, n) {
		return candidateTurn{}, false
	}
	vms := free + n*t.models[from].Size
	gain := min(vms/size, int(math.Ceil(t.models[to].Demand.Groups-t.expected(to))))
	return candidateTurn{
		turn: Turn{Domain: d.Name, From: t.models[from].Name, Groups: standing[:n], To: t.models[to].Name, Gain: gain},
		from: from, wasted: n*t.models[from].Size - gain*size, siblings: d.Groups[t.models[from].Name] - n,
	}, true
}

// mayGiveUp reports whether a model may give up n more groups now.
func (t *turner) mayGiveUp(i, n int) bool {
	left := t.have[i] - n
	needed := max(t.models[i].Demand.Groups, donorMargin*t.models[i].Demand.RecentPeak)
	if left < 1 || float64(left) < needed {
		return false
	}
	already := t.state.Leaving[i]
	return already == 0 || float64(already+n) <= turningPart*float64(t.have[i]+already)
}

// turnableVMs returns how many ungrouped VMs of a domain can serve a model within seconds, and
// the serving groups of another model whose members all can.
func turnableVMs(d Domain, from Model, to string) (free int, standing []string) {
	ready := make(map[string]int)
	for _, vm := range d.VMs {
		isReady := !vm.Absent && (vm.Loaded == to || slices.Contains(vm.Staged, to))
		switch {
		case !vm.InGroup && isReady:
			free++
		case isReady && vm.Serves == from.Name:
			ready[vm.Group]++
		}
	}
	for group, members := range ready {
		if members == from.Size {
			standing = append(standing, group)
		}
	}
	slices.Sort(standing)
	return free, standing
}
