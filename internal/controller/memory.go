package controller

import (
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

// Memory is the state that one leader keeps between runs. Its loss is harmless: a new leader
// starts with an empty Memory and reaches the same decisions later.
type Memory struct {
	// ordersFrom is the time from which this leader may send orders: the lease of any earlier
	// leader has certainly ended.
	ordersFrom time.Time
	// firstEpoch is the first epoch that this leader may form; earlier ones are earlier leaders'.
	firstEpoch uint64
	// majoritySince is the time since which evidence from a majority of the entries has arrived
	// without a break; zero while it does not arrive.
	majoritySince time.Time
	// massSilenceAt is when most VMs were last silent at the same time.
	massSilenceAt time.Time
	orders        map[string]*orderRecord
	// unsettled holds the orders that engines may carry out late, by VM.
	unsettled map[string][]unsettledOrder
	// holds holds the former group of each VM that unsettled orders last kept from being freed.
	holds map[string]groupEpoch
	// window limits the orders in flight.
	window *orderWindow
	// faults holds the time since which a group epoch has shown each of its faults.
	faults map[groupEpoch]map[string]time.Time
	// states holds the time since which this leader has observed a group epoch in its state. The
	// blackboard's times come from other leaders' clocks.
	states map[groupEpoch]stateTime
	// drainSince holds the time since which a group epoch has had a reason to be drained.
	drainSince map[groupEpoch]time.Time
	// idleSince holds the time since which a draining group has reported no work.
	idleSince map[groupEpoch]time.Time
	// unhealthySince holds the time since which a serving group has had a member that is not
	// alive. beingReplaced marks the groups among these that are being replaced.
	unhealthySince map[groupEpoch]time.Time
	beingReplaced  map[groupEpoch]bool
	// avoidUntil holds the time until which a VM whose load failed stays out of new groups.
	avoidUntil map[string]time.Time
	// shortSince holds the time since which a spec has had fewer groups than wanted.
	shortSince map[string]time.Time
	policy     policy
	// stagings holds the orders to stage a model, by VM. An order to stage belongs to no group, so
	// it is kept apart from orders, which prove what an engine has left.
	stagings map[string]*staging
	// stores holds the state of each pool's weight store.
	stores map[string]*weightStore
	// models holds which model each VM of a pool has in its accelerators.
	models map[string]loadedModel
	// layouts holds which groups each fabric domain of a pool is to form and which models its
	// other VMs are to hold. gatherings tracks how many VMs of the domains without a layout are
	// known.
	layouts map[string]packing.Layout
	// planned is the number of groups of each model over all layouts.
	planned    map[string]int
	gatherings map[string]gathering
	// histories holds the observed failures and returns of the VMs of each pool.
	histories map[string]*history
	// evacuatedLayouts holds the layouts of domains whose data centre is evacuated, for their
	// return.
	evacuatedLayouts map[string]packing.Layout
	// markedSince holds the time since which this leader has observed the mark of each cold
	// backend server.
	markedSince map[string]time.Time
	// turning holds the groups that are given up for groups of another model.
	turning turning
}

type groupEpoch struct {
	group string
	epoch uint64
}

// orderRecord is what this leader knows about its orders to one VM.
type orderRecord struct {
	kind        backend.OrderKind
	target      groupEpoch
	incarnation string
	// firstSentAt is when the order was first sent, sentAt when it was last sent.
	firstSentAt, sentAt time.Time
	// fetches is true if the order makes the VM load from the weight store.
	fetches bool
	// lastLoadDeadline is the latest deadline of any load order sent to the VM.
	lastLoadDeadline time.Time
	accepted         bool
	// notBefore is the end of the back-off that the engine asked for when it refused an order.
	notBefore time.Time
	// acceptedAt is when the engine's acceptance arrived.
	acceptedAt time.Time
	// firstSequence is the sequence number of the first announcement received after the
	// acceptance. That announcement may have been sent before the acceptance, so only later ones
	// confirm anything.
	firstSequence uint64
}

// NewMemory returns the memory of a leader whose term begins now. oldLease is the longest lease
// that an earlier leader may still hold.
func NewMemory(now time.Time, oldLease time.Duration) *Memory {
	return &Memory{
		ordersFrom:       now.Add(oldLease + driftMargin),
		orders:           make(map[string]*orderRecord),
		unsettled:        make(map[string][]unsettledOrder),
		holds:            make(map[string]groupEpoch),
		window:           newOrderWindow(),
		faults:           make(map[groupEpoch]map[string]time.Time),
		states:           make(map[groupEpoch]stateTime),
		drainSince:       make(map[groupEpoch]time.Time),
		idleSince:        make(map[groupEpoch]time.Time),
		unhealthySince:   make(map[groupEpoch]time.Time),
		beingReplaced:    make(map[groupEpoch]bool),
		avoidUntil:       make(map[string]time.Time),
		shortSince:       make(map[string]time.Time),
		models:           make(map[string]loadedModel),
		stagings:         make(map[string]*staging),
		stores:           make(map[string]*weightStore),
		gatherings:       make(map[string]gathering),
		histories:        make(map[string]*history),
		evacuatedLayouts: make(map[string]packing.Layout),
		markedSince:      make(map[string]time.Time),
		turning:          newTurning(),
		policy:           defaultPolicy,
	}
}

// RecordAnswer records the outcome of a planned order. An error does not show whether the engine
// carried out the order.
func (m *Memory) RecordAnswer(now time.Time, o PlannedOrder, reply backend.OrderReply, err error) {
	if o.Order.Kind == backend.OrderStage {
		m.recordStageAnswer(o, reply, err)
		return
	}
	m.window.recordAnswer(o.VM)
	m.settle(o, err)
	r, ok := m.orders[o.VM]
	if ok && r.incarnation == o.Order.Incarnation {
		r.recordBackoff(now, err)
	}
	if !ok || err != nil || !reply.Accepted {
		return
	}
	target := groupEpoch{o.Order.Group, o.Order.Token.Epoch}
	if r.kind != o.Order.Kind || r.target != target || r.incarnation != o.Order.Incarnation || r.accepted {
		return
	}
	r.accepted = true
	r.acceptedAt = now
}

// recordBackoff records the back-off that an engine asks for in its answer to an order.
func (r *orderRecord) recordBackoff(now time.Time, err error) {
	var call *backend.CallError
	if !errors.As(err, &call) {
		return
	}
	if until := now.Add(call.Notice.RetryAfter); until.After(r.notBefore) {
		r.notBefore = until
	}
}

// sinceLoadOrder returns the time since this leader first ordered a VM to load an epoch; 0 if it
// has not ordered that.
func (m *Memory) sinceLoadOrder(vm string, epoch groupEpoch, now time.Time) time.Duration {
	o := m.orders[vm]
	if o == nil || o.kind != backend.OrderLoad || o.target != epoch {
		return 0
	}
	return now.Sub(o.firstSentAt)
}

// recordStates records the state of each group, so that times count from this run on.
func (m *Memory) recordStates(v View, now time.Time) {
	for _, g := range v.Board.Groups {
		m.timeInState(g, now)
	}
}

// recordFirstEpoch records the next epoch of the first run.
func (m *Memory) recordFirstEpoch(v View) {
	if m.firstEpoch == 0 {
		m.firstEpoch = v.Board.NextEpoch
	}
}

// updateCoverage tracks since when the silence of backend servers is meaningful.
func (m *Memory) updateCoverage(v View, now time.Time) {
	if !v.Evidence.HasMajority(now, v.Board) {
		m.majoritySince = time.Time{}
		return
	}
	if m.majoritySince.IsZero() {
		m.majoritySince = now
	}
}

type stateTime struct {
	state blackboard.GroupState
	at    time.Time
}

// timeInState returns how long this leader has observed a group in its state.
func (m *Memory) timeInState(g blackboard.Group, now time.Time) time.Duration {
	k := groupEpoch{g.ID, g.Epoch}
	s, ok := m.states[k]
	if !ok || s.state != g.State {
		s = stateTime{g.State, now}
		m.states[k] = s
	}
	return now.Sub(s.at)
}

// firstSeen returns the time recorded for key in times. If there is none, it records now and
// returns it.
func firstSeen[K comparable](times map[K]time.Time, key K, now time.Time) time.Time {
	at, ok := times[key]
	if !ok {
		times[key] = now
		return now
	}
	return at
}

// removeObsolete removes the state of groups and VMs that no longer exist.
func (m *Memory) removeObsolete(v View) {
	removeObsoleteEpochs(v, m.faults)
	removeObsoleteEpochs(v, m.states)
	removeObsoleteEpochs(v, m.drainSince)
	removeObsoleteEpochs(v, m.idleSince)
	removeObsoleteEpochs(v, m.unhealthySince)
	removeObsoleteEpochs(v, m.beingReplaced)
	removeObsoleteEpochs(v, m.turning.groups)
	removeObsoleteVMs(v, m.orders)
	removeObsoleteVMs(v, m.unsettled)
	removeObsoleteVMs(v, m.holds)
	removeObsoleteVMs(v, m.stagings)
}

func removeObsoleteVMs[V any](v View, records map[string]V) {
	for vm := range records {
		if _, ok := v.Board.VMs[vm]; !ok {
			delete(records, vm)
		}
	}
}

func removeObsoleteEpochs[V any](v View, times map[groupEpoch]V) {
	for k := range times {
		if g, ok := v.Board.Groups[k.group]; !ok || g.Epoch != k.epoch {
			delete(times, k)
		}
	}
}
