// Package loadtest drives admission and placement through situations of heavy
// load on a virtual clock, and tells what their callers would see.
//
// The engines are small stand-ins: continuous batching in steps, chunked
// prefill, a prefix cache, late reports and cache events with gaps. Their
// figures are of the order of a group of eight VMs, not measured on one.
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
	do  func()
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

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + d, c.seq, do})
}

func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// between draws a whole number from lo to hi.
func (c *clock) between(lo, hi int) int { return lo + c.rng.IntN(hi-lo+1) }
