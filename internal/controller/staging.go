package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

// This file makes the hosts of a pool's VMs hold the weights of a further model, besides the one
// in the VM's accelerators. Package packing chooses the model of each VM (packing.ChooseStaged).
//
// Load: a VM is lost every few seconds, and the free VMs hold another model than the group that
// broke. Harm: the group waits for loads from the store, although a VM that holds the model on its
// host joins in one or two seconds.

const (
	// lateOrderLimit is how late an engine may carry out an order that it did not answer.
	lateOrderLimit = 12 * time.Second
	// maxStageAttempts bounds the orders to one incarnation to stage one model. Each may start a
	// load, and an engine that never reports the model would load without end.
	maxStageAttempts = 3
	// stagingStorePart is the part of the store's capacity that staging may use once callers have
	// arrived. The rest is left to loads that bring groups into service.
	stagingStorePart = 0.5
)

// staging is what this leader knows about its orders to one VM to stage a model.
type staging struct {
	incarnation, model string
	sentAt             time.Time
	attempts           int
	accepted           bool
}

// stagedPerHost returns how many models a host of a pool keeps, if VMs of the pool are to hold
// further models: the pool has several models, and states how long each loads. Otherwise it
// returns 0.
func stagedPerHost(v View, pool string, models []packing.Model) int {
	e := v.Board.Config.Services[pool].Engine
	if e == nil || len(models) < 2 {
		return 0
	}
	for _, m := range models {
		if m.StoreLoad <= 0 || m.StagedLoad <= 0 {
			return 0
		}
	}
	return e.StagedModels
}

// stagingPools returns the pools whose hosts hold further models.
func stagingPools(v View) map[string]bool {
	pools := make(map[string]bool)
	for name, service := range v.Board.Config.Services {
		if service.Engine != nil && stagedPerHost(v, name, poolModels(v, name)) > 0 {
			pools[name] = true
		}
	}
	return pools
}

// stageWeights orders VMs to stage the further models of their domains' layouts.
//
// Before the first request of any caller, VMs are ordered once no group of their pool forms or
// loads, so that staging delays no group. Later, loads compete with those that bring groups into
// service, and staging uses only a part of the store's capacity.
func stageWeights(v View, now time.Time, a *Actions) {
	for id, o := range v.Memory.stagings {
		if holdsWeights(v, id, o.model) {
			delete(v.Memory.stagings, id)
		}
	}
	busy := poolsForming(v)
	for _, vm := range stageCandidates(v, now) {
		if busy[vm.Pool] && noCallersYet(v) {
			continue
		}
		sendStage(v, now, a, vm, v.Memory.layouts[vm.FabricDomain].StageByVM[vm.ID])
	}
}

// poolsForming returns the pools that have a group that forms or loads.
func poolsForming(v View) map[string]bool {
	pools := make(map[string]bool)
	for _, g := range v.Board.Groups {
		if g.State == blackboard.Forming || g.State == blackboard.Loading {
			pools[v.Board.Config.Groups[g.Spec].Pool] = true
		}
	}
	return pools
}

// stageCandidates returns the VMs that are to stage a model and can take the order: first those
// whose layout assigns the model to them, because a group waits for it.
func stageCandidates(v View, now time.Time) []blackboard.VM {
	var found []blackboard.VM
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		model := v.Memory.layouts[vm.FabricDomain].StageByVM[id]
		if model == "" || vm.Leaving || vm.Liveness != blackboard.Alive || holdsWeights(v, id, model) {
			continue
		}
		r, hasReport := v.Evidence.Get(id)
		fresh := hasReport && r.Incarnation == vm.Incarnation && now.Sub(r.ReceivedAt) <= v.Evidence.RoutableAge()
		if fresh && !isJoining(r) && v.Memory.mayStage(v, now, vm, model) {
			found = append(found, vm)
		}
	}
	slices.SortStableFunc(found, func(x, y blackboard.VM) int {
		return cmp.Compare(stageRank(v, x), stageRank(v, y))
	})
	return found
}

func stageRank(v View, vm blackboard.VM) int {
	if l := v.Memory.layouts[vm.FabricDomain]; l.StageByVM[vm.ID] == l.ModelByVM[vm.ID] {
		return 0
	}
	return 1
}

// mayStage reports whether a VM may be ordered to stage a model now. An order is repeated only
// after a load has certainly ended and a late order has been carried out; each repetition waits
// twice as long.
func (m *Memory) mayStage(v View, now time.Time, vm blackboard.VM, model string) bool {
	o := m.stagings[vm.ID]
	if o == nil || o.incarnation != vm.Incarnation {
		return true
	}
	if o.model != model {
		return !isStaging(v, now, vm)
	}
	return o.attempts < maxStageAttempts && now.Sub(o.sentAt) >= stagingTime(v, vm, model)<<(o.attempts-1)
}

