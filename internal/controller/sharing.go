package controller

import (
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// fill is the part of a pool's VMs that serving groups are to hold. The
	// rest stand by, staged, for the members that fail.
	//
	// Load: members of serving groups fail every few seconds and many do not
	// return. Harm: without a spare in the domain the survivors of a group stand
	// idle until one comes. Reason for 0.82: in domains of nine it leaves two
	// beside a group of four and one of three.
	fill = 0.82
	// storeWindow is the time over which loads are counted against the rate of
	// the weight store.
	storeWindow = 5 * time.Second
)

// wantedByShare returns how many groups a pooled spec should have: its share of
// the VMs that are alive, in whole groups.
func wantedByShare(v View, spec blackboard.GroupSpec) int {
	total := 0.0
	for _, other := range v.Board.Config.Groups {
		if other.Pool == spec.Pool {
			total += other.Share
		}
	}
	if total <= 0 || spec.Share <= 0 {
		return 0
	}
	living := 0
	for _, vm := range v.Board.VMs {
		if vm.Pool == spec.Pool && !vm.Leaving && vm.Liveness != blackboard.Dead {
			living++
		}
	}
	groups := fill * float64(living) * spec.Share / total / float64(spec.VMsPerReplica)
	return max(1, int(groups))
}

// loadsAllowed tells whether n more loads from the weight store may begin, and
// counts them if so.
func (m *Memory) loadsAllowed(now time.Time, perSecond float64, n int) bool {
	kept := m.loads[:0]
	for _, at := range m.loads {
		if now.Sub(at) < storeWindow {
			kept = append(kept, at)
		}
	}
	m.loads = kept
	if perSecond > 0 && float64(len(m.loads)+n) > perSecond*storeWindow.Seconds() {
		return false
	}
	for range n {
		m.loads = append(m.loads, now)
	}
	return true
}

// engineOf returns the figures of the pool that a spec forms its groups from.
func engineOf(v View, spec string) *blackboard.EngineSpec {
	return v.Board.Config.Services[v.Board.Config.Groups[spec].Pool].Engine
}

// fetching returns how many members of a group have to fetch its weights.
func fetching(v View, g blackboard.Group) int {
	n := 0
	for _, m := range g.Members {
		if !holdsWeights(v, m.VM, g.Model) {
			n++
		}
	}
	return n
}

// startOpening lets a group of a pool load when the weight store has room.
func startOpening(v View, now time.Time, a *Actions, g blackboard.Group) {
	perSecond := 0.0
	if e := engineOf(v, g.Spec); e != nil && !untouched(v, v.Board.Config.Groups[g.Spec].Pool) {
		perSecond = e.LoadsPerSecond
	}
	n := fetching(v, g)
	if n > 0 && !v.Memory.loadsAllowed(now, perSecond, n) {
		return
	}
	a.moveGroup(g, blackboard.Loading, "the weight store has room", now)
}

// staging makes VMs that stand by load a model that their domain serves, of
// these the one with the fewest ready for each group. A standby is a group of
// one that is never opened: its next group has its weights in the accelerators
// already and is ready in a fraction of a second, where weights on the host
// would take one or two.
func staging(v View, now time.Time, a *Actions) {
	domains := make(map[string]*standby)
	for _, g := range v.Board.Groups {
		if g.Opens && (g.State == blackboard.Serving || g.State == blackboard.Loading || g.State == blackboard.Forming) {
			domainOf(domains, g.FabricDomain).groups[g.Model]++
		}
	}
	for _, id := range sortedKeys(v.Board.VMs) {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || !vm.Free() || vm.Leaving || vm.Liveness != blackboard.Alive {
			continue
		}
		domainOf(domains, vm.FabricDomain).add(v, vm)
	}
	for _, name := range sortedKeys(domains) {
		domains[name].stage(v, now, a)
	}
}

// standby is what one fabric domain serves and what stands by in it.
type standby struct {
	groups map[string]int
	staged map[string]int
	idle   []blackboard.VM
}

