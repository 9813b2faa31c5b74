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

// poolEngine is an engine that forms groups with others on their word alone,
// and checks neither that all members are there nor that it is in one group.
type poolEngine struct {
	address, id, domain string
	dataCentre          string
	// coldUntil is until when it is cold.
	coldUntil time.Time
	// born is when the present life began. It stays 0 unless reborn, which says that
	// the engine keeps its id when it starts again.
	born             int64
	reborn           bool
	sequence         uint64
	starts           int
	alive, cut       bool
	backAt, cutUntil time.Time
	// What it has been told.
	group   string
	epoch   uint64
	highest uint64
	members []string
	phase   backend.Phase
	phaseAt time.Time
	model   string
	staged  string
	// last is the head of the last group that it was in since its start, and
	// that group, also once it has left.
	last      string
	lastGroup string
	lastEpoch uint64
	// lostAt is when an open head lost a member.
	lostAt time.Time
	beatAt time.Time
}

// poolOrder is an order on its way.
type poolOrder struct {
	at   time.Time
	to   string
	from *Memory
	plan PlannedOrder
	// answered says that the sender hears of it.
	answered bool
}

// poolWorld is the real board, evidence and controllers before fake engines of
// one pool, on a virtual clock.
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
	late    []lateWord
	ready   map[string]bool
	served  time.Duration
	// load is how long weights take from the store, and busyLoad from when callers are
	// there, if that is longer.
	load, busyLoad time.Duration
	// storeRate and storeAtOnce are the limits of the store.
	storeRate   float64
	storeAtOnce int

	faulty bool
	// unused says that no callers use the groups, so that no entry tells anything.
	unused bool
	// way is how long an order is on its way.
	way time.Duration
	// processor is what the leader sends orders with; nil sends at once.
	processor *busyProcessor
	// callersAt is when callers come; zero lets them come once a group serves.
	callersAt time.Time
	// cold is how long engines are cold after they have started, and coldPerSecond what their
	// service states for it.
	cold          time.Duration
	coldPerSecond float64
	// fetched are the times at which engines began to load from the store after that.
	fetched []time.Time
}

const (
	simBeat  = 1200 * time.Millisecond
	simStep  = 50 * time.Millisecond
	simStall = 4 * time.Second
)

func newPoolWorld(t *testing.T, seed uint64, domains, each int) *poolWorld {
	return newPoolWorldOf(t, seed, domains, each, false)
}

// newPoolWorldOf returns a pool whose engines keep their ids when they start
// again, if reborn, or get new ones.
func newPoolWorldOf(t *testing.T, seed uint64, domains, each int, reborn bool) *poolWorld {
	w := &poolWorld{
		t: t, r: rand.New(rand.NewPCG(seed, 99)), now: simStart, board: blackboard.New(),
		table: evidence.NewTable("e", 1), ready: make(map[string]bool), term: 1, load: 14 * time.Second, way: 10 * time.Millisecond,
		storeRate: 4.5, storeAtOnce: 6,
	}
	w.table.SetInterval(simBeat)
	w.memory = NewMemory(w.now, 0)
	w.apply(&blackboard.Found{ClusterID: "c", NowMillis: w.now.UnixMilli()})
	w.apply(&blackboard.PutEntry{Entry: blackboard.Entry{ID: "e"}})
	w.configure(1, simModels)
	for d := range domains {
		for i := range each {
			e := &poolEngine{address: fmt.Sprintf("vm-%d-%d", d, i), domain: fmt.Sprintf("d%d", d), reborn: reborn}
			e.start(w.now)
			w.engines = append(w.engines, e)
		}
	}
	return w
}

// simModels are served from the pool unless a test says otherwise.
var simModels = []blackboard.ModelSpec{
	{Name: "wide", VMs: 4, Share: 0.57, LoadMillis: 14_000, StagedMillis: 1500},
	{Name: "narrow", VMs: 3, Share: 0.43, LoadMillis: 14_000, StagedMillis: 1500},
}

func (w *poolWorld) configure(version uint64, models []blackboard.ModelSpec) {
	w.apply(&blackboard.ReplaceConfiguration{Version: version, Services: []blackboard.ServiceSpec{{
		Name: "pool", ColdMillis: w.cold.Milliseconds(), ColdPerSecond: w.coldPerSecond,
		Engine: &blackboard.EngineSpec{Slots: 4, LoadsPerSecond: w.storeRate, LoadsAtOnce: w.storeAtOnce, Models: models},
	}}})
}

