package loadtest

import (
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/placement"
)

// The stand-in engine: a step takes stepBase, stepRunning for each request
// that runs and stepPrefill for each prompt token computed in it.
const (
	stepBase      = 15 * time.Millisecond
	stepRunning   = 500 * time.Microsecond
	stepPrefill   = 25 * time.Microsecond
	prefillBudget = 512
	engineSlots   = 32
	engineKV      = 64000
	cachedDocs    = 40
	reportEvery   = 200 * time.Millisecond
	reportLag     = 300 * time.Millisecond
	eventLag      = 250 * time.Millisecond
	eventsLost    = 0.02
	// silentFor is how long a call to a dark engine takes to fail.
	failureTimeout = time.Second
)

// call is one attempt on an engine.
type call struct {
	id       string
	t        *try
	tokens   int
	worth    float64
	prefill  int
	computed int
	produced int
	spent    time.Duration
	ended    bool
	onToken  func()
	onEnd    func(ok bool)
}

type engine struct {
	c            *clock
	target       placement.Target
	slowdown     float64
	unresponsive bool
	running      []*call
	queue        []*call
	kv           int
	stepping     bool
	epoch        int
	docs         []int
	sequence     uint64
	produced     int
	lastSent     int
	// queued sums the length of the queue over reports.
	queued, reports int
	// Events and reports go to every frontend, late.
	onReport func(placement.Load)
	onCache  func(sequence uint64, add, drop []uint64)
}

// start takes a call; onEnd follows exactly once unless it is cancelled.
func (e *engine) start(x *call) {
	if e.unresponsive {
		e.c.after(failureTimeout, func() { e.end(x, false) })
		return
	}
	x.prefill = x.t.job.prompt - e.cachedTokens(x.t.job)
	x.computed = x.prefill
	// The queue is by worth; callers that set none are first come, first served.
	at := len(e.queue)
	for at > 0 && e.queue[at-1].worth < x.worth {
		at--
	}
	e.queue = slices.Insert(e.queue, at, x)
	e.wake()
}

func (e *engine) end(x *call, ok bool) {
	if x.ended {
		return
	}
	x.ended = true
	x.onEnd(ok)
}

func (e *engine) cancel(x *call) {
	x.ended = true
	e.queue = slices.DeleteFunc(e.queue, func(o *call) bool { return o == x })
	if i := slices.Index(e.running, x); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kv -= x.t.job.prompt + x.t.job.output
	}
}

func (e *engine) wake() {
	if e.stepping || e.unresponsive {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	budget := prefillBudget
	took := stepBase + time.Duration(len(e.running))*stepRunning
	for _, x := range e.running {
		n := min(budget, x.prefill)
		budget -= n
		took += time.Duration(n) * stepPrefill
	}
	took = time.Duration(float64(took) * e.slowdown)
	epoch := e.epoch
	e.c.after(took, func() {
		if e.epoch == epoch {
			e.stepping = false
			e.finishStep(took)
			e.wake()
		}
	})
}

func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < engineSlots {
		x := e.queue[0]
		need := x.t.job.prompt + x.t.job.output
		if e.kv+need > engineKV {
			return
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, x)
		e.kv += need
		e.remember(x.t.job)
	}
}

func (e *engine) finishStep(took time.Duration) {
	budget := prefillBudget
	share := took / time.Duration(max(1, len(e.running)))
	for _, x := range slices.Clone(e.running) {
		if x.ended {
			continue
		}
		x.spent += share
		if x.prefill > 0 {
			n := min(budget, x.prefill)
			budget -= n
			x.prefill -= n
			continue
		}
		x.produced++
		e.produced++
		x.onToken()
		if x.produced >= x.t.job.output && !x.ended {
			x.t.job.cost = x.cost()
			e.cancel(x)
			x.ended = false
			e.end(x, true)
		}
	}
}

// cost is the engine time that x takes in steps of full batches.
func (x *call) cost() time.Duration {
	perToken := stepBase/engineSlots + stepRunning
	return time.Duration(x.produced)*perToken + time.Duration(x.computed)*stepPrefill
}

// fail makes the engine go dark: everything in flight ends after a silence.
func (e *engine) fail() {
	e.unresponsive = true
	e.epoch++
	lost := append(slices.Clone(e.running), e.queue...)
	e.running, e.queue, e.kv, e.stepping, e.docs = nil, nil, 0, false, nil
	for _, x := range lost {
		e.c.after(failureTimeout, func() { e.end(x, false) })
	}
}

func (e *engine) load() placement.Load {
	l := placement.Load{Running: len(e.running), Queued: len(e.queue), At: e.c.time()}
	for _, x := range append(slices.Clone(e.running), e.queue...) {
		l.TokensInFlight += x.tokens
	}
	l.TokensPerSecond = float64(e.produced-e.lastSent) / reportEvery.Seconds()
	e.lastSent = e.produced
	e.queued += len(e.queue)
	e.reports++
	return l
}

func (e *engine) startReports() {
	e.c.every(reportEvery, func() {
		if e.unresponsive {
			return
		}
		l := e.load()
		e.c.after(reportLag, func() { e.onReport(l) })
	})
}

func (e *engine) cachedTokens(j *job) int {
	if slices.Contains(e.docs, j.doc) {
		return j.shared()
	}
	return 0
}

// remember puts j's document at the end of the least-recently-used list.
func (e *engine) remember(j *job) {
	var drop []uint64
	known := slices.Contains(e.docs, j.doc)
	e.docs = slices.DeleteFunc(e.docs, func(d int) bool { return d == j.doc })
	e.docs = append(e.docs, j.doc)
	if len(e.docs) > cachedDocs {
		drop = prefix(e.docs[0])
		e.docs = e.docs[1:]
	}
	if known {
		return
	}
	e.sequence++
	sequence := e.sequence
	if e.c.rng.Float64() < eventsLost {
		return
	}
	e.c.after(eventLag, func() { e.onCache(sequence, prefix(j.doc), drop) })
}

// prefix returns the chained block hashes of a document.
func prefix(doc int) []uint64 {
	blocks := make([]uint64, 4)
	h := uint64(doc) + 1
	for i := range blocks {
		h = (h ^ uint64(i+1)) * 0x9e3779b97f4a7c15
		blocks[i] = h
	}
	return blocks
}
