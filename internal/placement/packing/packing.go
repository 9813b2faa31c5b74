// Package packing decides which serving groups each fabric domain of a pool forms,
// and what its other VMs hold in their accelerators.
//
// Load: a pool serves several models whose groups differ in size, and its domains
// are a little larger than a few groups. With one model for each domain, a domain of
// 11 VMs strands five of them beside one group of six, while callers of that model
// are late; with every domain alike, a domain of nine strands two where one model
// would have used them all. VMs fail every few seconds, the pool shrinks and grows,
// and weights take tens of seconds to load.
//
// In: each domain's VMs with what they hold, the groups that stand (they are never
// given up here), the models' sizes, shares and load times, and what the pool's history
// lets expect of its VMs. Out: how many groups
// of each model each domain should have, and the model that each VM in no group
// should hold. All of it is as old as the evidence that it is made from, some
// seconds at most. The package has no I/O, no clock and no memory: what was chosen
// before is passed in.
//
// What is best: the sum over the models of their share times the logarithm of their
// groups (proportional fairness). Its best is reached where VMs are divided by
// shares, a model without a group is out of the question, and the next group is
// worth most where there are fewest. Groups are counted as what is left of them on
// average while some VMs are away (expect.go), and less while they wait for VMs or have
// to load (outlook.go): a layout that can't be filled is worth what it serves until then,
// which is nothing. With some weight, what is left while one data centre is lost or evacuated
// counts as well (centres.go), so that no data centre holds most groups of a model.
package packing

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// least is what a domain's choice must gain, in parts of the worth served, to be
	// made anew: less than that is within what one VM more or less changes, and each
	// change costs loads.
	least = 0.03
	// none stands for no group in the logarithm.
	none = 0.01
	// maxOptions bounds the layouts that are weighed for one domain. Pools of two
	// models have 22 at 73 VMs a domain, with 32 and 8 to a group.
	maxOptions = 256
	// maxPasses bounds the passes over all domains.
	maxPasses = 6
)

// Model is one model of the pool.
type Model struct {
	Name string
	// Size is the VMs of one group.
	Size int
	// Share is the model's part of the pool's work; shares need not add up to 1.
	Share float64
	// Load is the time to load weights from the store, Warm from the VM's own host.
	Load, Warm time.Duration
}

// VM is a VM that may be used, or may be expected back.
type VM struct {
	ID string
	// Grouped says that it is in a group that stands.
	Grouped bool
	// Away says that it can't be given orders now, and Returns how often in a second
	// a VM that is away as long comes back.
	Away    bool
	Returns float64
	// Loaded is the model in its accelerators, Staged those on its host, and Loading the one
	// that it is loading.
	Loaded  string
	Staged  []string
	Loading string
}

// Domain is one fabric domain.
type Domain struct {
	Name string
	// DataCentre is that of its VMs, or of one of them.
	DataCentre string
	VMs        []VM
	// Groups counts the groups that stand, by model.
	Groups map[string]int
	// Before is what was chosen for it before; nil if nothing was.
	Before map[string]int
}

// Layout is what a domain should come to.
type Layout struct {
	// Groups is how many groups of each model it should have, those that stand
	// included.
	Groups map[string]int
	// Hold is the model that each VM in no group should hold.
	Hold map[string]string
}

// Plan returns the layout of each domain by name. starting says that nobody is
// served yet, when loads cost next to nothing.
func Plan(models []Model, domains []Domain, outlook Outlook, starting bool) map[string]Layout {
	p := newPlan(models, outlook, starting)
	for _, d := range domains {
		p.add(d)
	}
	p.improve()
	out := make(map[string]Layout, len(domains))
	for i, d := range domains {
		groups := p.places[i].groups()
		out[d.Name] = Layout{Groups: p.named(groups), Hold: assignModels(models, d, groups)}
	}
	return out
}

// plan is one run. Groups are counted in slices, one place for each model.
type plan struct {
	models   []Model
	outlook  Outlook
	starting bool
	places   []place
	// sums are the groups of each model over all domains, as they count, and centres those
	// of each data centre.
	sums    []float64
	centres []dataCentre
	// known are the means that were computed before.
	known map[expectationKey]float64
	// kinds are those of the places, by their options.
	kinds map[string]int
}