// serveOnly leaves one of the models.
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
	if e.reborn {
		e.id, e.born = e.address+"#1", now.UnixMilli()
	} else {
		e.id = e.address + "#" + strconv.Itoa(e.starts)
	}
	e.alive, e.sequence, e.highest = true, 0, 0
	e.leave(now)
	e.model, e.last = "", ""
	e.beatAt = now
}

// incarnation is the product's name of the present life.
func (e *poolEngine) incarnation() string { return e.id + lifeMark + strconv.FormatInt(e.born, 10) }

// lifeMark ends the id in an incarnation.
const lifeMark = "@"

// engineID is the id in an incarnation, which is all that orders carry.
func engineID(incarnation string) string {
	id, _, _ := strings.Cut(incarnation, lifeMark)
	return id
}

func (e *poolEngine) leave(now time.Time) {
	e.group, e.epoch, e.members, e.phase, e.phaseAt, e.lostAt = "", 0, nil, backend.PhaseIdle, now, time.Time{}
	e.beatAt = now
}

func (e *poolEngine) to(now time.Time, p backend.Phase) {
	e.phase, e.phaseAt, e.beatAt = p, now, now
}

// engine returns the engine with this id, or that of this incarnation.
func (w *poolWorld) engine(name string) *poolEngine {
	for _, e := range w.engines {
		if e.id == engineID(name) {
			return e
		}
	}
	return nil
}

func readyKey(id, group string, epoch uint64, members []string) string {
	return fmt.Sprint(id, group, epoch, members)
}

// head returns the engine that heads the group that e was last in, if it still
// does: a member that has left an open group is not free to join another.
func (w *poolWorld) head(e *poolEngine) *poolEngine {
	h := w.engine(e.last)
	if h == nil || !h.alive || h.group != e.lastGroup || h.epoch != e.lastEpoch {
		return nil
	}
	return h
}

// step lets an engine's time pass.
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
	switch {
	case e.phase == backend.PhaseLoading && !now.Before(e.phaseAt):
		e.to(now, backend.PhaseReady)
		e.staged = e.model
		w.ready[readyKey(e.id, e.group, e.epoch, e.members)] = true
	case e.phase == backend.PhaseClosing:
		e.to(now, backend.PhaseReady)
	case e.phase == backend.PhaseOpen:
		w.watchMembers(e)
	}
}

