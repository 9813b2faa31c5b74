package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// storeWindow is the period over which loads are counted against the rate of the weight
	// store.
	storeWindow = 5 * time.Second
	// callersReportDelay is how long the report of the first callers may take to reach the
	// leader. A load that was ordered within this time may have begun after the first request.
	callersReportDelay = time.Second
)

// weightStore is what this leader knows about the loads of one pool from its weight store.
//
// Load: 3,000 VMs start, and callers arrive before all VMs hold weights. Until the first caller
// arrives, nobody waits, and the store serves loads as fast as it can. From then on the store
// serves a limited rate, and loads beyond that rate slow down all loads.
//
// Harm of counting a load when its group is allowed to load: the leader sends hundreds of these
// orders only seconds later, and more loads begin at once than the store's rate allows. A load
// therefore counts when its order is sent. A resent order counts again, because the engine may
// carry out the first order late. Before callers arrive, the limit applies to the orders without
// an answer instead, because these loads may all begin a moment later.
type weightStore struct {
	// recent holds the loads that were ordered within storeWindow.
	recent []load
	// running is the number of VMs that load to join a group, staging the number of VMs whose hosts
	// load a further model, and unanswered the number of orders for either without an answer, as of
	// the current run.
	running, staging, unanswered int
	// limitsApply is true once callers have arrived, so that the store's limits hold.
	limitsApply bool
}

// load is one order that makes a VM load weights from the store.
type load struct {
	vm string
	at time.Time
	// staging is true for an order to stage the weights on the VM's host.
	staging bool
}

func (m *Memory) storeOf(pool string) *weightStore {
	s := m.stores[pool]
	if s == nil {
		s = &weightStore{}
		m.stores[pool] = s
	}
	return s
}

// noCallersYet reports whether no caller has sent a request since the system was bootstrapped.
// Until then the weight store serves only the start.
func noCallersYet(v View) bool { return v.Board.FirstRequestMillis == 0 }

// countLoads counts the VMs that load at present, and notices when the first callers arrive.
func countLoads(v View, now time.Time) {
	for _, s := range v.Memory.stores {
		s.running, s.staging, s.unanswered = 0, 0, 0
		s.removeOld(v.Memory, now)
		for _, l := range s.recent {
			if v.Memory.isUnanswered(l) {
				s.unanswered++
			}
		}
		if !s.limitsApply && !noCallersYet(v) {
			s.limitsApply = true
			s.retain(func(l load) bool { return mayBeginLate(v, now, l) })
		}
	}
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool == "" {
			continue
		}
		if isLoadingFromStore(v, now, vm) {
			v.Memory.storeOf(vm.Pool).running++
		}
		if isStaging(v, now, vm) {
			v.Memory.storeOf(vm.Pool).staging++
		}
	}
}

// isUnanswered reports whether a load was ordered and its order has no answer yet.
func (m *Memory) isUnanswered(l load) bool {
	if l.staging {
		o := m.stagings[l.vm]
		return o != nil && !o.accepted
	}
	o := m.orders[l.vm]
	return o != nil && o.fetches && !o.accepted
}

// mayBeginLate reports whether a load that was ordered before callers arrived may have begun
// after their arrival.
func mayBeginLate(v View, now time.Time, l load) bool {
	if l.staging {
		return now.Sub(l.at) < callersReportDelay || v.Memory.isUnanswered(l)
	}
	o := v.Memory.orders[l.vm]
	return o != nil && (!o.accepted || now.Sub(o.acceptedAt) < callersReportDelay)
}

// needsFetch reports whether a VM has to fetch a model from the store because neither its
// accelerators nor its host hold the weights.
func needsFetch(v View, vm blackboard.VM, model string) bool {
	return !holdsWeights(v, vm.ID, model) && v.Memory.modelOf(vm) != model
}

// isLoadingFromStore reports whether a VM loads from the store: its engine reports a load of a
// model that the VM does not hold, or this leader ordered such a load too recently for a report.
//
// Load: a domain of empty VMs joins, and the store serves eleven loads at full speed. Some runs
// of the controllers pass between the orders and the first reports of these loads. Without
// counting the orders, each run considered the store idle and started eleven more loads, and all
// loads took three times as long.
func isLoadingFromStore(v View, now time.Time, vm blackboard.VM) bool {
	if model := loadingModel(v, vm); model != "" {
		return needsFetch(v, vm, model)
	}
	o := v.Memory.orders[vm.ID]
	return o != nil && o.fetches && o.incarnation == vm.Incarnation && now.Sub(o.sentAt) < v.timing().ResendAfter
}

func (s *weightStore) retain(isWanted func(load) bool) {
	kept := s.recent[:0]
	for _, l := range s.recent {
		if isWanted(l) {
			kept = append(kept, l)
		}
	}
	s.recent = kept
}

// removeOld removes the loads that no longer count. An order to stage without an answer may be
// carried out late, so it counts for longer.
func (s *weightStore) removeOld(m *Memory, now time.Time) {
	s.retain(func(l load) bool {
		limit := storeWindow
		if l.staging && m.isUnanswered(l) {
			limit += lateOrderLimit
		}
		return now.Sub(l.at) < limit
	})
}

// hasCapacity reports whether one more load may begin.
func (s *weightStore) hasCapacity(e *blackboard.EngineSpec) bool {
	if e == nil {
		return true
	}
	n := s.unanswered
	if s.limitsApply {
		// Loads that bring groups into service do not wait for all that stage.
		if s.running+min(s.staging, e.LoadsAtOnce/2) >= max(1, e.LoadsAtOnce) {
			return false
		}
		n = len(s.recent)
	}
	return e.LoadsPerSecond <= 0 || float64(n+1) <= e.LoadsPerSecond*storeWindow.Seconds()
}

// add counts a load that has just been ordered.
func (s *weightStore) add(now time.Time, vm string) {
	s.recent = append(s.recent, load{vm: vm, at: now})
	s.running++
	s.unanswered++
}
