package controller

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// poolEngine is an engine that forms groups with others as the orders state. It checks neither
// that all members have joined nor that it is in one group only.
type poolEngine struct {
	address, id, domain string
	dataCentre          string
	// coldUntil is the end of its slow-start period.
	coldUntil time.Time
	// startedMillis is when the present incarnation started. It stays 0 unless keepsID is true;
	// then the engine keeps its ID when it restarts.
	startedMillis    int64
	keepsID          bool
	sequence         uint64
	starts           int
	alive, cut       bool
	backAt, cutUntil time.Time
	// The fields from group to phase hold the last order.
	group   string
	epoch   uint64
	highest uint64
	members []string
	phase   backend.Phase
	phaseAt time.Time
	model   string
	// staged is the model on the host, which a restart keeps. staging is the model that the host
	// fetches until stagingUntil.
	staged       string
	staging      string
	stagingUntil time.Time
	// last is the head of the last group that the engine was in since its start, and lastGroup
	// and lastEpoch identify that group, also after the engine has left it.
	last      string
	lastGroup string
	lastEpoch uint64
	// lostAt is when an open head lost a member.
	lostAt     time.Time
	announceAt time.Time
}

// poolOrder is an order in transit.
type poolOrder struct {
	at   time.Time
	to   string
	from *Memory
	plan PlannedOrder
	// answered is true if the sender receives the answer.
	answered bool
}

// poolWorld simulates one pool on a virtual clock: the real board, evidence and controllers with
// fake engines.
type poolWorld struct {
	t       *testing.T
	r       *rand.Rand
	now     time.Time
	board   *blackboard.Board
	table   *evidence.Table
	memory  *Memory
	term    uint64
	engines []*poolEngine
	orders  []poolOrder
	delayed []delayedAnnouncement
	ready   map[readiness]bool
	served  time.Duration
	// load is how long loading weights from the store takes, and busyLoad how long it takes once
	// callers have arrived, if that is longer.
	load, busyLoad time.Duration
	// storeRate and storeAtOnce are the limits of the store.
	storeRate   float64
	storeAtOnce int

	faulty bool
	// unused is true if no callers use the groups, so that no entry reports a stall.
	unused bool
	// orderDelay is the transit time of an order.
	orderDelay time.Duration
	// processor sends the leader's orders; if nil, orders are sent at once.
	processor *busyProcessor
	// callersAt is when callers arrive; if zero, they arrive once a group serves.
	callersAt time.Time
	// cold is how long engines are cold after their start, and coldPerSecond the rate for cold
	// instances in the service's configuration.
	cold          time.Duration
	coldPerSecond float64
	// demand returns what callers ask of the models; nil for nothing.
	demand func(now time.Time) Demand
	// stageAfter is the time after which the host of a VM that is ready holds the pool's other
	// model; 0 for never.
	stageAfter time.Duration
	// holdBack returns true for an order that the network holds back until the test delivers it.
	holdBack func(PlannedOrder) bool
	// silentOrders is true if orders are carried out three seconds late and without an answer.
	silentOrders bool
	// fetched holds when engines began to load from the store after callers had arrived.
	fetched []time.Time
	// stagedModels is how many models a host keeps by the configuration; the engines keep one.
	stagedModels int
	// stageOrders counts the orders to stage by VM.
	stageOrders map[string]int
	// ignoresStaging is true if engines accept orders to stage without an effect.
	ignoresStaging bool
}

const (
	simAnnounceInterval = 1200 * time.Millisecond
	simStep             = 50 * time.Millisecond
	simStall            = 4 * time.Second
)

func newPoolWorld(t *testing.T, seed uint64, domains, each int) *poolWorld {
	return newPoolWorldOf(t, seed, domains, each, false)
}

