// Package loadtest runs admission and placement through scenarios of heavy load on a virtual
// clock, and measures the results that callers get.
//
// The engines are small models of real ones: continuous batching in steps, chunked prefill, a
// prefix cache, delayed reports, and cache events with gaps. Their figures are of the order of a
// group of eight VMs, not measured on one.
package loadtest

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which each run begins.
var epoch = time.Date(2026, 3, 2, 3, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// clock runs events in virtual time.
type clock struct {
	now    time.Duration
	seq    int
	events eventHeap
	rng    *rand.Rand
}

func newClock(seed uint64) *clock {
	return &clock{rng: rand.New(rand.NewPCG(seed, 17))}
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + d, c.seq, run})
}

func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

// between draws an integer from lo to hi.
func (c *clock) between(lo, hi int) int { return lo + c.rng.IntN(hi-lo+1) }
