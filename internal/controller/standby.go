package controller

import (
	"sort"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// countsForPool reports whether a VM counts towards the capacity of its pool: it is not dead, or
// it is silent while its group continues to serve.
func countsForPool(v View, vm blackboard.VM) bool {
	if vm.Liveness != blackboard.Dead {
		return true
	}
	g, ok := v.Board.Groups[vm.Group]
	return ok && g.Epoch == vm.Epoch && g.RequiresOpenHead && g.State == blackboard.Serving
}

// engineSpec returns the engine parameters of the pool from which a spec forms its groups.
func engineSpec(v View, spec string) *blackboard.EngineSpec {
	return v.Board.Config.Services[v.Board.Config.Groups[spec].Pool].Engine
}

// startPoolLoading lets a group of a pool load when the weight store has capacity.
func startPoolLoading(v View, now time.Time, a *Actions, g blackboard.Group) {
	pool := v.Board.Config.Groups[g.Spec].Pool
	if needsStore(v, g) && !v.Memory.storeOf(pool).hasCapacity(engineSpec(v, g.Spec)) {
		return
	}
	a.moveGroup(g, blackboard.Loading, "the weight store has room", now)
}

// stageStandbys makes VMs that are in no group load the models that their domain's layout assigns
// to them. A standby is a group of one that never opens. Its accelerators already hold the
// weights, so it is ready in its next group within a fraction of a second; loading from the host
// would take one or two seconds.
//
// Where hosts hold a further model (staging.go), a VM keeps the model in its accelerators: loading
// the other one would leave it with one model in place of two.
func stageStandbys(v View, now time.Time, a *Actions) {
	for _, s := range standbys(v, now) {
		stageStandby(v, now, a, s)
	}
}

// standby is a VM that has to load a model.
type standby struct {
	vm    blackboard.VM
	model string
	// missing is how many loaded VMs its domain lacks for its next group of the model.
	missing int
	// fetches is true if the weights come from the store.
	fetches bool
}

// domainModel identifies the VMs of one domain that hold, or are to hold, one model.
type domainModel struct{ domain, model string }

// standbys returns the VMs that have to load. VMs whose domain is nearest to its next complete
// group come first.
//
// Load: half a domain comes back empty while other domains lack one member each. The store serves
// a few loads at full speed; the first loads to end should complete a group.
func standbys(v View, now time.Time) []standby {
	loaded := make(map[domainModel]int)
	var wait []standby
	further := stagingPools(v)
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool == "" || !vm.Free() || vm.Leaving || vm.Liveness != blackboard.Alive {
			continue
		}
		model := v.Memory.layouts[vm.FabricDomain].ModelByVM[id]
		r, hasReport := v.Evidence.Get(id)
		fresh := hasReport && r.Incarnation == vm.Incarnation && now.Sub(r.ReceivedAt) <= v.Evidence.RoutableAge()
		if model == "" || !fresh {
			continue
		}
		held := v.Memory.modelOf(vm)
		if isJoining(r) || held == model || (further[vm.Pool] && held != "" && holdsWeights(v, id, model)) {
			loaded[domainModel{vm.FabricDomain, model}]++
		}
		if load := standbyModel(v, now, vm, r, model, further[vm.Pool]); load != "" {
			wait = append(wait, standby{vm: vm, model: load, fetches: needsFetch(v, vm, load)})
		}
	}
	for i := range wait {
		size := max(1, v.Board.Config.Groups[wait[i].model].VMsPerReplica)
		wait[i].missing = size - loaded[domainModel{wait[i].vm.FabricDomain, wait[i].model}]%size
	}
	sort.SliceStable(wait, func(i, j int) bool { return wait[i].missing < wait[j].missing })
	return wait
}

// standbyModel returns the model that a VM in no group has to load, or "" if none. assigned is the
// model that the layout assigns to it, and further is true if hosts of its pool hold further
// models. Then a VM that holds a model in its accelerators keeps it, and a VM that has just
// started loads what its host holds, so that its host may fetch the other model beside that.
func standbyModel(v View, now time.Time, vm blackboard.VM, r evidence.Report, assigned string, further bool) string {
	held := v.Memory.modelOf(vm)
	switch {
	case isJoining(r) || isLoadingFromStore(v, now, vm):
		return ""
	case !further && held == assigned:
		return ""
	case !further:
		return assigned
	case held != "":
		return ""
	case holdsWeights(v, vm.ID, assigned):
		return assigned
	}
	for _, staged := range vm.Weights {
		if _, known := v.Board.Config.Groups[staged]; known {
			return staged
		}
	}
	return assigned
}

