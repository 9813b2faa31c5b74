package controller

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// survivorWait is how long a spec that lost a group waits for the survivors to
// confirm their release. That takes about two announcements, and survivors
// hold the weights; loading from the store takes far longer than this.
const survivorWait = 5 * time.Second

// forming makes groups out of free VMs until each spec has what it wants, in
// order of worth. A spec that stays short keeps specs worth less out of the
// domain in which it waits, or takes over one of their groups.
func forming(v View, now time.Time, a *Actions) {
	u := newUse(v)
	for _, spec := range specsByWorth(v) {
		short := missing(v, spec.Name)
		if short > 0 {
			short -= formSome(v, now, a, spec, u, short)
		}
		if short <= 0 {
			delete(v.Memory.shortSince, spec.Name)
			continue
		}
		if short <= replacing(v, spec.Name) || spec.Pool != "" {
			continue
		}
		if domain := holdBack(v, now, spec, u); domain != "" {
			u.held[domain] = true
			delete(v.Memory.shortSince, spec.Name)
			continue
		}
		takeOver(v, now, a, spec, u)
	}
}

// use is what one run of forming has given away already.
type use struct {
	vms map[string]bool
	ids map[string]bool
	// held are domains that a spec worth more waits in.
	held map[string]bool
	// formed counts the groups of this run.
	formed map[domainModel]int
	// usable holds the usable VMs of each spec, by domain, as the run found them.
	usable map[string]map[string][]blackboard.VM
	// standing and present count the groups on the board that are to stay, and those that
	// have not ceased, by domain and spec.
	standing, present map[domainModel]int
}

func newUse(v View) *use {
	u := &use{
		vms: make(map[string]bool), ids: make(map[string]bool), held: make(map[string]bool),
		formed: make(map[domainModel]int), usable: make(map[string]map[string][]blackboard.VM),
		standing: make(map[domainModel]int), present: make(map[domainModel]int),
	}
	for _, g := range v.Board.Groups {
		at := domainModel{g.FabricDomain, g.Spec}
		if stands(v, g) {
			u.standing[at]++
		}
		if g.State != blackboard.Released && g.State != blackboard.Broken {
			u.present[at]++
		}
	}
	return u
}

// usableVMs returns the VMs that a spec could use when the run began, by domain.
func (u *use) usableVMs(v View, now time.Time, spec blackboard.GroupSpec) map[string][]blackboard.VM {
	if domains, known := u.usable[spec.Name]; known {
		return domains
	}
	domains := make(map[string][]blackboard.VM)
	for _, id := range v.vmIDs() {
		if vm := v.Board.VMs[id]; usable(v, now, vm, spec) && !v.Board.Evacuated(vm.DataCentre) {
			domains[vm.FabricDomain] = append(domains[vm.FabricDomain], vm)
		}
	}
	u.usable[spec.Name] = domains
	return domains
}

// left returns those of the VMs that this run has not given away.
func (u *use) left(vms []blackboard.VM) []blackboard.VM {
	var left []blackboard.VM
	for _, vm := range vms {
		if !u.vms[vm.ID] {
			left = append(left, vm)
		}
	}
	return left
}

func specsByWorth(v View) []blackboard.GroupSpec {
	c := &v.Board.Config
	var specs []blackboard.GroupSpec
	for _, name := range sortedKeys(c.Groups) {
		specs = append(specs, c.Groups[name])
	}
	sort.SliceStable(specs, func(i, j int) bool {
		return c.GroupWorth(specs[i].Name) > c.GroupWorth(specs[j].Name)
	})
	return specs
}

// missing returns how many more groups of a spec should be formed.
func missing(v View, spec string) int {
	have := 0
	for _, g := range v.Board.Groups {
		if g.Spec == spec && stands(v, g) {
			have++
		}
	}
	return wanted(v, spec) - have
}

// usable tells whether a VM may join a new group now: it suits the spec, holds
// no group, and its engine says so too.
func usable(v View, now time.Time, vm blackboard.VM, spec blackboard.GroupSpec) bool {
	if !vm.Free() || !suits(v, now, vm, spec) {
		return false
	}
	r, _ := v.Evidence.Get(vm.ID)
	if spec.Pool != "" {
		return r.Phase != backend.PhaseOpen && r.Phase != backend.PhaseClosing
	}
	return r.Phase == backend.PhaseIdle && r.Group == ""
}