// newPoolWorldOf returns a pool whose engines keep their IDs when they restart, if keepsID, or
// get new ones.
func newPoolWorldOf(t *testing.T, seed uint64, domains, each int, keepsID bool) *poolWorld {
	w := &poolWorld{
		t: t, r: rand.New(rand.NewPCG(seed, 99)), now: simStart, board: blackboard.New(),
		table: evidence.NewTable("e", 1), ready: make(map[readiness]bool), term: 1, load: 14 * time.Second, orderDelay: 10 * time.Millisecond,
		storeRate: 4.5, storeAtOnce: 6, stageOrders: make(map[string]int),
	}
	w.table.SetInterval(simAnnounceInterval)
	w.memory = NewMemory(w.now, 0)
	w.apply(&blackboard.Found{ClusterID: "c", NowMillis: w.now.UnixMilli()})
	w.apply(&blackboard.PutEntry{Entry: blackboard.Entry{ID: "e"}})
	w.configure(1, simModels)
	for d := range domains {
		for i := range each {
			e := &poolEngine{address: fmt.Sprintf("vm-%d-%d", d, i), domain: fmt.Sprintf("d%d", d), keepsID: keepsID}
			e.start(w.now)
			w.engines = append(w.engines, e)
		}
	}
	return w
}

// simModels are the models of the pool unless a test configures others.
var simModels = []blackboard.ModelSpec{
	{Name: "wide", VMs: 4, Share: 0.57, LoadMillis: 14_000, StagedMillis: 1500},
	{Name: "narrow", VMs: 3, Share: 0.43, LoadMillis: 14_000, StagedMillis: 1500},
}

func (w *poolWorld) configure(version uint64, models []blackboard.ModelSpec) {
	w.apply(&blackboard.ReplaceConfiguration{Version: version, Services: []blackboard.ServiceSpec{{
		Name: "pool", ColdMillis: w.cold.Milliseconds(), ColdPerSecond: w.coldPerSecond,
		Engine: &blackboard.EngineSpec{Slots: 4, LoadsPerSecond: w.storeRate, LoadsAtOnce: w.storeAtOnce, StagedModels: w.stagedModels, Models: models},
	}}})
}

func otherModel(model string) string {
	if model == "wide" {
		return "narrow"
	}
	return "wide"
}

// serveOnly configures only the given model.
func (w *poolWorld) serveOnly(model string) {
	for _, m := range simModels {
		if m.Name == model {
			w.configure(2, []blackboard.ModelSpec{m})
		}
	}
}

func (w *poolWorld) apply(c blackboard.Command) {
	encoded, err := blackboard.Encode(c)
	assert.NilError(w.t, err)
	w.board, _, err = w.board.Apply(encoded)
	assert.NilError(w.t, err)
}

func (e *poolEngine) start(now time.Time) {
	e.starts++
	if e.keepsID {
		e.id, e.startedMillis = e.address+"#1", now.UnixMilli()
	} else {
		e.id = e.address + "#" + strconv.Itoa(e.starts)
	}
	e.alive, e.sequence, e.highest = true, 0, 0
	e.leave(now)
	e.model, e.last, e.staging = "", "", ""
	e.announceAt = now
}

// incarnation returns the name of the present incarnation as backend servers announce it.
func (e *poolEngine) incarnation() string {
	return e.id + incarnationSeparator + strconv.FormatInt(e.startedMillis, 10)
}

// incarnationSeparator separates the ID in an incarnation from the start time.
const incarnationSeparator = "@"

// engineID returns the ID in an incarnation; orders to engines carry only the ID.
func engineID(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, incarnationSeparator)
	return id
}

func (e *poolEngine) leave(now time.Time) {
	e.group, e.epoch, e.members, e.phase, e.phaseAt, e.lostAt = "", 0, nil, backend.PhaseIdle, now, time.Time{}
	e.announceAt = now
}

func (e *poolEngine) to(now time.Time, p backend.Phase) {
	e.phase, e.phaseAt, e.announceAt = p, now, now
}

// engine returns the engine with this ID or incarnation, or nil.
func (w *poolWorld) engine(name string) *poolEngine {
	for _, e := range w.engines {
		if e.id == engineID(name) {
			return e
		}
	}
	return nil
}

// readiness is an engine's readiness in one group, epoch and list of members.
type readiness struct {
	id, group string
	epoch     uint64
	members   string
}

// head returns the head of the group that e was last in, if that engine is still in the group. A
// member that has left an open group may not join another yet.
func (w *poolWorld) head(e *poolEngine) *poolEngine {
	h := w.engine(e.last)
	if h == nil || !h.alive || h.group != e.lastGroup || h.epoch != e.lastEpoch {
		return nil
	}
	return h
}