func newPlan(models []Model, outlook Outlook, starting bool) *plan {
	return &plan{
		models: models, outlook: outlook, starting: starting,
		sums: make([]float64, len(models)), known: make(map[expectationKey]float64), kinds: make(map[string]int),
	}
}

// place is one domain of a plan.
type place struct {
	options []option
	chosen  int
	// kind is the same for places with the same options in one data centre.
	kind int
	// centre is the index of its data centre.
	centre int
	// settled says that the choice was made before.
	settled bool
}

// option is one layout of a domain and what its groups count.
type option struct {
	groups []int
	counts []float64
}

func (p place) groups() []int { return p.options[p.chosen].groups }

func (p *plan) named(groups []int) map[string]int {
	out := make(map[string]int, len(groups))
	for i, n := range groups {
		if n > 0 {
			out[p.models[i].Name] = n
		}
	}
	return out
}

// add takes in one domain and chooses for it what was chosen before, as far as
// its VMs still make it, or else what is worth most next to the domains before it.
func (p *plan) add(d Domain) {
	pl := place{options: p.options(d), settled: d.Before != nil, centre: p.dataCentreIndex(d.DataCentre)}
	pl.kind = p.kindOf(pl)
	pl.chosen = p.best(pl, -1)
	if pl.settled {
		pl.chosen = p.nearest(pl.options, d.Before)
	}
	p.count(pl, pl.chosen, 1)
	p.places = append(p.places, pl)
}

// kindOf returns a number that is the same for equal options in one data centre.
func (p *plan) kindOf(pl place) int {
	key := fmt.Sprint(pl.centre, pl.options)
	kind, known := p.kinds[key]
	if !known {
		kind = len(p.kinds)
		p.kinds[key] = kind
	}
	return kind
}

// count adds one of a place's options to the sums, or takes it off.
func (p *plan) count(pl place, chosen int, sign float64) {
	in := p.centres[pl.centre].sums
	for i, c := range pl.options[chosen].counts {
		p.sums[i] += sign * c
		in[i] += sign * c
	}
}

// best returns the option that is worth most; keep is chosen unless another gains
// enough, -1 for none.
func (p *plan) best(pl place, keep int) int {
	best, worth := 0, math.Inf(-1)
	if keep >= 0 {
		best, worth = keep, p.worth(pl, keep)+least
		if !pl.settled {
			worth -= least
		}
	}
	for i := range pl.options {
		if w := p.worth(pl, i); i != keep && w > worth+1e-9 {
			best, worth = i, w
		}
	}
	return best
}

// nearest returns the option that differs least from what was chosen before.
func (p *plan) nearest(options []option, before map[string]int) int {
	best, smallest := 0, math.MaxInt
	for i, o := range options {
		distance := 0
		for k, n := range o.groups {
			change := n - before[p.models[k].Name]
			distance += max(change, -change) * p.models[k].Size
		}
		if distance < smallest {
			best, smallest = i, distance
		}
	}
	return best
}

// improve changes one domain after the other, and then two at once, until nothing
// gains.
func (p *plan) improve() {
	for range maxPasses {
		changed := false
		for i := range p.places {
			changed = p.improveOne(i) || changed
		}
		if !changed && !p.improveTwo() {
			return
		}
	}
}

func (p *plan) improveOne(i int) bool {
	pl := &p.places[i]
	p.count(*pl, pl.chosen, -1)
	next := p.best(*pl, pl.chosen)
	changed := next != pl.chosen
	pl.chosen = next
	p.count(*pl, pl.chosen, 1)
	return changed
}

// pair is two places by what an exchange between them depends on.
type pair struct{ kindA, chosenA, kindB, chosenB int }

// improveTwo changes two domains whose choice is new at once: one takes over what
// the other gives up. Domains with a choice of before change alone.
//
// Load: a pool of 273 domains starts. Most are alike; with each pair of them weighed, a
// plan took over a second, in which the first groups could have formed.
func (p *plan) improveTwo() bool {
	weighed := make(map[pair]bool)
	for i := range p.places {
		for j := i + 1; j < len(p.places); j++ {
			a, b := &p.places[i], &p.places[j]
			key := pair{a.kind, a.chosen, b.kind, b.chosen}
			if a.settled || b.settled || weighed[key] {
				continue
			}
			weighed[key] = true
			if p.exchange(a, b) {
				return true
			}
		}
	}
	return false
}