// candidate is one way to form a group: the best members of one domain.
type candidate struct {
	domain  string
	members []blackboard.VM
	// fetches is how many members have to fetch weights from the store.
	fetches int
	// cold is how many members have to bring the weights from their host into
	// their accelerators.
	cold int
	// siblings is how many groups of the spec the domain has already.
	siblings int
	// left is how many usable VMs of the domain stay over.
	left int
}

// formSome forms up to n groups of a spec and returns how many.
//
// A group changes what its own domain has to offer and no other, so only that domain is
// looked at again: a large pool that starts has hundreds of groups due in one run.
func formSome(v View, now time.Time, a *Actions, spec blackboard.GroupSpec, u *use, n int) (formed int) {
	found := candidates(v, now, spec, u)
	for formed < n && len(found) > 0 {
		best := found[0]
		if waitForSurvivors(v, now, spec, best) {
			return formed
		}
		form(v, now, a, spec, u, found)
		formed++
		found = found[1:]
		if next, ok := candidateIn(v, now, spec, u, best.domain); ok {
			at := sort.Search(len(found), func(i int) bool { return next.better(found[i]) })
			found = slices.Insert(found, at, next)
		}
	}
	return formed
}

// form forms the first of the candidates.
func form(v View, now time.Time, a *Actions, spec blackboard.GroupSpec, u *use, found []candidate) {
	best := found[0]
	v.warmestFirst(now, best.members)
	u.formed[domainModel{best.domain, spec.Name}]++
	id := nextID(v, spec.Name, u)
	members := make([]blackboard.GroupMember, len(best.members))
	for i, vm := range best.members {
		u.vms[vm.ID] = true
		members[i] = blackboard.GroupMember{VM: vm.ID, Incarnation: vm.Incarnation, Address: vm.Address}
	}
	a.command(&blackboard.FormGroup{NowMillis: now.UnixMilli(), Group: blackboard.Group{
		ID: id, Spec: spec.Name, Model: spec.Model, FabricDomain: best.domain,
		DataCentre: best.members[0].DataCentre, OtherDataCentres: otherDataCentres(best.members), Members: members,
		Worth: v.Board.Config.GroupWorth(spec.Name), Reason: "wanted by its spec", Opens: spec.Pool != "",
	}})
	d := Decision{Kind: "form", Subject: id, Choice: best.domain, Reason: best.reason()}
	if len(found) > 1 {
		d.RunnerUp = found[1].domain
	}
	a.decide(d)
}

// warmestFirst makes a member the head that is not cold, if there is one: the head takes the
// group's requests, and one that is cold bears fewer.
func (v View) warmestFirst(now time.Time, members []blackboard.VM) {
	slices.SortStableFunc(members, func(a, b blackboard.VM) int {
		return v.coldUntil(now, a.ID).Compare(v.coldUntil(now, b.ID))
	})
}

// otherDataCentres returns the data centres of members that are not that of the head.
func otherDataCentres(members []blackboard.VM) []string {
	var others []string
	for _, vm := range members[1:] {
		if vm.DataCentre != members[0].DataCentre && !slices.Contains(others, vm.DataCentre) {
			others = append(others, vm.DataCentre)
		}
	}
	return others
}

func (c candidate) reason() string {
	return "fetches " + strconv.Itoa(c.fetches) + ", cold " + strconv.Itoa(c.cold) + ", siblings " + strconv.Itoa(c.siblings) + ", left " + strconv.Itoa(c.left)
}

// candidates returns one candidate for each domain with room, best first:
// fewest weights to fetch, as the store is the slowest part; then fewest groups
// of the same spec, so that one dark domain leaves the others; then the
// tightest fit, so that wide domains stay whole for wide groups.
func candidates(v View, now time.Time, spec blackboard.GroupSpec, u *use) []candidate {
	var found []candidate
	for _, domain := range sortedKeys(u.usableVMs(v, now, spec)) {
		if c, ok := candidateIn(v, now, spec, u, domain); ok {
			found = append(found, c)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].better(found[j]) })
	return found
}