// loadRank orders VMs by the time that they take to have a model in their accelerators: 0 if they
// have it, 1 if their host holds it, 2 if they load it from the store.
func loadRank(v View, vm blackboard.VM, model string) int {
	switch {
	case v.Memory.modelOf(vm) == model:
		return 0
	case holdsWeights(v, vm.ID, model):
		return 1
	}
	return 2
}

// countOtherModels returns how many models other than the given one a VM holds.
func countOtherModels(v View, vm blackboard.VM, model string) int {
	n := 0
	loaded := v.Memory.modelOf(vm)
	if loaded != "" && loaded != model {
		n++
	}
	for _, staged := range vm.Weights {
		if staged != model && staged != loaded {
			n++
		}
	}
	return n
}

func stageStandby(v View, now time.Time, a *Actions, s standby) {
	e := v.Board.Config.Services[s.vm.Pool].Engine
	if e == nil {
		return
	}
	if o := v.Memory.orders[s.vm.ID]; o != nil && now.Sub(o.sentAt) < v.timing().ResendAfter {
		return
	}
	if s.fetches && !v.Memory.storeOf(s.vm.Pool).hasCapacity(e) {
		return
	}
	sendStandby(v, now, a, s.vm, s.model)
}

// isJoining reports whether a VM is already joining a group.
func isJoining(r evidence.Report) bool { return r.Phase == backend.PhaseLoading }

// standbyPrefix begins the names of groups of one that never open.
const standbyPrefix = "standby-"

// sendStandby makes a VM that is in no group load a model. The order carries an epoch that is
// already assigned, so that the epoch of any later group is newer.
func sendStandby(v View, now time.Time, a *Actions, vm blackboard.VM, model string) {
	send(v, now, a, vm, vm.Incarnation, backend.Order{
		Kind: backend.OrderLoad, Group: standbyPrefix + model, Model: model,
		Token:   backend.FencingToken{Term: v.Term, Epoch: v.Board.NextEpoch - 1},
		Members: []backend.GroupMember{{VM: vm.ID, Address: vm.Address, Incarnation: vm.Incarnation}},
	})
}

// recordModels records which model each VM has in its accelerators: the model of the last group
// in which it was ready since its start. A VM that joins a group of another model holds none until
// it is ready.
func (m *Memory) recordModels(v View) {
	if len(m.models) == 0 {
		m.readModels(v)
	}
	for id, vm := range v.Board.VMs {
		r, hasReport := v.Evidence.Get(id)
		if vm.Pool == "" || !hasReport {
			continue
		}
		if joins := loadingModel(v, vm); joins != "" && joins != m.models[id].model {
			delete(m.models, id)
		}
		if r.Phase != backend.PhaseReady && r.Phase != backend.PhaseOpen {
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

// readModels takes the models of VMs from the groups on the blackboard, whose newest epoch with a
// VM is its last group.
//
// Failure: the leader is lost, and the next one does not know what a VM that has left its group
// has in its accelerators. It would make the VM load the model of its host, and lose the other.
func (m *Memory) readModels(v View) {
	newest := make(map[string]uint64)
	pools := stagingPools(v)
	for _, g := range v.Board.Groups {
		if !pools[v.Board.Config.Groups[g.Spec].Pool] || g.State == blackboard.Forming || g.State == blackboard.Loading {
			continue
		}
		for _, member := range g.Members {
			if g.Epoch >= newest[member.VM] {
				newest[member.VM] = g.Epoch
				m.models[member.VM] = loadedModel{member.Incarnation, g.Model}
			}
		}
	}
}

type loadedModel struct{ incarnation, model string }

// modelOf returns the model in a VM's accelerators, or "" if none is known.
func (m *Memory) modelOf(vm blackboard.VM) string {
	if l := m.models[vm.ID]; l.incarnation == vm.Incarnation {
		return l.model
	}
	return ""
}