func (p *plan) exchange(a, b *place) bool {
	p.count(*a, a.chosen, -1)
	p.count(*b, b.chosen, -1)
	wasA, wasB := a.chosen, b.chosen
	best := math.Inf(-1)
	for i := range a.options {
		p.count(*a, i, 1)
		for j := range b.options {
			w := p.worth(*b, j)
			if i == wasA && j == wasB {
				w += 1e-9
			}
			if w > best {
				best, a.chosen, b.chosen = w, i, j
			}
		}
		p.count(*a, i, -1)
	}
	p.count(*a, a.chosen, 1)
	p.count(*b, b.chosen, 1)
	return a.chosen != wasA || b.chosen != wasB
}

// options returns the layouts of a domain: all that its VMs make beside the groups
// that stand. Those that leave room for a further group are among them, as what
// stands by may be worth more.
func (p *plan) options(d Domain) []option {
	room := len(d.VMs)
	base := make([]int, len(p.models))
	for i, m := range p.models {
		base[i] = d.Groups[m.Name]
		room -= base[i] * m.Size
	}
	var out []option
	p.fill(d, base, 0, room, &out)
	return out
}

// fill adds groups of the models from k on to a layout, the most first.
func (p *plan) fill(d Domain, groups []int, k, room int, out *[]option) {
	if len(*out) >= maxOptions {
		return
	}
	if k == len(p.models) {
		*out = append(*out, option{groups: slices.Clone(groups), counts: p.counts(d, groups, room)})
		return
	}
	size := p.models[k].Size
	was := groups[k]
	for n := max(0, room/size); n >= 0; n-- {
		groups[k] = was + n
		p.fill(d, groups, k+1, room-n*size, out)
	}
	groups[k] = was
}

// counts returns what a domain's groups count: what is left of them on average,
// less the time in which those that are still to form wait for VMs and weights.
func (p *plan) counts(d Domain, groups []int, room int) []float64 {
	counts := make([]float64, len(groups))
	over := divideSpares(p.models, groups, room)
	short := missingVMs(p.models, d, groups)
	for i, m := range p.models {
		if groups[i] == 0 {
			continue
		}
		n := p.expectedGroups(groups[i], m.Size, over[i])
		if !p.starting {
			further := groups[i] - d.Groups[m.Name]
			n *= 1 - p.waiting(d, m, further, short)/float64(groups[i])
			short = max(0, short-further*m.Size)
		}
		counts[i] = n
	}
	return counts
}

// waiting returns how many of n further groups of a model are lost to waiting, where
// the layout is short of some VMs: those for the last of the groups.
func (p *plan) waiting(d Domain, m Model, n, short int) float64 {
	has := holding(d, m)
	lost := 0.0
	for k := 1; k <= n; k++ {
		lacks := min(m.Size, short-(n-k)*m.Size)
		first := p.outlook.vmWait(d, lacks) + has.until(m, k*m.Size)
		lost += 1 - p.outlook.servedFraction(m.Size, first)
	}
	return lost
}

// holders counts the VMs in no group by how near they are to having a model loaded.
type holders struct{ loaded, staged, loading int }

func holding(d Domain, m Model) holders {
	var h holders
	for _, vm := range d.VMs {
		switch {
		case vm.Grouped:
		case vm.Loaded == m.Name:
			h.loaded++
		case slices.Contains(vm.Staged, m.Name):
			h.staged++
		case vm.Loading == m.Name:
			h.loading++
		}
	}
	return h
}

// until returns how long it takes until n VMs have a model loaded. Of a load that is
// under way, half is reckoned to be done: a layout that is given up for another and taken
// again a moment later would never be loaded.
func (h holders) until(m Model, n int) time.Duration {
	switch {
	case n <= h.loaded:
		return 0
	case n <= h.loaded+h.staged:
		return m.Warm
	case n <= h.loaded+h.staged+h.loading:
		return m.Load / 2
	}
	return m.Load
}