// candidateIn returns the candidate of one domain, if it has room.
func candidateIn(v View, now time.Time, spec blackboard.GroupSpec, u *use, domain string) (candidate, bool) {
	if u.held[domain] {
		return candidate{}, false
	}
	vms := u.left(u.usableVMs(v, now, spec)[domain])
	at := domainModel{domain, spec.Name}
	if spec.Pool != "" && u.standing[at]+u.formed[at] >= v.Memory.layouts[domain].Groups[spec.Name] {
		return candidate{}, false
	}
	if len(vms) < spec.VMsPerReplica+v.reserve(now, spec, domain) {
		return candidate{}, false
	}
	c := choose(v, vms, spec)
	c.domain, c.siblings = domain, u.present[at]+u.formed[at]
	// Members that hold the weights don't wait in a group for one that loads them: they
	// may be needed for another before it is ready. At the start none holds them, and one
	// order to each VM, to join, takes half as long as one to load and one to join.
	if spec.Pool != "" && c.fetches > 0 && !noCallersYet(v) {
		return candidate{}, false
	}
	return c, true
}

func (c candidate) better(o candidate) bool {
	if c.fetches != o.fetches {
		return c.fetches < o.fetches
	}
	if c.cold != o.cold {
		return c.cold < o.cold
	}
	if c.siblings != o.siblings {
		return c.siblings < o.siblings
	}
	return c.left < o.left
}

// reserve returns how many VMs of a domain a spec must leave free: the fixed
// spares of the policy, except to repair a group that the domain just lost.
func (v View) reserve(now time.Time, spec blackboard.GroupSpec, domain string) int {
	if v.Memory.policy.spares == 0 {
		return 0
	}
	for _, g := range v.Board.Groups {
		lost := g.State == blackboard.Broken || g.State == blackboard.Released
		recent := v.Memory.timeInState(g, now) < expectedReturn
		if lost && recent && g.Spec == spec.Name && g.FabricDomain == domain {
			return 0
		}
	}
	return v.Memory.policy.spares
}

// choose picks the members of one domain: VMs that hold the weights, then those
// with the fewest accelerators that suffice, then those that flapped least.
func choose(v View, vms []blackboard.VM, spec blackboard.GroupSpec) candidate {
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		if x, y := holdsWeights(v, a.ID, spec.Model), holdsWeights(v, b.ID, spec.Model); x != y {
			return x
		}
		if x, y := v.Memory.loaded(a) == spec.Model, v.Memory.loaded(b) == spec.Model; spec.Pool != "" && x != y {
			return x
		}
		if a.Accelerators != b.Accelerators {
			return a.Accelerators < b.Accelerators
		}
		return a.Flaps < b.Flaps
	})
	c := candidate{members: vms[:spec.VMsPerReplica], left: len(vms) - spec.VMsPerReplica}
	for _, vm := range c.members {
		if !holdsWeights(v, vm.ID, spec.Model) {
			c.fetches++
		}
		if spec.Pool != "" && v.Memory.loaded(vm) != spec.Model {
			c.cold++
		}
	}
	return c
}

// waitForSurvivors tells whether a group of the spec broke so recently that its
// survivors, which hold the weights, will be free sooner than best would load.
func waitForSurvivors(v View, now time.Time, spec blackboard.GroupSpec, best candidate) bool {
	if !v.Memory.policy.reuse || best.fetches <= 1 {
		return false
	}
	for _, g := range v.Board.Groups {
		if g.Spec != spec.Name || g.State != blackboard.Broken {
			continue
		}
		if v.Memory.timeInState(g, now) > survivorWait {
			continue
		}
		if survivors(v, g) >= spec.VMsPerReplica-1 {
			return true
		}
	}
	return false
}

func survivors(v View, g blackboard.Group) int {
	n := 0
	for _, m := range g.Members {
		if v.Board.VMs[m.VM].Liveness == blackboard.Alive {
			n++
		}
	}
	return n
}

// nextID returns the lowest replica number that no group holds. A group whose
// dead member never returns keeps its id, as nothing proves it gone.
func nextID(v View, spec string, u *use) string {
	for n := 0; ; n++ {
		id := spec + "-" + strconv.Itoa(n)
		g, known := v.Board.Groups[id]
		if u.ids[id] || v.Board.Config.DrainedGroups[id] {
			continue
		}
		if !known || g.State == blackboard.Released {
			u.ids[id] = true
			return id
		}
	}
}
