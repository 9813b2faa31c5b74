package controller

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// survivorWait is how long a spec that lost a group waits for the surviving members to confirm
// their release. The confirmation takes about two announcements, and survivors hold the weights;
// loading from the store takes far longer.
const survivorWait = 5 * time.Second

// formGroups forms groups out of free VMs until each spec has its wanted number, in order of
// worth. A spec that stays short keeps specs worth less out of the domain in which it waits, or
// takes over one of their groups.
func formGroups(v View, now time.Time, a *Actions) {
	u := newAllocation(v)
	for _, spec := range specsByWorth(v) {
		short := missingGroups(v, spec.Name)
		if short > 0 {
			short -= formUpTo(v, now, a, spec, u, short)
		}
		if short <= 0 {
			delete(v.Memory.shortSince, spec.Name)
			continue
		}
		if short <= countReplacing(v, spec.Name) || spec.Pool != "" {
			continue
		}
		if domain := domainToReserve(v, now, spec, u); domain != "" {
			u.reserved[domain] = true
			delete(v.Memory.shortSince, spec.Name)
			continue
		}
		takeOver(v, now, a, spec, u)
	}
}

// allocation is what one run of formGroups has already assigned.
type allocation struct {
	vms map[string]bool
	ids map[string]bool
	// reserved marks the domains in which a spec worth more waits.
	reserved map[string]bool
	// formed counts the groups of this run.
	formed map[domainModel]int
	// usable holds the usable VMs of each spec at the start of the run, by domain.
	usable map[string]map[string][]blackboard.VM
	// kept counts the groups on the board that are to stay, and existing those that are neither
	// broken nor released, by domain and spec.
	kept, existing map[domainModel]int
}

func newAllocation(v View) *allocation {
	u := &allocation{
		vms: make(map[string]bool), ids: make(map[string]bool), reserved: make(map[string]bool),
		formed: make(map[domainModel]int), usable: make(map[string]map[string][]blackboard.VM),
		kept: make(map[domainModel]int), existing: make(map[domainModel]int),
	}
	for _, g := range v.Board.Groups {
		at := domainModel{g.FabricDomain, g.Spec}
		if isKept(v, g) {
			u.kept[at]++
		}
		if g.State != blackboard.Released && g.State != blackboard.Broken {
			u.existing[at]++
		}
	}
	return u
}

// usableVMs returns the VMs that a spec could use at the start of the run, by domain.
func (u *allocation) usableVMs(v View, now time.Time, spec blackboard.GroupSpec) map[string][]blackboard.VM {
	if domains, known := u.usable[spec.Name]; known {
		return domains
	}
	domains := make(map[string][]blackboard.VM)
	for _, id := range v.vmIDs() {
		if vm := v.Board.VMs[id]; isUsable(v, now, vm, spec) && !v.Board.Evacuated(vm.DataCentre) {
			domains[vm.FabricDomain] = append(domains[vm.FabricDomain], vm)
		}
	}
	u.usable[spec.Name] = domains
	return domains
}

// unassigned returns the VMs that this run has not assigned.
func (u *allocation) unassigned(vms []blackboard.VM) []blackboard.VM {
	var rest []blackboard.VM
	for _, vm := range vms {
		if !u.vms[vm.ID] {
			rest = append(rest, vm)
		}
	}
	return rest
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

// missingGroups returns how many more groups of a spec should be formed.
func missingGroups(v View, spec string) int {
	have := 0
	for _, g := range v.Board.Groups {
		if g.Spec == spec && isKept(v, g) {
			have++
		}
	}
	return wantedGroups(v, spec) - have
}

// isUsable reports whether a VM may join a new group now: it suits the spec, no group holds it,
// and its engine's report agrees. An engine of a pool must be neither open nor closing; any other
// engine must be idle.
func isUsable(v View, now time.Time, vm blackboard.VM, spec blackboard.GroupSpec) bool {
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
	// hostLoads is how many members have to load the weights from their host into their
	// accelerators.
	hostLoads int
	// siblings is how many groups of the spec the domain already has.
	siblings int
	// spare is how many usable VMs of the domain remain.
	spare int
}

// formUpTo forms up to n groups of a spec and returns how many it formed.
//
// A new group changes what its own domain can offer and no other domain, so only that domain is
// evaluated again: a large pool that starts has hundreds of groups due in one run.
func formUpTo(v View, now time.Time, a *Actions, spec blackboard.GroupSpec, u *allocation, n int) (formed int) {
	found := candidates(v, now, spec, u)
	for formed < n && len(found) > 0 {
		best := found[0]
		if waitForSurvivors(v, now, spec, best) {
			return formed
		}
		formFirst(v, now, a, spec, u, found)
		formed++
		found = found[1:]
		if next, ok := candidateIn(v, now, spec, u, best.domain); ok {
			at := sort.Search(len(found), func(i int) bool { return next.isBetter(found[i]) })
			found = slices.Insert(found, at, next)
		}
	}
	return formed
}

// formFirst forms a group from the first candidate.
func formFirst(v View, now time.Time, a *Actions, spec blackboard.GroupSpec, u *allocation, found []candidate) {
	best := found[0]
	v.sortWarmFirst(now, best.members)
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
		Worth: v.Board.Config.GroupWorth(spec.Name), Reason: "wanted by its spec", RequiresOpenHead: spec.Pool != "",
	}})
	d := Decision{Kind: "form", Subject: id, Choice: best.domain, Reason: best.reason()}
	if len(found) > 1 {
		d.RunnerUp = found[1].domain
	}
	a.decide(d)
}

