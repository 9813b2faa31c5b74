package controller

import (
	"sort"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// working tells whether a VM counts towards what its pool can serve: it lives, or
// it is silent and its group serves on.
func working(v View, vm blackboard.VM) bool {
	if vm.Liveness != blackboard.Dead {
		return true
	}
	g, ok := v.Board.Groups[vm.Group]
	return ok && g.Epoch == vm.Epoch && g.Opens && g.State == blackboard.Serving
}

// engineOf returns the figures of the pool that a spec forms its groups from.
func engineOf(v View, spec string) *blackboard.EngineSpec {
	return v.Board.Config.Services[v.Board.Config.Groups[spec].Pool].Engine
}

// startOpening lets a group of a pool load when the weight store has room.
func startOpening(v View, now time.Time, a *Actions, g blackboard.Group) {
	pool := v.Board.Config.Groups[g.Spec].Pool
	if readsStore(v, g) && !v.Memory.storeOf(pool).hasCapacity(engineOf(v, g.Spec)) {
		return
	}
	a.moveGroup(g, blackboard.Loading, "the weight store has room", now)
}

// staging makes VMs in no group load what their domain's layout gives them. A
// standby is a group of one that is never opened: its next group has its weights in
// the accelerators already and is ready in a fraction of a second, where weights on
// the host would take one or two.
func staging(v View, now time.Time, a *Actions) {
	for _, s := range standbys(v, now) {
		stageOne(v, now, a, s)
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
// nearest to its next group.
//
// Load: half a domain comes back empty while others lack one member each. The
// store serves a few loads at full speed; the first to end should make a group
// whole.
func standbys(v View, now time.Time) []standby {
	loaded := make(map[domainModel]int)
	var wait []standby
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || !vm.Free() || vm.Leaving || vm.Liveness != blackboard.Alive {
			continue
		}
		model := v.Memory.layouts[vm.FabricDomain].Hold[id]
		r, hasReport := v.Evidence.Get(id)
		fresh := hasReport && r.Incarnation == vm.Incarnation && now.Sub(r.HeardAt) <= v.Evidence.RoutableAge()
		switch {
		case model == "" || !fresh:
		case joining(r), v.Memory.loaded(vm) == model:
			loaded[domainModel{vm.FabricDomain, model}]++
		case isLoadingFromStore(v, now, vm):
		default:
			wait = append(wait, standby{vm: vm, model: model, fetches: needsFetch(v, vm, model)})
		}
	}
	for i := range wait {
		size := max(1, v.Board.Config.Groups[wait[i].model].VMsPerReplica)
		wait[i].short = size - loaded[domainModel{wait[i].vm.FabricDomain, wait[i].model}]%size
	}
	sort.SliceStable(wait, func(i, j int) bool { return wait[i].short < wait[j].short })
	return wait
}

func stageOne(v View, now time.Time, a *Actions, s standby) {
	e := v.Board.Config.Services[s.vm.Pool].Engine
	if e == nil {
		return
	}
	if o := v.Memory.orders[s.vm.ID]; o != nil && now.Sub(o.sentAt) < v.timing().Resend {
		return
	}
	if s.fetches && !v.Memory.storeOf(s.vm.Pool).hasCapacity(e) {
		return
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
		r, hasReport := v.Evidence.Get(id)
		if vm.Pool == "" || !hasReport || (r.Phase != backend.PhaseReady && r.Phase != backend.PhaseOpen) {
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