// step advances one engine to the present time.
func (w *poolWorld) step(e *poolEngine) {
	now := w.now
	if !e.backAt.IsZero() && !now.Before(e.backAt) {
		e.backAt = time.Time{}
		e.start(now)
		e.coldUntil = now.Add(w.cold)
	}
	if e.cut && !now.Before(e.cutUntil) {
		e.cut = false
	}
	if !e.alive {
		return
	}
	if e.staging != "" && !now.Before(e.stagingUntil) {
		e.staged, e.staging, e.announceAt = e.staging, "", now
	}
	inService := e.phase == backend.PhaseReady || e.phase == backend.PhaseOpen
	if w.stageAfter > 0 && inService && now.Sub(e.phaseAt) >= w.stageAfter {
		e.staged = otherModel(e.model)
	}
	switch {
	case e.phase == backend.PhaseLoading && !now.Before(e.phaseAt):
		e.to(now, backend.PhaseReady)
		e.staged = e.model
		w.ready[readiness{e.id, e.group, e.epoch, strings.Join(e.members, " ")}] = true
	case e.phase == backend.PhaseClosing:
		e.to(now, backend.PhaseReady)
	case e.phase == backend.PhaseOpen:
		w.watchMembers(e)
	}
}

// watchMembers makes an open head stall and then fail when it has lost a member. It also checks
// that the head opened with all members.
func (w *poolWorld) watchMembers(e *poolEngine) {
	lost := false
	members := strings.Join(e.members, " ")
	for _, id := range e.members {
		if !w.ready[readiness{id, e.group, e.epoch, members}] {
			w.t.Fatalf("%s serves for %s epoch %d, and %s was never ready in it", e.id, e.group, e.epoch, id)
		}
		m := w.engine(id)
		lost = lost || m == nil || !m.alive || m.group != e.group || m.epoch != e.epoch
	}
	size := w.board.Config.Groups[e.model].VMsPerReplica
	if len(e.members) != size {
		w.t.Fatalf("%s serves with %d members, not %d", e.id, len(e.members), size)
	}
	switch {
	case !lost:
		e.lostAt = time.Time{}
		w.served += simStep
	case e.lostAt.IsZero():
		e.lostAt = w.now
	case w.now.Sub(e.lostAt) >= simStall:
		e.to(w.now, backend.PhaseFailed)
	}
}

// take carries out an order and reports whether the engine accepted it.
func (w *poolWorld) take(e *poolEngine, o backend.Order) bool {
	inEpoch := e.group == o.Group && e.epoch == o.Token.Epoch
	switch o.Kind {
	case backend.OrderLoad:
		return w.join(e, o)
	case backend.OrderStage:
		w.stage(e, o.Model)
	case backend.OrderOpen:
		if !inEpoch || (e.phase != backend.PhaseReady && e.phase != backend.PhaseOpen) {
			return false
		}
		if e.phase == backend.PhaseReady {
			e.to(w.now, backend.PhaseOpen)
		}
	case backend.OrderClose:
		if inEpoch && e.phase == backend.PhaseOpen {
			e.to(w.now, backend.PhaseClosing)
		}
		return inEpoch
	case backend.OrderRelease:
		if inEpoch {
			e.leave(w.now)
		}
	}
	return true
}