// watchMembers makes a head stall and break that has lost a member, and checks
// that it opened whole.
func (w *poolWorld) watchMembers(e *poolEngine) {
	lost := false
	for _, id := range e.members {
		assert.Assert(w.t, w.ready[readyKey(id, e.group, e.epoch, e.members)],
			"%s serves for %s epoch %d, and %s was never ready in it", e.id, e.group, e.epoch, id)
		m := w.engine(id)
		lost = lost || m == nil || !m.alive || m.group != e.group || m.epoch != e.epoch
	}
	size := w.board.Config.Groups[e.model].VMsPerReplica
	assert.Equal(w.t, len(e.members), size, "%s serves with the wrong number of members", e.id)
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

// take carries an order out and tells whether it was accepted.
func (w *poolWorld) take(e *poolEngine, o backend.Order) bool {
	inEpoch := e.group == o.Group && e.epoch == o.Token.Epoch
	switch o.Kind {
	case backend.OrderLoad:
		return w.join(e, o)
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
	// An order that comes late may take it into the group that it has left.
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
	case e.staged == o.Model:
		delay = 1500 * time.Millisecond
	default:
		delay = w.load
		if w.board.CallersMillis != 0 {
			w.fetched = append(w.fetched, w.now)
			delay = max(w.load, w.busyLoad)
		}
	}
	e.group, e.epoch, e.members, e.model, e.lostAt = o.Group, o.Token.Epoch, members, o.Model, time.Time{}
	e.last, e.lastGroup, e.lastEpoch = members[0], o.Group, o.Token.Epoch
	e.phase, e.phaseAt, e.beatAt = backend.PhaseLoading, w.now.Add(delay), w.now
	return true
}

func (w *poolWorld) beat(e *poolEngine) {
	if !e.alive || e.cut || w.now.Before(e.beatAt) {
		return
	}
	e.sequence++
	e.beatAt = w.now.Add(simBeat)
	var staged []string
	if e.staged != "" {
		staged = []string{e.staged}
	}
	a := backend.Announcement{
		ID: e.address, Incarnation: e.incarnation(), StartedMillis: e.born, Sequence: e.sequence, Kind: backend.KindEngine,
		Address: e.address, DataCentre: e.dataCentre, ColdMillis: max(0, e.coldUntil.Sub(w.now).Milliseconds()), FabricDomain: e.domain, Accelerators: 1, Service: "pool",
		Group: e.group, Epoch: e.epoch, Phase: e.phase, Weights: staged,
	}
	if e.reborn && w.faulty && w.r.IntN(8) == 0 {
		// Held up on its way; the sender may have started again by then.
		w.late = append(w.late, lateWord{w.now.Add(time.Duration(w.r.IntN(9000)) * time.Millisecond), a})
		return
	}
	w.table.Hear(w.now, "e", a)
}

// lateWord is an announcement on its way.
type lateWord struct {
	at time.Time
	a  backend.Announcement
}

// hearLate lets announcements arrive that were held up.
func (w *poolWorld) hearLate() {
	var left []lateWord
	for _, l := range w.late {
		if w.now.Before(l.at) {
			left = append(left, l)
			continue
		}
		w.table.Hear(w.now, "e", l.a)
	}
	w.late = left
}

// lead runs the controllers once, as the leader does.
func (w *poolWorld) lead() {
	w.letCallersCome()
	w.table.Digest(w.now, evidence.Cursor{})
	actions := Run(View{
		Board: w.board, Evidence: w.table, Memory: w.memory, Term: w.term, LeaseUntil: w.now.Add(2 * time.Second), Stalled: w.stalled(),
		Timing: Timing{Paused: 3 * time.Second, Dead: 3 * time.Second, Fault: 300 * time.Millisecond, Start: 6 * time.Second,
			Resend: 700 * time.Millisecond, Settle: 250 * time.Millisecond, SettleMost: 8 * time.Second, Stall: simStall},
	}, w.now)
	for _, c := range actions.Commands {
		w.apply(c)
	}
	for _, p := range actions.Orders {
		w.send(p)
	}
}

// letCallersCome notes callers on the board once they are there.
func (w *poolWorld) letCallersCome() {
	if w.board.CallersMillis != 0 || (w.callersAt.IsZero() && len(w.serving()) == 0) || w.now.Before(w.callersAt) {
		return
	}
	w.apply(&blackboard.NoteCallers{NowMillis: w.now.UnixMilli()})
}

// stalled is what entries would tell: heads that have stood still for a while,
// and now and then one that has not.
func (w *poolWorld) stalled() map[StalledGroup]time.Time {
	out := make(map[StalledGroup]time.Time)
	if w.unused {
		return out
	}
	for _, e := range w.engines {
		if !e.alive || e.phase != backend.PhaseOpen {
			continue
		}
		truly := !e.lostAt.IsZero() && w.now.Sub(e.lostAt) > 350*time.Millisecond
		if truly || (w.faulty && w.r.IntN(4000) == 0) {
			out[StalledGroup{e.group, e.epoch}] = w.now
		}
	}
	return out
}

// send puts an order on its way: most arrive at once, some are lost, some are
// carried out seconds later without an answer.
func (w *poolWorld) send(p PlannedOrder) {
	o := poolOrder{at: w.now.Add(w.way), to: p.VM, from: w.memory, plan: p, answered: true}
	if w.processor != nil {
		sent, inTime := w.processor.send(w.now, p.Deadline)
		if !inTime {
			return
		}
		o.at = sent
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
			// An order names the id; any other refuses it, but not a later life of
			// the same id.
			if e.address != o.to || !e.alive || e.cut || e.id != engineID(o.plan.Order.Incarnation) {
				continue
			}
			accepted := w.take(e, o.plan.Order)
			if o.answered {
				o.from.Answered(w.now, o.plan, backend.OrderReply{Accepted: accepted}, nil)
			}
		}
	}
	w.orders = left
}

// disturb lets one of the troubles begin now and then.
func (w *poolWorld) disturb() {
	e := w.engines[w.r.IntN(len(w.engines))]
	switch w.r.IntN(120) {
	case 0: // crashes and comes back as another incarnation
		if e.alive {
			e.alive = false
			e.backAt = w.now.Add(time.Duration(500+w.r.IntN(6000)) * time.Millisecond)
		}
	case 1: // is cut off from the control processes and works on
		if e.alive {
			e.cut = true
			e.cutUntil = w.now.Add(time.Duration(1000+w.r.IntN(11_000)) * time.Millisecond)
		}
	case 2: // the leader changes and remembers nothing
		if w.r.IntN(4) == 0 {
			w.term++
			w.memory = NewMemory(w.now, 500*time.Millisecond)
		}
	case 3: // a whole domain goes dark
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
			w.disturb()
		}
		w.deliver()
		w.hearLate()
		for _, e := range w.engines {
			w.step(e)
			w.beat(e)
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