// sortWarmFirst makes the first member, the head, one that is not cold (within its slow-start
// period), if there is one. The head takes the group's requests, and a cold head sustains fewer.
func (v View) sortWarmFirst(now time.Time, members []blackboard.VM) {
	slices.SortStableFunc(members, func(a, b blackboard.VM) int {
		return v.coldUntil(now, a.ID).Compare(v.coldUntil(now, b.ID))
	})
}

// otherDataCentres returns the data centres of members other than the head's data centre.
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
	return "fetches " + strconv.Itoa(c.fetches) + ", host loads " + strconv.Itoa(c.hostLoads) + ", siblings " + strconv.Itoa(c.siblings) + ", spare " + strconv.Itoa(c.spare)
}

// candidates returns one candidate for each domain with enough VMs, best first. The best
// candidate has the fewest weights to fetch, as the store is the slowest part; then the fewest
// loads from the host; then the fewest groups of the same spec, so that the loss of one domain
// leaves the others; then the tightest fit, so that wide domains stay free for wide groups.
func candidates(v View, now time.Time, spec blackboard.GroupSpec, u *allocation) []candidate {
	var found []candidate
	for _, domain := range sortedKeys(u.usableVMs(v, now, spec)) {
		if c, ok := candidateIn(v, now, spec, u, domain); ok {
			found = append(found, c)
		}
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].isBetter(found[j]) })
	return found
}

// candidateIn returns the candidate of one domain, if the domain has enough VMs.
func candidateIn(v View, now time.Time, spec blackboard.GroupSpec, u *allocation, domain string) (candidate, bool) {
	if u.reserved[domain] {
		return candidate{}, false
	}
	vms := u.unassigned(u.usableVMs(v, now, spec)[domain])
	at := domainModel{domain, spec.Name}
	if spec.Pool != "" && u.kept[at]+u.formed[at] >= v.Memory.layouts[domain].Groups[spec.Name] {
		return candidate{}, false
	}
	if len(vms) < spec.VMsPerReplica+v.spareReserve(now, spec, domain) {
		return candidate{}, false
	}
	c := chooseMembers(v, vms, spec)
	c.domain, c.siblings = domain, u.existing[at]+u.formed[at]
	// Members that hold the weights do not wait in a group for one that loads them: another group
	// may need them before this one is ready. At the start no VM holds weights. Then one order to
	// each VM, to join, takes half as long as one order to load and one to join.
	if spec.Pool != "" && c.fetches > 0 && !noCallersYet(v) {
		return candidate{}, false
	}
	return c, true
}

func (c candidate) isBetter(o candidate) bool {
	if c.fetches != o.fetches {
		return c.fetches < o.fetches
	}
	if c.hostLoads != o.hostLoads {
		return c.hostLoads < o.hostLoads
	}
	if c.siblings != o.siblings {
		return c.siblings < o.siblings
	}
	return c.spare < o.spare
}

// spareReserve returns how many VMs of a domain a spec must leave free: the fixed spares of the
// policy, or none for the repair of a group that the domain recently lost.
func (v View) spareReserve(now time.Time, spec blackboard.GroupSpec, domain string) int {
	if v.Memory.policy.spares == 0 {
		return 0
	}
	for _, g := range v.Board.Groups {
		lost := g.State == blackboard.Broken || g.State == blackboard.Released
		recent := v.Memory.timeInState(g, now) < expectedOutage
		if lost && recent && g.Spec == spec.Name && g.FabricDomain == domain {
			return 0
		}
	}
	return v.Memory.policy.spares
}

// chooseMembers picks the members of one domain: VMs that are ready soonest first, then those that
// hold no further model, so that the others stand ready for more models; then those with the
// fewest accelerators that suffice, then those with the fewest flaps.
func chooseMembers(v View, vms []blackboard.VM, spec blackboard.GroupSpec) candidate {
	sort.SliceStable(vms, func(i, j int) bool {
		a, b := vms[i], vms[j]
		if x, y := loadRank(v, a, spec.Model), loadRank(v, b, spec.Model); x != y {
			return x < y
		}
		if x, y := countOtherModels(v, a, spec.Model), countOtherModels(v, b, spec.Model); spec.Pool != "" && x != y {
			return x < y
		}
		if a.Accelerators != b.Accelerators {
			return a.Accelerators < b.Accelerators
		}
		return a.Flaps < b.Flaps
	})
	c := candidate{members: vms[:spec.VMsPerReplica], spare: len(vms) - spec.VMsPerReplica}
	for _, vm := range c.members {
		if needsFetch(v, vm, spec.Model) {
			c.fetches++
		}
		if spec.Pool != "" && v.Memory.modelOf(vm) != spec.Model {
			c.hostLoads++
		}
	}
	return c
}

// waitForSurvivors reports whether a group of the spec broke so recently that its survivors,
// which hold the weights, will be free before best would have loaded.
func waitForSurvivors(v View, now time.Time, spec blackboard.GroupSpec, best candidate) bool {
	if !v.Memory.policy.reuseSurvivors || best.fetches <= 1 {
		return false
	}
	for _, g := range v.Board.Groups {
		if g.Spec != spec.Name || g.State != blackboard.Broken {
			continue
		}
		if v.Memory.timeInState(g, now) > survivorWait {
			continue
		}
		if aliveMembers(v, g) >= spec.VMsPerReplica-1 {
			return true
		}
	}
	return false
}

func aliveMembers(v View, g blackboard.Group) int {
	n := 0
	for _, m := range g.Members {
		if v.Board.VMs[m.VM].Liveness == blackboard.Alive {
			n++
		}
	}
	return n
}

// nextID returns the group ID with the lowest replica number that no group holds. A group whose
// dead member never returns keeps its ID, because nothing proves that the group has ended.
func nextID(v View, spec string, u *allocation) string {
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
