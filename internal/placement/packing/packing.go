// Package packing decides how many serving groups of each model a fabric domain forms, and
// which model its other VMs hold in their accelerators.
//
// Situation: a pool serves several models whose groups differ in size, and a domain is a little
// larger than a few groups. With one model for each domain, a domain of 11 VMs strands five of
// them beside one group of six, while requests of that model miss their objective. With the
// same layout in every domain, a domain of nine strands two VMs where one model would have used
// them all. VMs fail every few seconds, the pool shrinks and grows, and weights take tens of
// seconds to load.
//
// Input: the VMs of each domain with the models that they hold; the existing groups, which the
// package never dissolves, except by a Turn; the sizes, shares and load times of the models; their
// observed demand, if it is known; and a forecast of VM failures and returns from the pool's
// history. Output: how many groups of each model each domain should have, and the model that each
// ungrouped VM should hold. The output is as old as the observations that it is made from, some
// seconds at most. The package has no I/O, clock or state: the caller passes in the previous
// choice.
//
// Objective: the sum over the models of their share times the logarithm of their number of
// groups (proportional fairness). The optimum divides VMs by shares, gives each model at least
// one group, and values a further group most where there are fewest. Where the demand for a model
// is known, groups that it needs come before those that the shares give (demand.go). A group
// counts with its expected availability while some VMs are absent (expectation.go), and for less
// while it waits for VMs or loads weights (forecast.go). A layout that can't be filled is worth
// what it serves until then, which is nothing. The objective includes, with a small weight, the
// groups that remain when one data centre is lost or evacuated (datacentre.go), so that no data
// centre holds most groups of a model.
package packing

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// minGain is the smallest gain in worth for which a previous choice is changed. A smaller
	// gain is within the effect of one VM more or less, and each change costs loads.
	minGain = 0.03
	// epsilon replaces zero in logarithms and divisors.
	epsilon = 0.01
	// maxOptions bounds the layouts considered for one domain. A pool of two models with groups
	// of 32 and 8 VMs has 22 layouts in a domain of 73 VMs.
	maxOptions = 256
	// maxPasses bounds the passes over all domains.
	maxPasses = 6
)

// Model is one model of the pool.
type Model struct {
	Name string
	// Size is the number of VMs in one group.
	Size int
	// Share is the model's share of the pool's work; shares need not add up to 1.
	Share float64
	// StoreLoad is the time to load weights from the store; StagedLoad is the time to load them from
	// the VM's own host.
	StoreLoad, StagedLoad time.Duration
	// Demand is the observed demand for the model; nil if none is known.
	Demand *Demand
}

// Demand is the observed demand for one model, in groups.
type Demand struct {
	// Groups is how many groups of the model serve the requests that arrive, all of them on
	// time. It may be a fraction.
	Groups float64
	// RecentPeak is a decaying maximum of Groups, in groups. A model keeps enough groups for it.
	RecentPeak float64
	// Age is how long ago the newest observation was made.
	Age time.Duration
}

// VM is a VM that is available, or that may return.
type VM struct {
	ID string
	// InGroup is true if the VM belongs to an existing group.
	InGroup bool
	// Group is the id of the serving group that the VM belongs to and Serves the group's model;
	// both are empty if there is none.
	Group, Serves string
	// Absent is true if the VM can't receive orders now. ReturnsPerSecond is the rate, in returns a
	// second, of VMs that have been absent for the same time.
	Absent           bool
	ReturnsPerSecond float64
	// Loaded is the model in the VM's accelerators, Staged lists the models on its host, and
	// Loading is the model that it is loading.
	Loaded  string
	Staged  []string
	Loading string
}

// Domain is one fabric domain.
type Domain struct {
	Name string
	// DataCentre is the data centre of the domain's VMs. If they lie in several, it is one of
	// them.
	DataCentre string
	VMs        []VM
	// Groups is the number of existing groups by model.
	Groups map[string]int
	// PreviousGroups is the previously chosen number of groups by model; nil if there is no previous
	// choice.
	PreviousGroups map[string]int
}

// Layout is the desired state of a domain.
type Layout struct {
	// Groups is the desired number of groups by model, existing groups included.
	Groups map[string]int
	// ModelByVM is the model that each ungrouped VM should hold, by VM id.
	ModelByVM map[string]string
	// StageByVM is the further model whose weights the host of a VM should hold, by VM id,
	// grouped VMs included. A VM without an entry keeps what its host holds.
	StageByVM map[string]string
}

// Plan returns the layout of each domain, by name. starting is true while the pool serves
// nobody yet, when loads cost next to nothing.
func Plan(models []Model, domains []Domain, forecast Forecast, starting bool) map[string]Layout {
	p := newPlan(models, forecast, starting)
	for _, d := range domains {
		p.addDomain(d)
	}
	p.improve()
	out := make(map[string]Layout, len(domains))
	for i, d := range domains {
		groups := p.domains[i].groups()
		out[d.Name] = Layout{Groups: p.groupsByModel(groups), ModelByVM: assignModels(models, d, groups)}
	}
	return out
}