func (w *poolWorld) join(e *poolEngine, o backend.Order) bool {
	var members []string
	for _, m := range o.Members {
		members = append(members, engineID(m.Incarnation))
	}
	if o.Token.Epoch < e.highest {
		return false
	}
	same := e.group == o.Group && e.epoch == o.Token.Epoch
	if same {
		return fmt.Sprint(members) == fmt.Sprint(e.members)
	}
	// A late order may make the engine join the group that it has left.
	again := e.lastGroup == o.Group && e.lastEpoch == o.Token.Epoch
	if h := w.head(e); h != nil && !again {
		serving := h.phase == backend.PhaseOpen || h.phase == backend.PhaseClosing
		assert.Assert(w.t, !serving, "%s joins %s epoch %d while %s, the head of its group %s epoch %d, is %s",
			e.id, o.Group, o.Token.Epoch, h.id, e.lastGroup, e.lastEpoch, h.phase)
	}
	e.highest = o.Token.Epoch
	delay := 200 * time.Millisecond
	switch {
	case e.model == o.Model:
	case e.staging == o.Model:
		delay = e.stagingUntil.Sub(w.now) + 1500*time.Millisecond
	case e.staged == o.Model:
		delay = 1500 * time.Millisecond
	default:
		delay = w.fetch()
	}
	e.group, e.epoch, e.members, e.model, e.lostAt = o.Group, o.Token.Epoch, members, o.Model, time.Time{}
	e.last, e.lastGroup, e.lastEpoch = members[0], o.Group, o.Token.Epoch
	e.phase, e.phaseAt, e.announceAt = backend.PhaseLoading, w.now.Add(delay), w.now
	return true
}

// fetch begins a load from the store and returns how long it takes.
func (w *poolWorld) fetch() time.Duration {
	if w.board.FirstRequestMillis == 0 {
		return w.load
	}
	w.fetched = append(w.fetched, w.now)
	return max(w.load, w.busyLoad)
}

// stage makes the host of an engine fetch a model beside the engine's other work.
func (w *poolWorld) stage(e *poolEngine, model string) {
	w.stageOrders[e.address]++
	if w.ignoresStaging || e.staged == model || e.staging == model {
		return
	}
	e.staging, e.stagingUntil = model, w.now.Add(w.fetch())
}

func (w *poolWorld) announce(e *poolEngine) {
	if !e.alive || e.cut || w.now.Before(e.announceAt) {
		return
	}
	e.sequence++
	e.announceAt = w.now.Add(simAnnounceInterval)
	var staged []string
	if e.staged != "" {
		staged = []string{e.staged}
	}
	a := backend.Announcement{
		ID: e.address, Incarnation: e.incarnation(), StartedMillis: e.startedMillis, Sequence: e.sequence, Kind: backend.KindEngine,
		Address: e.address, DataCentre: e.dataCentre, ColdMillis: max(0, e.coldUntil.Sub(w.now).Milliseconds()), FabricDomain: e.domain, Accelerators: 1, Service: "pool",
		Group: e.group, Epoch: e.epoch, Phase: e.phase, Weights: staged,
	}
	if e.keepsID && w.faulty && w.r.IntN(8) == 0 {
		// The announcement is delayed; its sender may have restarted when it arrives.
		w.delayed = append(w.delayed, delayedAnnouncement{w.now.Add(time.Duration(w.r.IntN(9000)) * time.Millisecond), a})
		return
	}
	w.table.Record(w.now, "e", a)
}

// delayedAnnouncement is an announcement in transit.
type delayedAnnouncement struct {
	at time.Time
	a  backend.Announcement
}

// receiveDelayed delivers the delayed announcements that are due.
func (w *poolWorld) receiveDelayed() {
	var left []delayedAnnouncement
	for _, l := range w.delayed {
		if w.now.Before(l.at) {
			left = append(left, l)
			continue
		}
		w.table.Record(w.now, "e", l.a)
	}
	w.delayed = left
}

// lead runs the controllers once, as the leader does.
func (w *poolWorld) lead() {
	w.letCallersCome()
	w.table.Digest(w.now, evidence.Cursor{})
	var d Demand
	if w.demand != nil {
		d = w.demand(w.now)
	}
	actions := Run(View{
		Demand: d, Board: w.board, Evidence: w.table, Memory: w.memory, Term: w.term, LeaseUntil: w.now.Add(2 * time.Second), ConfirmedStalls: w.stalled(),
		Timing: Timing{PausedAfter: 3 * time.Second, DeadAfter: 3 * time.Second, FaultTimeout: 300 * time.Millisecond, StartTimeout: 6 * time.Second,
			ResendAfter: 700 * time.Millisecond, RejoinWait: 250 * time.Millisecond, MaxRejoinWait: 8 * time.Second, Stall: simStall},
	}, w.now)
	for _, c := range actions.Commands {
		w.apply(c)
	}
	for _, p := range actions.Orders {
		w.send(p)
	}
}

