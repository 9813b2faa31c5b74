package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

// Memory is what one leader remembers between runs and may lose: a new leader
// starts with an empty one and reaches the same state, only later.
type Memory struct {
	// ordersFrom is when the lease of any earlier leader has surely ended.
	ordersFrom time.Time
	// coveredSince is since when a majority of the entries has been heard
	// without a break; zero while it is not.
	coveredSince time.Time
	// massSeen is when most VMs were last silent at once.
	massSilenceAt time.Time
	orders        map[string]*orderRecord
	// window bounds the orders in flight.
	window *orderWindow
	// faults holds since when a group epoch has shown each of its faults.
	faults map[groupEpoch]map[string]time.Time
	// states holds since when this leader has seen a group epoch in its state.
	// The blackboard's times are of other leaders' clocks.
	states map[groupEpoch]stateTime
	// drains holds since when a group epoch has been wanted out of service.
	drains map[groupEpoch]time.Time
	// idle holds since when a draining group has reported no work.
	idle map[groupEpoch]time.Time
	// slow holds since when a serving group has had a member out of order, and
	// replace which of these groups are being replaced.
	slow    map[groupEpoch]time.Time
	replace map[groupEpoch]bool
	// avoid holds until when a VM whose load failed is left out.
	avoid map[string]time.Time
	// missing holds since when a spec has had fewer groups than wanted.
	missing map[string]time.Time
	policy  policy
	// stores holds what is known of the weight store of each pool.
	stores map[string]*weightStore
	// models holds what VMs of pools have in their accelerators.
	models map[string]loadedModel
	// layouts holds what each fabric domain of a pool is to form, and gathered how
	// far the domains without a layout have come to be known.
	layouts map[string]packing.Layout
	// wanted is how many groups of each model the layouts come to.
	wanted   map[string]int
	gathered map[string]gathering
	// histories holds what was seen of the VMs of each pool.
	histories map[string]*history
	// left holds the layouts of domains whose data centre is evacuated, for their return.
	left map[string]packing.Layout
	// marked holds since when this leader has seen the mark of each cold backend server.
	marked map[string]time.Time
}

type groupEpoch struct {
	group string
	epoch uint64
}

// orderRecord is what this leader knows of its orders to one VM.
type orderRecord struct {
	kind        backend.OrderKind
	target      groupEpoch
	incarnation string
	// firstSentAt is when the order was given, sentAt when it was last sent.
	firstSentAt, sentAt time.Time
	// fetches says that it makes the VM load from the weight store.
	fetches bool
	// loadsEnd is the latest deadline of any load order sent to the VM.
	loadsEnd time.Time
	accepted bool
	// answeredAt is when the engine's acceptance arrived.
	answeredAt time.Time
	// sequenceAfter is the first announcement heard after the acceptance; it
	// may have been under way before, so only later ones confirm anything.
	sequenceAfter uint64
}

// NewMemory returns the memory of a leader that takes office now. oldLease is
// the longest lease that an earlier leader may still hold.
func NewMemory(now time.Time, oldLease time.Duration) *Memory {
	return &Memory{
		ordersFrom: now.Add(oldLease + driftMargin),
		orders:     make(map[string]*orderRecord),
		window:     newOrderWindow(),
		faults:     make(map[groupEpoch]map[string]time.Time),
		states:     make(map[groupEpoch]stateTime),
		drains:     make(map[groupEpoch]time.Time),
		idle:       make(map[groupEpoch]time.Time),
		slow:       make(map[groupEpoch]time.Time),
		replace:    make(map[groupEpoch]bool),
		avoid:      make(map[string]time.Time),
		missing:    make(map[string]time.Time),
		models:     make(map[string]loadedModel),
		stores:     make(map[string]*weightStore),
		gathered:   make(map[string]gathering),
		histories:  make(map[string]*history),
		left:       make(map[string]packing.Layout),
		marked:     make(map[string]time.Time),
		policy:     defaultPolicy,
	}
}

// Answered records the outcome of a planned order. An error says nothing about
// whether the engine obeyed.
func (m *Memory) Answered(now time.Time, o PlannedOrder, reply backend.OrderReply, err error) {
	m.window.answered(o.VM)
	r, ok := m.orders[o.VM]
	if !ok || err != nil || !reply.Accepted {
		return
	}
	target := groupEpoch{o.Order.Group, o.Order.Token.Epoch}
	if r.kind != o.Order.Kind || r.target != target || r.incarnation != o.Order.Incarnation || r.accepted {
		return
	}
	r.accepted = true
	r.answeredAt = now
}

// askedToLoad returns for how long a VM has been asked to load an epoch; 0 if this
// leader has not asked it.
func (m *Memory) askedToLoad(vm string, epoch groupEpoch, now time.Time) time.Duration {
	o := m.orders[vm]
	if o == nil || o.kind != backend.OrderLoad || o.target != epoch {
		return 0
	}
	return now.Sub(o.firstSentAt)
}

// watch notes the state of each group, so that times count from this run on.
func (m *Memory) watch(v View, now time.Time) {
	for _, g := range v.Board.Groups {
		m.inState(g, now)
	}
}

// cover follows since when silence of backend servers says anything.
func (m *Memory) cover(v View, now time.Time) {
	if !v.Evidence.Covered(now, v.Board) {
		m.coveredSince = time.Time{}
		return
	}
	if m.coveredSince.IsZero() {
		m.coveredSince = now
	}
}

type stateTime struct {
	state blackboard.GroupState
	at    time.Time
}

// inState returns for how long this leader has seen a group in its state.
func (m *Memory) inState(g blackboard.Group, now time.Time) time.Duration {
	k := groupEpoch{g.ID, g.Epoch}
	s, ok := m.states[k]
	if !ok || s.state != g.State {
		s = stateTime{g.State, now}
		m.states[k] = s
	}
	return now.Sub(s.at)
}

// since returns since when key has been noted in times, noting it now when it
// was not.
func since[K comparable](times map[K]time.Time, key K, now time.Time) time.Time {
	at, ok := times[key]
	if !ok {
		times[key] = now
		return now
	}
	return at
}

// tidy forgets what concerns groups and VMs that are gone.
func (m *Memory) tidy(v View) {
	forgetGone(v, m.faults)
	forgetGone(v, m.states)
	forgetGone(v, m.drains)
	forgetGone(v, m.idle)
	forgetGone(v, m.slow)
	forgetGone(v, m.replace)
	for vm := range m.orders {
		if _, ok := v.Board.VMs[vm]; !ok {
			delete(m.orders, vm)
		}
	}
}

func forgetGone[V any](v View, times map[groupEpoch]V) {
	for k := range times {
		if g, ok := v.Board.Groups[k.group]; !ok || g.Epoch != k.epoch {
			delete(times, k)
		}
	}
}