// plan is the state of one run. Slices of group counts have one element for each model.
type plan struct {
	models   []Model
	forecast Forecast
	starting bool
	domains  []domainState
	// sums are the effective groups of each model over all domains; dataCentres has the same
	// sums for each data centre.
	sums        []float64
	dataCentres []dataCentre
	// expectations caches the results of expectedGroups.
	expectations map[expectationKey]float64
	// kindIDs numbers the kinds of domains, keyed by data centre and options.
	kindIDs map[string]int
}

func newPlan(models []Model, forecast Forecast, starting bool) *plan {
	return &plan{
		models: models, forecast: forecast, starting: starting,
		sums: make([]float64, len(models)), expectations: make(map[expectationKey]float64), kindIDs: make(map[string]int),
	}
}

// domainState is the state of one domain in a plan.
type domainState struct {
	options []option
	chosen  int
	// kind is equal for domains with the same options in the same data centre.
	kind int
	// dataCentre is an index into plan.dataCentres.
	dataCentre int
	// hasPrevious is true if the domain has a previous choice.
	hasPrevious bool
	// mustLoad is true if the previous choice includes a group that can't form without loads from
	// the store; see plan.mustLoad.
	mustLoad bool
}

// mustLoad reports whether the groups that a domain still has to form lack weights on most VMs of
// a group. One VM that lacks them may be back with its weights soon.
func (p *plan) mustLoad(d Domain, groups []int) bool {
	for i, m := range p.models {
		r := readinessFor(d, m)
		lacking := (groups[i]-d.Groups[m.Name])*m.Size - r.loaded - r.staged
		if 2*lacking > m.Size {
			return true
		}
	}
	return false
}

// option is one layout of a domain. effective is the effective number of groups by model; see
// effectiveGroups.
type option struct {
	groups    []int
	effective []float64
}

func (ds domainState) groups() []int { return ds.options[ds.chosen].groups }

func (p *plan) groupsByModel(groups []int) map[string]int {
	out := make(map[string]int, len(groups))
	for i, n := range groups {
		if n > 0 {
			out[p.models[i].Name] = n
		}
	}
	return out
}

// addDomain adds a domain to the plan. It keeps the previous choice as far as the domain's VMs
// still allow it. Without a previous choice it takes the option of greatest worth beside the
// domains added before.
func (p *plan) addDomain(d Domain) {
	ds := domainState{options: p.options(d), hasPrevious: d.PreviousGroups != nil, dataCentre: p.dataCentreIndex(d.DataCentre)}
	ds.kind = p.kindOf(ds)
	ds.chosen = p.bestOption(ds, -1)
	if ds.hasPrevious {
		ds.chosen = p.nearestOption(ds.options, d.PreviousGroups)
		ds.mustLoad = p.mustLoad(d, ds.groups())
	}
	p.apply(ds, ds.chosen, 1)
	p.domains = append(p.domains, ds)
}

// kindOf returns a number that is equal for equal options in one data centre.
func (p *plan) kindOf(ds domainState) int {
	key := fmt.Sprint(ds.dataCentre, ds.options)
	kind, known := p.kindIDs[key]
	if !known {
		kind = len(p.kindIDs)
		p.kindIDs[key] = kind
	}
	return kind
}

// apply adds the effective groups of one option to the sums, or subtracts them if sign is -1.
func (p *plan) apply(ds domainState, chosen int, sign float64) {
	sums := p.dataCentres[ds.dataCentre].sums
	for i, c := range ds.options[chosen].effective {
		p.sums[i] += sign * c
		sums[i] += sign * c
	}
}

// bestOption returns the index of the option of greatest worth. It returns keep unless another
// option gains enough; a keep of -1 means none. Any gain is enough if the previous choice needs
// loads from the store.
//
// Failure: all VMs of a domain restart, and the hosts of some hold another model than that of the
// previous choice. These VMs would serve nothing while they load the model of before.
func (p *plan) bestOption(ds domainState, keep int) int {
	best, worth := 0, math.Inf(-1)
	if keep >= 0 {
		best, worth = keep, p.worth(ds, keep)+minGain
		if !ds.hasPrevious || ds.mustLoad {
			worth -= minGain
		}
	}
	for i := range ds.options {
		if w := p.worth(ds, i); i != keep && w > worth+1e-9 {
			best, worth = i, w
		}
	}
	return best
}

