package loadtest

import (
	"fmt"
	"time"

	"github.com/citronstep/citronstep/internal/placement"
)

const (
	model       = "m"
	entryCount  = 3
	statedLimit = 40000
	// noticeAfter is how long the control VMs take to unlist a dark group, and
	// to list one that came back.
	noticeAfter = time.Second
)

// world is one run.
type world struct {
	c       *clock
	s       *situation
	engines []*engine
	callers *callers
	nodes   []node
	byID    map[string]*engine
}

// node is a frontend with what the system tells it.
type node interface {
	frontend
	setTargets(list []placement.Target)
	report(id string, l placement.Load)
	cacheEvent(id string, sequence uint64, add, drop []uint64)
}

// policy makes the frontends of a run.
type policy struct {
	name string
	make func(w *world, i int) node
}

// run plays s under p. rate is the arrival rate at load 1.
func run(s *situation, p policy, seed uint64, rate float64) *world {
	w := &world{c: newClock(seed), s: s, byID: make(map[string]*engine)}
	w.callers = &callers{c: w.c, situation: s, rate: rate}
	for i := range max(s.groups, groupCount) {
		w.engines = append(w.engines, w.newEngine(i))
	}
	entries := max(s.entries, entryCount)
	if s.entries > 0 {
		entries = s.entries
	}
	for i := range entries {
		n := p.make(w, i)
		w.nodes = append(w.nodes, n)
		w.callers.frontends = append(w.callers.frontends, n)
	}
	w.list()
	if s.fault != nil {
		s.fault(w)
	}
	w.callers.start()
	w.c.run(s.duration() + 60*time.Second)
	return w
}

func (w *world) newEngine(i int) *engine {
	e := &engine{c: w.c, slow: 1}
	e.target = placement.Target{
		ID: fmt.Sprint("g", i), DataCentre: "dc", FabricDomain: fmt.Sprint("fd", i/3), Model: model, Capacity: statedLimit,
	}
	e.onReport = func(l placement.Load) {
		for _, n := range w.nodes {
			n.report(e.target.ID, l)
		}
	}
	e.onCache = func(sequence uint64, add, drop []uint64) {
		for _, n := range w.nodes {
			n.cacheEvent(e.target.ID, sequence, add, drop)
		}
	}
	w.byID[e.target.ID] = e
	e.startReports()
	return e
}

func (w *world) engine(id string) *engine { return w.byID[id] }

// list tells every node which groups are routable.
func (w *world) list() {
	var list []placement.Target
	for _, e := range w.engines {
		if !e.dark {
			list = append(list, e.target)
		}
	}
	for _, n := range w.nodes {
		n.setTargets(list)
	}
}

// dark makes engines fail at from and come back at to.
func (w *world) dark(engines []*engine, from, to time.Duration) {
	w.c.after(from, func() {
		for _, e := range engines {
			e.fail()
		}
		w.notice()
	})
	w.c.after(to, func() {
		for _, e := range engines {
			e.dark = false
		}
		w.notice()
	})
}

// notice lists the groups anew if the control VMs see what happened.
func (w *world) notice() {
	if !w.s.unnoticed {
		w.c.after(noticeAfter, w.list)
	}
}
