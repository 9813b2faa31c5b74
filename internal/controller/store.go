package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// storeWindow is the time over which loads are counted against the rate of the
	// weight store.
	storeWindow = 5 * time.Second
	// callersNotice is how long the word that callers have come may take to the leader.
	// What was ordered within it may have begun to load after their first request.
	callersNotice = time.Second
)

// weightStore is what this leader knows of the loads of one pool from its weight store.
//
// Load: 3,000 VMs start, and callers come before all of them hold weights. Until the first
// caller nobody waits, and the store gives all it can; from then on it serves a rate, and
// loads beyond it make all of them slower. Harm of counting when a group is allowed to
// load: orders go out as the leader finds time, hundreds of them seconds later, and more
// loads begin at once than the store's rate allows. So a load counts when its order is
// sent, and once more when that is repeated, as the first may be carried out late. Before
// callers come those without an answer are bounded in its place, as they may all begin
// a moment later.
type weightStore struct {
	// begun are the loads ordered within storeWindow.
	begun []load
	// running counts the VMs that load and unanswered the orders without an answer, as of
	// the present run.
	running, unanswered int
	// counts says that callers have come, so that the store's limits hold.
	counts bool
}

// load is one order that makes a VM load from the store.
type load struct {
	vm string
	at time.Time
}

func (m *Memory) storeOf(pool string) *weightStore {
	s := m.stores[pool]
	if s == nil {
		s = &weightStore{}
		m.stores[pool] = s
	}
	return s
}

// nobodyAsks tells whether no caller has asked for anything since the system was founded.
// The weight store is there for the start alone then.
func nobodyAsks(v View) bool { return v.Board.CallersMillis == 0 }

// countLoads notes which VMs load at present, and when callers come.
func countLoads(v View, now time.Time) {
	for _, s := range v.Memory.stores {
		s.running, s.unanswered = 0, 0
		s.forget(now)
		for _, l := range s.begun {
			if o := v.Memory.orders[l.vm]; o != nil && o.fetches && !o.accepted {
				s.unanswered++
			}
		}
		if !s.counts && !nobodyAsks(v) {
			s.counts = true
			s.keep(func(l load) bool { return mayBeginLate(v, now, l) })
		}
	}
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		if vm.Pool != "" && loadsFromStore(v, now, vm) {
			v.Memory.storeOf(vm.Pool).running++
		}
	}
}

// mayBeginLate tells whether a load that was ordered before callers came may have begun
// after that.
func mayBeginLate(v View, now time.Time, l load) bool {
	o := v.Memory.orders[l.vm]
	return o != nil && (!o.accepted || now.Sub(o.answeredAt) < callersNotice)
}

// fetches tells whether a VM has to load a model from the store: neither its accelerators
// nor its host hold it.
func fetches(v View, vm blackboard.VM, model string) bool {
	return !holdsWeights(v, vm.ID, model) && v.Memory.loaded(vm) != model
}

// loadsFromStore tells whether a VM loads from the store: it says that it loads a model that
// it does not hold, or was told to a moment ago and can't have said so yet.
//
// Load: a domain of empty VMs comes, and the store serves eleven loads at full speed.
// Between the orders and the first words of those loading pass some runs of the
// controllers; each took the store for free and began eleven more, and all took three
// times as long.
func loadsFromStore(v View, now time.Time, vm blackboard.VM) bool {
	if model := loadingModel(v, vm); model != "" {
		return fetches(v, vm, model)
	}
	o := v.Memory.orders[vm.ID]
	return o != nil && o.fetches && o.incarnation == vm.Incarnation && now.Sub(o.sentAt) < v.timing().Resend
}

func (s *weightStore) keep(wanted func(load) bool) {
	kept := s.begun[:0]
	for _, l := range s.begun {
		if wanted(l) {
			kept = append(kept, l)
		}
	}
	s.begun = kept
}

func (s *weightStore) forget(now time.Time) {
	s.keep(func(l load) bool { return now.Sub(l.at) < storeWindow })
}

// room tells whether one more load may begin.
func (s *weightStore) room(e *blackboard.EngineSpec) bool {
	if e == nil {
		return true
	}
	n := s.unanswered
	if s.counts {
		if s.running >= max(1, e.LoadsAtOnce) {
			return false
		}
		n = len(s.begun)
	}
	return e.LoadsPerSecond <= 0 || float64(n+1) <= e.LoadsPerSecond*storeWindow.Seconds()
}

// began counts a load.
func (s *weightStore) began(now time.Time, vm string) {
	s.begun = append(s.begun, load{vm, now})
	s.running++
	s.unanswered++
}