// nearestOption returns the index of the option that differs least from the previous choice,
// measured in VMs.
func (p *plan) nearestOption(options []option, before map[string]int) int {
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

// improve changes one domain at a time, then two domains together, until no change gains.
func (p *plan) improve() {
	for range maxPasses {
		changed := false
		for i := range p.domains {
			changed = p.improveOne(i) || changed
		}
		if !changed && !p.improvePair() {
			return
		}
	}
}

func (p *plan) improveOne(i int) bool {
	ds := &p.domains[i]
	p.apply(*ds, ds.chosen, -1)
	next := p.bestOption(*ds, ds.chosen)
	changed := next != ds.chosen
	ds.chosen = next
	p.apply(*ds, ds.chosen, 1)
	return changed
}

// pairKey identifies two domains by the properties that an exchange between them depends on.
type pairKey struct{ kindA, chosenA, kindB, chosenB int }

// improvePair changes two domains without a previous choice together: one takes over the groups
// that the other gives up. Domains with a previous choice change one at a time.
//
// Each distinct pair is evaluated once. In a starting pool of 273 domains most are alike: with
// every pair evaluated, a plan took over a second, in which the first groups could have formed.
func (p *plan) improvePair() bool {
	evaluated := make(map[pairKey]bool)
	for i := range p.domains {
		for j := i + 1; j < len(p.domains); j++ {
			a, b := &p.domains[i], &p.domains[j]
			key := pairKey{a.kind, a.chosen, b.kind, b.chosen}
			if a.hasPrevious || b.hasPrevious || evaluated[key] {
				continue
			}
			evaluated[key] = true
			if p.exchange(a, b) {
				return true
			}
		}
	}
	return false
}

func (p *plan) exchange(a, b *domainState) bool {
	p.apply(*a, a.chosen, -1)
	p.apply(*b, b.chosen, -1)
	wasA, wasB := a.chosen, b.chosen
	best := math.Inf(-1)
	for i := range a.options {
		p.apply(*a, i, 1)
		for j := range b.options {
			w := p.worth(*b, j)
			if i == wasA && j == wasB {
				w += 1e-9
			}
			if w > best {
				best, a.chosen, b.chosen = w, i, j
			}
		}
		p.apply(*a, i, -1)
	}
	p.apply(*a, a.chosen, 1)
	p.apply(*b, b.chosen, 1)
	return a.chosen != wasA || b.chosen != wasB
}

// options returns the layouts of a domain: every number of groups that its VMs can form beside
// the existing groups. Layouts with free VMs for a further group are included, because spare
// VMs may be worth more than the group.
func (p *plan) options(d Domain) []option {
	freeVMs := len(d.VMs)
	base := make([]int, len(p.models))
	for i, m := range p.models {
		base[i] = d.Groups[m.Name]
		freeVMs -= base[i] * m.Size
	}
	var out []option
	p.fillOptions(d, base, 0, freeVMs, &out)
	return out
}

// fillOptions adds groups of the models from index k on to a layout, the largest number first.
func (p *plan) fillOptions(d Domain, groups []int, k, freeVMs int, out *[]option) {
	if len(*out) >= maxOptions {
		return
	}
	if k == len(p.models) {
		*out = append(*out, option{groups: slices.Clone(groups), effective: p.effectiveGroups(d, groups, freeVMs)})
		return
	}
	size := p.models[k].Size
	previous := groups[k]
	for n := max(0, freeVMs/size); n >= 0; n-- {
		groups[k] = previous + n
		p.fillOptions(d, groups, k+1, freeVMs-n*size, out)
	}
	groups[k] = previous
}

// effectiveGroups returns the effective number of groups by model: the groups expected to be
// available on average, less the time that groups still to form wait for VMs and weights.
func (p *plan) effectiveGroups(d Domain, groups []int, freeVMs int) []float64 {
	effective := make([]float64, len(groups))
	spares := divideSpares(p.models, groups, freeVMs)
	short := missingVMs(p.models, d, groups)
	for i, m := range p.models {
		if groups[i] == 0 {
			continue
		}
		n := p.expectedGroups(groups[i], m.Size, spares[i])
		if !p.starting {
			further := groups[i] - d.Groups[m.Name]
			n *= 1 - p.lostToWaiting(d, m, further, short)/float64(groups[i])
			short = max(0, short-further*m.Size)
		}
		effective[i] = n
	}
	return effective
}

// lostToWaiting returns how many of n further groups of a model are lost to waiting. short is
// the number of VMs that the layout lacks; the last groups lack them.
func (p *plan) lostToWaiting(d Domain, m Model, n, short int) float64 {
	ready := readinessFor(d, m)
	lost := 0.0
	for k := 1; k <= n; k++ {
		missing := min(m.Size, short-(n-k)*m.Size)
		initialWait := p.forecast.vmWait(d, missing) + ready.timeToLoad(m, k*m.Size)
		lost += 1 - p.forecast.servedFraction(m.Size, initialWait)
	}
	return lost
}

// readiness counts the ungrouped VMs by how close they are to having a model loaded.
type readiness struct{ loaded, staged, loading int }

func readinessFor(d Domain, m Model) readiness {
	var r readiness
	for _, vm := range d.VMs {
		switch {
		case vm.InGroup:
		case vm.Loaded == m.Name:
			r.loaded++
		case slices.Contains(vm.Staged, m.Name):
			r.staged++
		case vm.Loading == m.Name:
			r.loading++
		}
	}
	return r
}

// timeToLoad returns the time until n VMs have a model loaded. A load in progress counts as
// half done. Otherwise a layout that is dropped for another and chosen again a moment later
// would never be loaded.
func (r readiness) timeToLoad(m Model, n int) time.Duration {
	switch {
	case n <= r.loaded:
		return 0
	case n <= r.loaded+r.staged:
		return m.StagedLoad
	case n <= r.loaded+r.staged+r.loading:
		return m.StoreLoad / 2
	}
	return m.StoreLoad
}