// letCallersCome records callers on the board once they have arrived.
func (w *poolWorld) letCallersCome() {
	if w.board.FirstRequestMillis != 0 || (w.callersAt.IsZero() && len(w.serving()) == 0) || w.now.Before(w.callersAt) {
		return
	}
	w.apply(&blackboard.RecordFirstRequest{NowMillis: w.now.UnixMilli()})
}

// stalled returns the stalls that entries would report: heads that have stalled for some time,
// and now and then a head that has not.
func (w *poolWorld) stalled() map[GroupEpoch]time.Time {
	out := make(map[GroupEpoch]time.Time)
	if w.unused {
		return out
	}
	for _, e := range w.engines {
		if !e.alive || e.phase != backend.PhaseOpen {
			continue
		}
		truly := !e.lostAt.IsZero() && w.now.Sub(e.lostAt) > 350*time.Millisecond
		if truly || (w.faulty && w.r.IntN(4000) == 0) {
			out[GroupEpoch{e.group, e.epoch}] = w.now
		}
	}
	return out
}

// send sends an order. Most orders arrive at once, some are lost, and some are carried out
// seconds later without an answer.
func (w *poolWorld) send(p PlannedOrder) {
	if w.holdBack != nil && w.holdBack(p) {
		return
	}
	o := poolOrder{at: w.now.Add(w.orderDelay), to: p.VM, from: w.memory, plan: p, answered: true}
	if w.processor != nil {
		sent, inTime := w.processor.send(w.now, p.Deadline)
		if !inTime {
			return
		}
		o.at = sent
	}
	if w.silentOrders {
		o.at, o.answered = w.now.Add(3*time.Second), false
	}
	if w.faulty {
		switch w.r.IntN(10) {
		case 0:
			return
		case 1, 2:
			o.at, o.answered = w.now.Add(2*time.Second+time.Duration(w.r.IntN(10_000))*time.Millisecond), false
		case 3:
			o.answered = false
		}
	}
	w.orders = append(w.orders, o)
}

func (w *poolWorld) deliver() {
	var left []poolOrder
	for _, o := range w.orders {
		if w.now.Before(o.at) {
			left = append(left, o)
			continue
		}
		for _, e := range w.engines {
			// An order names the ID. An engine with another ID refuses it, but a later
			// incarnation with the same ID does not.
			if e.address != o.to || !e.alive || e.cut || e.id != engineID(o.plan.Order.Incarnation) {
				continue
			}
			accepted := w.take(e, o.plan.Order)
			if o.answered {
				o.from.RecordAnswer(w.now, o.plan, backend.OrderReply{Accepted: accepted}, nil)
			}
		}
	}
	w.orders = left
}

// injectFault starts a random fault in some of the steps.
func (w *poolWorld) injectFault() {
	e := w.engines[w.r.IntN(len(w.engines))]
	switch w.r.IntN(120) {
	case 0: // crashes and returns as another incarnation
		if e.alive {
			e.alive = false
			e.backAt = w.now.Add(time.Duration(500+w.r.IntN(6000)) * time.Millisecond)
		}
	case 1: // is cut off from the control processes and continues to work
		if e.alive {
			e.cut = true
			e.cutUntil = w.now.Add(time.Duration(1000+w.r.IntN(11_000)) * time.Millisecond)
		}
	case 2: // the leader changes and starts with an empty memory
		if w.r.IntN(4) == 0 {
			w.term++
			w.memory = NewMemory(w.now, 500*time.Millisecond)
		}
	case 3: // a complete domain fails
		if w.r.IntN(12) == 0 {
			for _, o := range w.engines {
				if o.domain == e.domain && o.alive {
					o.alive = false
					o.backAt = w.now.Add(4 * time.Second)
				}
			}
		}
	}
}

func (w *poolWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simStep) {
		if w.faulty {
			w.injectFault()
		}
		w.deliver()
		w.receiveDelayed()
		for _, e := range w.engines {
			w.step(e)
			w.announce(e)
		}
		w.lead()
	}
}

func (w *poolWorld) serving() map[string]int {
	n := make(map[string]int)
	for _, g := range w.board.Groups {
		if g.State == blackboard.Serving {
			n[g.Model]++
		}
	}
	return n
}
