package controller

import (
	"fmt"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// simEngine is a fake engine on the virtual clock. It obeys orders as the protocol requires; if
// fencing is false, it ignores tokens and incarnations.
type simEngine struct {
	w            *world
	id, domain   string
	accelerators int
	fencing      bool

	incarnation int
	named       string
	sequence    uint64
	up, dark    bool
	leaving     bool
	running     int
	// slow is how many intervals each announcement of the engine is late.
	slow        int
	pausedUntil time.Time
	entry       int
	newest      backend.FencingToken
	group       string
	epoch       uint64
	model       string
	// loadedLate is true if the engine took up its epoch through an order delivered after its
	// deadline. The controllers correct such an order once the engine reports it; they can't
	// prevent it.
	loadedLate bool
	members    []backend.GroupMember
	phase      backend.Phase
	weights    map[string]bool
	// work counts loads and releases, so that a timer of an earlier one has no effect.
	work  int
	inbox []func()
	// lastReady is when the engine was last ready in its epoch.
	lastReady time.Time
	// allReachedAt is when the engine last reached all members.
	allReachedAt time.Time
}

func (e *simEngine) name() string { return e.named }

func (e *simEngine) paused() bool { return e.w.now.Before(e.pausedUntil) }

// isReadyIn reports whether the engine really is ready in the given epoch.
func (e *simEngine) isReadyIn(incarnation, group string, epoch uint64) bool {
	return e.up && !e.paused() && !e.dark && e.name() == incarnation &&
		e.group == group && e.epoch == epoch && e.phase == backend.PhaseReady
}

// recordReady updates lastReady. It runs at each check and at each announcement, as an engine may
// become ready and pause between two checks.
func (e *simEngine) recordReady() {
	if e.isReadyIn(e.name(), e.group, e.epoch) {
		e.lastReady = e.w.now
	}
}

func (e *simEngine) kill() {
	if !e.up {
		return
	}
	e.up = false
	e.work++
	e.inbox = nil
}

func (e *simEngine) start() {
	if e.up {
		return
	}
	e.up = true
	e.incarnation++
	e.named = fmt.Sprintf("%s/%d", e.id, e.incarnation)
	e.sequence = 0
	e.pausedUntil = time.Time{}
	e.newest = backend.FencingToken{}
	e.clear()
}

func (e *simEngine) clear() {
	e.group, e.epoch, e.model, e.members = "", 0, "", nil
	e.phase = backend.PhaseIdle
	e.work++
}

func (e *simEngine) pause(d time.Duration) {
	e.pausedUntil = e.w.now.Add(d)
	e.w.after(d, func() {
		held := e.inbox
		e.inbox = nil
		for _, f := range held {
			f()
		}
	})
}

// announce sends an announcement to the engine's entry, or moves on to the next entry if this one
// does not answer.
func (e *simEngine) announce() {
	interval := 350*time.Millisecond + e.w.upTo(100*time.Millisecond)
	defer e.w.after(interval*time.Duration(1+e.slow), e.announce)
	if !e.up || e.paused() || e.dark {
		return
	}
	n := e.w.entries[e.entry]
	if n.cut {
		e.entry = (e.entry + 1) % len(e.w.entries)
		return
	}
	e.recordReady()
	e.sequence++
	lost := e.unreachable()
	if len(lost) == 0 || e.phase != backend.PhaseReady {
		e.allReachedAt = e.w.now
	} else if e.w.now.Sub(e.allReachedAt) > groupTimeout {
		e.phase = backend.PhaseFailed
	}
	a := backend.Announcement{
		ID: e.id, Incarnation: e.name(), Sequence: e.sequence, Kind: backend.KindEngine,
		Address: e.id + ":1", DataCentre: "dc", FabricDomain: e.domain, Leaving: e.leaving,
		Accelerators: e.accelerators, Group: e.group, Epoch: e.epoch, Phase: e.phase,
		Load: &backend.Load{Running: e.running, AgeMillis: 500}, Weights: sortedKeys(e.weights), Unreachable: lost,
	}
	n.table.Record(e.w.now, n.id, a)
}

// unreachable lists the lost members: at once if their connection was reset, and after two
// seconds if they only became silent.
func (e *simEngine) unreachable() []string {
	var lost []string
	for _, m := range e.members {
		o := e.w.byID[m.VM]
		silent := (o.dark || o.paused()) && e.w.now.Sub(o.lastReady) > 2*time.Second
		if !o.up || silent {
			lost = append(lost, m.VM)
		}
	}
	return lost
}

// take receives an order; answer receives the reply.
func (e *simEngine) take(o PlannedOrder, answer func(backend.OrderReply)) {
	if !e.up || e.dark {
		return
	}
	if e.paused() {
		e.inbox = append(e.inbox, func() { e.take(o, answer) })
		return
	}
	if e.fencing && e.stale(o.Order) {
		answer(backend.OrderReply{Newest: e.newest})
		return
	}
	if e.fencing {
		e.newest = o.Order.Token
	}
	switch o.Order.Kind {
	case backend.OrderLoad:
		e.load(o)
	case backend.OrderRelease:
		e.release(o.Order)
	}
	answer(backend.OrderReply{Accepted: true, Newest: e.newest})
}

func (e *simEngine) stale(o backend.Order) bool {
	if o.Incarnation != "" && o.Incarnation != e.name() {
		return true
	}
	return o.Token.Less(e.newest)
}

func (e *simEngine) load(o PlannedOrder) {
	if e.group == o.Order.Group && e.epoch == o.Order.Token.Epoch {
		return
	}
	inTime := !e.w.now.After(o.Deadline)
	if e.group != "" && inTime && !e.loadedLate {
		e.w.fail("engine %s holds %s/%d and receives an order in time to load %s/%d",
			e.name(), e.group, e.epoch, o.Order.Group, o.Order.Token.Epoch)
	}
	if row := e.w.board.VMs[e.id]; inTime && (row.Group != o.Order.Group || row.Epoch != o.Order.Token.Epoch) {
		e.w.fail("engine %s receives an order in time to load %s/%d after it was freed from it",
			e.name(), o.Order.Group, o.Order.Token.Epoch)
	}
	e.clear()
	e.group, e.epoch, e.model = o.Order.Group, o.Order.Token.Epoch, o.Order.Model
	e.members = o.Order.Members
	e.loadedLate = !inTime
	e.phase = backend.PhaseLoading
	work, model := e.work, e.model
	ready := func() {
		if e.work == work {
			e.weights[model] = true
			e.phase = backend.PhaseReady
		}
	}
	if e.weights[model] {
		e.w.after(e.w.localLoad, ready)
		return
	}
	e.w.store = append(e.w.store, &simFetch{left: e.w.storeSeconds, live: func() bool { return e.work == work }, done: func() {
		e.w.after(e.w.localLoad, ready)
	}})
}

func (e *simEngine) release(o backend.Order) {
	if e.group != o.Group || e.fencing && e.epoch != o.Token.Epoch {
		return
	}
	e.phase = backend.PhaseReleasing
	e.work++
	work := e.work
	e.w.after(200*time.Millisecond, func() {
		if e.work == work {
			e.clear()
		}
	})
}

const (
	// groupTimeout is when an engine that has lost a member reports failed.
	groupTimeout = 8 * time.Second
	storeTick    = 250 * time.Millisecond
)

// simFetch is one VM's fetch from the weight store, whose rate is shared.
type simFetch struct {
	left float64
	live func() bool
	done func()
}

func (w *world) storeStep() {
	defer w.after(storeTick, w.storeStep)
	var live []*simFetch
	for _, f := range w.store {
		if f.live() {
			live = append(live, f)
		}
	}
	w.store = nil
	for _, f := range live {
		f.left -= storeTick.Seconds() / float64(len(live))
		if f.left <= 0 {
			f.done()
			continue
		}
		w.store = append(w.store, f)
	}
}
