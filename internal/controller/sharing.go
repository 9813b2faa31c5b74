package controller

import (
	"sort"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// storeWindow is the time over which loads are counted against the rate of the
// weight store.
const storeWindow = 5 * time.Second

// wantedOfPool returns how many groups a spec of a pool should have, as the
// domains are laid out.
func wantedOfPool(v View, spec blackboard.GroupSpec) int {
	groups := 0
	for _, layout := range v.Memory.layouts {
		groups += layout.Groups[spec.Name]
	}
	return groups
}

// working tells whether a VM counts towards what its pool can serve: it lives, or
// it is silent and its group serves on.
func working(v View, vm blackboard.VM) bool {
	if vm.Liveness != blackboard.Dead {
		return true
	}
	g, ok := v.Board.Groups[vm.Group]
	return ok && g.Epoch == vm.Epoch && g.Opens && g.State == blackboard.Serving
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
	if e := engineOf(v, g.Spec); e != nil && !neverServed(v, v.Board.Config.Groups[g.Spec].Pool) {
		perSecond = e.LoadsPerSecond
	}
	n := fetching(v, g)
	if n > 0 && !v.Memory.loadsAllowed(now, perSecond, n) {
		return
	}
	a.moveGroup(g, blackboard.Loading, "the weight store has room", now)
}

// staging makes VMs in no group load what their domain's layout gives them. A
// standby is a group of one that is never opened: its next group has its weights in
// the accelerators already and is ready in a fraction of a second, where weights on
// the host would take one or two.
func staging(v View, now time.Time, a *Actions) {
	wait, running := standbys(v, now)
	for _, s := range wait {
		stageOne(v, now, a, s, running)
	}
}

// standby is a VM that has to load a model.
type standby struct {
	vm    blackboard.VM
	model string
	// short is how many loaded VMs its domain lacks for its next group of the model.
	short int
	// fetches says that the weights come from the store.
	fetches bool
}

// domainModel names the VMs of one domain that hold, or are to hold, one model.
type domainModel struct{ domain, model string }

// standbys returns the VMs that have to load, those first whose domain is
// nearest to its next group, and how many VMs of each pool load from the store.
//
// Load: half a domain comes back empty while others lack one member each. The
// store serves a few loads at full speed; the first to end should make a group
// whole.
func standbys(v View, now time.Time) ([]standby, map[string]int) {
	loaded := make(map[domainModel]int)
	running := make(map[string]int)
	var wait []standby
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || !vm.Free() || vm.Leaving || vm.Liveness != blackboard.Alive {
			continue
		}
		model := v.Memory.layouts[vm.FabricDomain].Hold[id]
		r, heard := v.Evidence.Get(id)
		fresh := heard && r.Incarnation == vm.Incarnation && now.Sub(r.HeardAt) <= v.Evidence.RoutableAge()
		switch {
		case model == "" || !fresh:
		case joining(r):
			loaded[domainModel{vm.FabricDomain, model}]++
			if !holdsWeights(v, id, model) {
				running[vm.Pool]++
			}
		case v.Memory.loaded(vm) == model:
			loaded[domainModel{vm.FabricDomain, model}]++
		case v.Memory.toldToStandBy(vm, model, now, v.timing().Resend):
			if !holdsWeights(v, id, model) {
				running[vm.Pool]++
			}
		default:
			wait = append(wait, standby{vm: vm, model: model, fetches: !holdsWeights(v, id, model)})
		}
	}
	for i := range wait {
		size := max(1, v.Board.Config.Groups[wait[i].model].VMsPerReplica)
		wait[i].short = size - loaded[domainModel{wait[i].vm.FabricDomain, wait[i].model}]%size
	}
	sort.SliceStable(wait, func(i, j int) bool { return wait[i].short < wait[j].short })
	return wait, running
}

// toldToStandBy tells whether a VM was told so recently to load a model that it may not
// have said yet that it does.
//
// Load: a domain of empty VMs comes, and the weight store serves eleven loads at full
// speed. Between the orders and the first words of those loading pass some runs of the
// controllers; each took the store for free and began eleven more, and all took three
// times as long.
func (m *Memory) toldToStandBy(vm blackboard.VM, model string, now time.Time, within time.Duration) bool {
	o := m.orders[vm.ID]
	return o != nil && o.kind == backend.OrderLoad && o.target.group == standbyPrefix+model &&
		o.incarnation == vm.Incarnation && now.Sub(o.sentAt) < within
}

func stageOne(v View, now time.Time, a *Actions, s standby, running map[string]int) {
	e := v.Board.Config.Services[s.vm.Pool].Engine
	if e == nil {
		return
	}
	if o := v.Memory.orders[s.vm.ID]; o != nil && now.Sub(o.sentAt) < v.timing().Resend {
		return
	}
	if !v.Memory.window.room(now) {
		return
	}
	if s.fetches && !neverServed(v, s.vm.Pool) {
		if running[s.vm.Pool] >= max(1, e.LoadsAtOnce) || !v.Memory.loadsAllowed(now, e.LoadsPerSecond, 1) {
			return
		}
	}
	if s.fetches {
		running[s.vm.Pool]++
	}
	sendStandby(v, now, a, s.vm, s.model)
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

// neverServed tells whether no group of the pool has served yet. Nobody waits for
// an answer then, and the weight store is there for the start alone.
func neverServed(v View, pool string) bool {
	for _, g := range v.Board.Groups {
		if g.Opens && v.Board.Config.Groups[g.Spec].Pool == pool && g.State != blackboard.Forming && g.State != blackboard.Loading {
			return false
		}
	}
	return true
}