// stagingTime returns how long a VM takes to stage a model from the store, an order that is
// carried out late included.
func stagingTime(v View, vm blackboard.VM, model string) time.Duration {
	e := v.Board.Config.Services[vm.Pool].Engine
	if e == nil {
		return lateOrderLimit
	}
	load, _ := loadTimes(e, model)
	return load + lateOrderLimit
}

// isStaging reports whether a VM stages a model, or may yet begin to.
func isStaging(v View, now time.Time, vm blackboard.VM) bool {
	o := v.Memory.stagings[vm.ID]
	if o == nil || o.incarnation != vm.Incarnation || vm.Liveness == blackboard.Dead || holdsWeights(v, vm.ID, o.model) {
		return false
	}
	return now.Sub(o.sentAt) < stagingTime(v, vm, o.model)
}

// stagingModel returns the model that a VM was ordered to stage, or "".
func (m *Memory) stagingModel(vm blackboard.VM) string {
	if o := m.stagings[vm.ID]; o != nil && o.incarnation == vm.Incarnation && o.accepted {
		return o.model
	}
	return ""
}

// hasStagingCapacity reports whether one more VM may stage a model.
//
// Harm before callers arrive: the first request reaches the leader after a delay, and the loads
// that began meanwhile count against the store. Their number is therefore bounded by what the
// store allows in one window.
func (s *weightStore) hasStagingCapacity(now time.Time, e *blackboard.EngineSpec) bool {
	if !s.hasCapacity(e) {
		return false
	}
	limit := e.LoadsPerSecond * storeWindow.Seconds()
	if s.limitsApply {
		limit *= stagingStorePart
		if s.running+s.staging >= stagingAtOnce(e) {
			return false
		}
	}
	n := 0
	for _, l := range s.recent {
		if s.limitsApply || now.Sub(l.at) < callersReportDelay {
			n++
		}
	}
	return e.LoadsPerSecond <= 0 || float64(n+1) <= limit
}

// stagingAtOnce returns how many VMs may stage at the same time once callers have arrived.
func stagingAtOnce(e *blackboard.EngineSpec) int {
	return max(1, int(stagingStorePart*float64(e.LoadsAtOnce)))
}

// sendStage plans an order to stage a model, if the lease, the order window and the weight store
// allow it.
func sendStage(v View, now time.Time, a *Actions, vm blackboard.VM, model string) {
	e := v.Board.Config.Services[vm.Pool].Engine
	deadline, ok := orderDeadline(v, now)
	if !ok || e == nil || !v.Memory.window.hasCapacity(now) {
		return
	}
	store := v.Memory.storeOf(vm.Pool)
	if !store.hasStagingCapacity(now, e) {
		return
	}
	o := v.Memory.stagings[vm.ID]
	if o == nil || o.incarnation != vm.Incarnation || o.model != model {
		o = &staging{incarnation: vm.Incarnation, model: model}
		v.Memory.stagings[vm.ID] = o
	}
	o.sentAt, o.accepted = now, false
	o.attempts++
	v.Memory.window.recordSent(stageKey(vm.ID), now)
	store.addStaging(now, vm.ID)
	a.Orders = append(a.Orders, PlannedOrder{VM: vm.ID, Address: vm.Address, Deadline: deadline, Order: backend.Order{
		Kind: backend.OrderStage, Model: model, Incarnation: vm.Incarnation, Token: backend.FencingToken{Term: v.Term},
	}})
	a.decide(Decision{Kind: "stage", Subject: vm.ID, Choice: model, Reason: stageReason(v, vm, o)})
}

func stageReason(v View, vm blackboard.VM, o *staging) string {
	switch {
	case o.attempts > 1:
		return "the VM has not reported the model"
	case noCallersYet(v):
		return "no caller waits for the weight store"
	case stageRank(v, vm) == 0:
		return "the layout assigns the model to the VM"
	}
	return "the VM stands by"
}

// stageKey is the key of an order to stage in the order window, in which a VM may also have
// another order in flight.
func stageKey(vm string) string { return vm + " stage" }

// addStaging counts a load onto a host that has just been ordered.
func (s *weightStore) addStaging(now time.Time, vm string) {
	s.recent = append(s.recent, load{vm: vm, at: now, staging: true})
	s.staging++
	s.unanswered++
}

// recordStageAnswer records the outcome of an order to stage. An error does not show whether the
// engine carried out the order.
func (m *Memory) recordStageAnswer(o PlannedOrder, reply backend.OrderReply, err error) {
	m.window.recordAnswer(stageKey(o.VM))
	s := m.stagings[o.VM]
	if s == nil || s.incarnation != o.Order.Incarnation || s.model != o.Order.Model || err != nil {
		return
	}
	s.accepted = s.accepted || reply.Accepted
}
