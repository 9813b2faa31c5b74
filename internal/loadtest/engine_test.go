package loadtest

import (
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/placement"
)

// Figures of the simulated engine. A step takes stepBase, plus stepRunning for each running
// request, plus stepPrefill for each prompt token computed in the step.
const (
	stepBase       = 15 * time.Millisecond
	stepRunning    = 500 * time.Microsecond
	stepPrefill    = 25 * time.Microsecond
	prefillBudget  = 512
	engineSlots    = 32
	engineKV       = 64000
	cachedDocs     = 40
	reportInterval = 200 * time.Millisecond
	reportLag      = 300 * time.Millisecond
	eventLag       = 250 * time.Millisecond
	eventLoss      = 0.02
	// failureTimeout is how long an attempt on an unresponsive engine takes to fail.
	failureTimeout = time.Second
)

// attempt is one attempt of a request on an engine.
type attempt struct {
	id       string
	request  *request
	tokens   int
	worth    float64
	prefill  int
	computed int
	produced int
	spent    time.Duration
	isEnded  bool
	onToken  func()
	onEnd    func(ok bool)
}

type engine struct {
	c            *clock
	target       placement.Target
	slowdown     float64
	unresponsive bool
	running      []*attempt
	queue        []*attempt
	kv           int
	isStepping   bool
	generation   int
	docs         []int
	sequence     uint64
	produced     int
	lastSent     int
	// queued is the sum of the queue lengths at all reports.
	queued, reports int
	// Cache events and reports go to every frontend with a delay.
	onReport func(placement.Load)
	onCache  func(sequence uint64, add, drop []uint64)
}

// start queues an attempt. Unless the attempt is cancelled, onEnd is called exactly once.
func (e *engine) start(x *attempt) {
	if e.unresponsive {
		e.c.after(failureTimeout, func() { e.end(x, false) })
		return
	}
	x.prefill = x.request.job.prompt - e.cachedTokens(x.request.job)
	x.computed = x.prefill
	// The queue is ordered by worth. Attempts of equal worth, such as those of a frontend that
	// sets none, are first come, first served.
	at := len(e.queue)
	for at > 0 && e.queue[at-1].worth < x.worth {
		at--
	}
	e.queue = slices.Insert(e.queue, at, x)
	e.wake()
}

func (e *engine) end(x *attempt, ok bool) {
	if x.isEnded {
		return
	}
	x.isEnded = true
	x.onEnd(ok)
}

func (e *engine) cancel(x *attempt) {
	x.isEnded = true
	e.queue = slices.DeleteFunc(e.queue, func(o *attempt) bool { return o == x })
	if i := slices.Index(e.running, x); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.kv -= x.request.job.prompt + x.request.job.output
	}
}

func (e *engine) wake() {
	if e.isStepping || e.unresponsive {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.isStepping = true
	budget := prefillBudget
	duration := stepBase + time.Duration(len(e.running))*stepRunning
	for _, x := range e.running {
		n := min(budget, x.prefill)
		budget -= n
		duration += time.Duration(n) * stepPrefill
	}
	duration = time.Duration(float64(duration) * e.slowdown)
	generation := e.generation
	e.c.after(duration, func() {
		if e.generation == generation {
			e.isStepping = false
			e.finishStep(duration)
			e.wake()
		}
	})
}

func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < engineSlots {
		x := e.queue[0]
		need := x.request.job.prompt + x.request.job.output
		if e.kv+need > engineKV {
			return
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, x)
		e.kv += need
		e.cacheDocument(x.request.job)
	}
}

func (e *engine) finishStep(duration time.Duration) {
	budget := prefillBudget
	share := duration / time.Duration(max(1, len(e.running)))
	for _, x := range slices.Clone(e.running) {
		if x.isEnded {
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
		if x.produced >= x.request.job.output && !x.isEnded {
			x.request.job.cost = x.cost()
			e.cancel(x)
			x.isEnded = false
			e.end(x, true)
		}
	}
}

// cost returns the engine time that x takes in steps of full batches.
func (x *attempt) cost() time.Duration {
	perToken := stepBase/engineSlots + stepRunning
	return time.Duration(x.produced)*perToken + time.Duration(x.computed)*stepPrefill
}

// fail makes the engine unresponsive. All its attempts fail after failureTimeout.
func (e *engine) fail() {
	e.unresponsive = true
	e.generation++
	lost := append(slices.Clone(e.running), e.queue...)
	e.running, e.queue, e.kv, e.isStepping, e.docs = nil, nil, 0, false, nil
	for _, x := range lost {
		e.c.after(failureTimeout, func() { e.end(x, false) })
	}
}

func (e *engine) load() placement.Load {
	l := placement.Load{Running: len(e.running), Queued: len(e.queue), At: e.c.time()}
	for _, x := range append(slices.Clone(e.running), e.queue...) {
		l.TokensInFlight += x.tokens
	}
	l.TokensPerSecond = float64(e.produced-e.lastSent) / reportInterval.Seconds()
	e.lastSent = e.produced
	e.queued += len(e.queue)
	e.reports++
	return l
}

func (e *engine) startReports() {
	e.c.every(reportInterval, func() {
		if e.unresponsive {
			return
		}
		l := e.load()
		e.c.after(reportLag, func() { e.onReport(l) })
	})
}

func (e *engine) cachedTokens(j *job) int {
	if slices.Contains(e.docs, j.doc) {
		return j.sharedPrompt()
	}
	return 0
}

// cacheDocument puts the document of j at the end of the least-recently-used list.
func (e *engine) cacheDocument(j *job) {
	var drop []uint64
	wasCached := slices.Contains(e.docs, j.doc)
	e.docs = slices.DeleteFunc(e.docs, func(d int) bool { return d == j.doc })
	e.docs = append(e.docs, j.doc)
	if len(e.docs) > cachedDocs {
		drop = prefix(e.docs[0])
		e.docs = e.docs[1:]
	}
	if wasCached {
		return
	}
	e.sequence++
	sequence := e.sequence
	if e.c.rng.Float64() < eventLoss {
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