func domainOf(domains map[string]*standby, name string) *standby {
	d := domains[name]
	if d == nil {
		d = &standby{groups: make(map[string]int), staged: make(map[string]int)}
		domains[name] = d
	}
	return d
}

func (d *standby) add(v View, vm blackboard.VM) {
	if model := v.Memory.loaded(vm); d.groups[model] > 0 {
		d.staged[model]++
		return
	}
	d.idle = append(d.idle, vm)
}

func (d *standby) stage(v View, now time.Time, a *Actions) {
	for _, vm := range d.idle {
		model := d.choose(v, vm)
		r, heard := v.Evidence.Get(vm.ID)
		if model == "" || !heard || r.Incarnation != vm.Incarnation || now.Sub(r.HeardAt) > v.Evidence.RoutableAge() {
			continue
		}
		d.staged[model]++
		if joining(r) {
			continue
		}
		e := v.Board.Config.Services[vm.Pool].Engine
		if e == nil || (!holdsWeights(v, vm.ID, model) && !v.Memory.loadsAllowed(now, e.LoadsPerSecond, 1)) {
			continue
		}
		sendStandby(v, now, a, vm, model)
	}
}

// joining tells whether a VM is at a join already.
func joining(r evidence.Report) bool { return r.Phase == backend.PhaseLoading }

// standbyPrefix begins the names of groups of one that are never opened.
const standbyPrefix = "standby-"

// sendStandby makes a VM that is in no group load a model. The epoch is one
// that is given already, so that any group formed later is newer.
func sendStandby(v View, now time.Time, a *Actions, vm blackboard.VM, model string) {
	send(v, now, a, vm, vm.Incarnation, backend.Order{
		Kind: backend.OrderLoad, Group: standbyPrefix + model, Model: model,
		Token:   backend.FencingToken{Term: v.Term, Epoch: v.Board.NextEpoch - 1},
		Members: []backend.GroupMember{{VM: vm.ID, Address: vm.Address, Incarnation: vm.Incarnation}},
	})
}

// choose prefers a model whose weights the VM's host has, if the domain has no
// more than one standby fewer of another.
func (d *standby) choose(v View, vm blackboard.VM) string {
	best := d.neediest()
	for _, model := range vm.Weights {
		if d.groups[model] > 0 && d.staged[model] <= d.staged[best] {
			return model
		}
	}
	return best
}

func (d *standby) neediest() string {
	best := ""
	for _, model := range sortedKeys(d.groups) {
		if best == "" || d.staged[model]*d.groups[best] < d.staged[best]*d.groups[model] {
			best = model
		}
	}
	return best
}

// noteModels notes which model each VM has in its accelerators: that of the last
// group that it was ready in since its start.
func (m *Memory) noteModels(v View) {
	for id, vm := range v.Board.VMs {
		r, heard := v.Evidence.Get(id)
		if vm.Pool == "" || !heard || (r.Phase != backend.PhaseReady && r.Phase != backend.PhaseOpen) {
			continue
		}
		if model, standby := strings.CutPrefix(r.Group, standbyPrefix); standby {
			m.models[id] = loadedModel{r.Incarnation, model}
			continue
		}
		if g, known := v.Board.Groups[r.Group]; known {
			m.models[id] = loadedModel{r.Incarnation, g.Model}
		}
	}
}

type loadedModel struct{ incarnation, model string }

// loaded returns the model in a VM's accelerators, or "" if none is known.
func (m *Memory) loaded(vm blackboard.VM) string {
	if l := m.models[vm.ID]; l.incarnation == vm.Incarnation {
		return l.model
	}
	return ""
}

// untouched tells whether no group of the pool has served yet. Nobody waits for
// an answer then, and the weight store is there for the start alone.
func untouched(v View, pool string) bool {
	for _, g := range v.Board.Groups {
		if g.Opens && v.Board.Config.Groups[g.Spec].Pool == pool && g.State != blackboard.Forming && g.State != blackboard.Loading {
			return false
		}
	}
	return true
}
