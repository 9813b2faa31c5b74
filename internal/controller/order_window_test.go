package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// largeModels are models of a pool whose domains hold two wide groups or nine narrow ones.
var largeModels = []blackboard.ModelSpec{
	{Name: "wide", VMs: 32, Share: 0.6, LoadMillis: 1600, StagedMillis: 160},
	{Name: "narrow", VMs: 8, Share: 0.4, LoadMillis: 1200, StagedMillis: 110},
}

// busyProcessor sends orders one after the other, each in a fixed time.
type busyProcessor struct {
	each   time.Duration
	freeAt time.Time
	// longest is the longest wait of any order before it is sent, and late counts orders whose
	// deadline passed before they were sent.
	longest time.Duration
	late    int
}

// send returns when an order given at now has been sent, and whether it was sent in time.
func (p *busyProcessor) send(now, deadline time.Time) (time.Time, bool) {
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.longest = max(p.longest, p.freeAt.Sub(now))
	if p.freeAt.After(deadline) {
		p.late++
		return p.freeAt, false
	}
	p.freeAt = p.freeAt.Add(p.each)
	return p.freeAt, true
}

// newLargeWorld returns a pool whose callers arrive 14 s after its VMs start.
func newLargeWorld(t *testing.T, domains int, p *busyProcessor) *poolWorld {
	w := newPoolWorld(t, 5, domains, 73)
	w.load = 1600 * time.Millisecond
	w.storeRate, w.storeAtOnce = 30, 45
	w.callersAt = w.now.Add(14 * time.Second)
	w.processor = p
	w.configure(2, largeModels)
	return w
}

// Guards against a leader that loses its leadership by sending orders. A pool of 365 VMs starts,
// with a leader that takes 2 ms for each order. Sent all at once, the orders queued for seconds,
// most reached their deadline before they were sent, and the messages of the consensus waited
// behind them. Now no message may wait longer than a tenth of an election timeout, no order may
// be late, and all groups must be open within 4 s of the last announcement.
func TestOrdersOfAStartDoNotDelayConsensus(t *testing.T) {
	p := &busyProcessor{each: 2 * time.Millisecond}
	w := newLargeWorld(t, 5, p)
	w.run(simAnnounceInterval)
	w.run(4 * time.Second)
	requirePoolServing(t, w, p)
}

// requirePoolServing checks that five domains serve and that their orders delayed nothing.
func requirePoolServing(t *testing.T, w *poolWorld, p *busyProcessor) {
	t.Helper()
	assert.Equal(t, p.late, 0)
	assert.Assert(t, p.longest <= 100*time.Millisecond, "consensus messages wait %s", p.longest)
	n := w.serving()
	assert.Assert(t, n["wide"]*32+n["narrow"]*8 >= 5*64, "%v", n)
}

// The leader ends in the middle of the start. The next leader begins with an empty memory. It
// must not repeat the orders that are under way, and the pool must start nearly as fast.
func TestALeaderChangeDuringAStartDelaysItLittle(t *testing.T) {
	p := &busyProcessor{each: 2 * time.Millisecond}
	w := newLargeWorld(t, 5, p)
	w.run(simAnnounceInterval + 1500*time.Millisecond)
	w.term++
	w.memory = NewMemory(w.now, time.Second)
	w.run(4500 * time.Millisecond)
	requirePoolServing(t, w, p)
}

// On a pool of 3,000 VMs, a run of the controllers and the work after it take a tenth of a
// second, and 32 orders are answered in a third of that. The window must grow while this holds,
// and shrink again when answers no longer arrive in time.
func TestTheOrderWindowFollowsTheAnswers(t *testing.T) {
	w := newOrderWindow()
	fill := func(now time.Time) (n int) {
		for ; w.hasCapacity(now); n++ {
			w.recordSent(fmt.Sprint(now.UnixNano(), n), now)
		}
		return n
	}
	now := simStart
	for _, want := range []int{32, 64, 128, 128} {
		w.adapt()
		assert.Equal(t, fill(now), want)
		clear(w.inFlight)
		now = now.Add(100 * time.Millisecond)
	}
	w.adapt()
	assert.Equal(t, fill(now), 128)
	w.adapt()
	assert.Equal(t, w.size, 64)
}

// A fabric domain of 73 VMs fails while other VMs need orders. The orders to the failed VMs are
// never answered; they must not keep the slots of orders that would be answered.
func TestSilentEnginesDoNotBlockOtherOrders(t *testing.T) {
	w := newOrderWindow()
	now := simStart
	for n := range initialOrderWindow {
		assert.Assert(t, w.hasCapacity(now), "order %d", n)
		w.recordSent(string(rune('a'+n)), now)
	}
	assert.Assert(t, !w.hasCapacity(now.Add(answerTimeout/2)))
	w.recordAnswer("b")
	assert.Assert(t, w.hasCapacity(now.Add(answerTimeout/2)))
	assert.Assert(t, w.hasCapacity(now.Add(answerTimeout)))
}
