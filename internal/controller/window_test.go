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

// busyProcessor sends orders one after the other, each in its time.
type busyProcessor struct {
	each   time.Duration
	freeAt time.Time
	// longest is the longest time that anything given to it has waited, late counts
	// orders whose deadline passed before they were sent.
	longest time.Duration
	late    int
}

// send returns when an order given at now has been sent, and whether it was in time.
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

// newLargeWorld returns a pool whose callers come 14 s after its VMs start.
func newLargeWorld(t *testing.T, domains int, p *busyProcessor) *poolWorld {
	w := newPoolWorld(t, 5, domains, 73)
	w.load = 1600 * time.Millisecond
	w.storeRate, w.storeAtOnce = 30, 45
	w.callersAt = w.now.Add(14 * time.Second)
	w.processor = p
	w.configure(2, largeModels)
	return w
}

// A pool of 365 VMs starts, with a leader that takes 2 ms for each order. Sent all at
// once, the orders queued for seconds, most ended at their deadline before they were
// sent, and what the consensus had to say waited behind them until the leader lost
// its office. Nothing may wait a tenth of an election timeout, no order may be late,
// and all groups must be open within 4 s of the last announcement.
func TestAStartLeavesTheLeaderTimeForItsConsensus(t *testing.T) {
	p := &busyProcessor{each: 2 * time.Millisecond}
	w := newLargeWorld(t, 5, p)
	w.run(simBeat)
	w.run(4 * time.Second)
	isUp(t, w, p)
}

// isUp checks that five domains serve and that their orders held nothing up.
func isUp(t *testing.T, w *poolWorld, p *busyProcessor) {
	t.Helper()
	assert.Equal(t, p.late, 0)
	assert.Assert(t, p.longest <= 100*time.Millisecond, "the consensus waits %s", p.longest)
	n := w.serving()
	assert.Assert(t, n["wide"]*32+n["narrow"]*8 >= 5*64, "%v", n)
}

// The leader ends in the middle of the start. The next one begins with an empty
// memory; it must not order anew what is under way, and the pool is up all the same.
func TestALeaderThatEndsInAStartDelaysItLittle(t *testing.T) {
	p := &busyProcessor{each: 2 * time.Millisecond}
	w := newLargeWorld(t, 5, p)
	w.run(simBeat + 1500*time.Millisecond)
	w.term++
	w.memory = NewMemory(w.now, time.Second)
	w.run(4500 * time.Millisecond)
	isUp(t, w, p)
}

// On a pool of 3,000 VMs a run of the controllers and the rest after it take a tenth of a
// second, and 32 orders are answered in a third of it. The window must grow while they
// are, and shrink again when answers cease to come in time.
func TestTheWindowFollowsTheAnswers(t *testing.T) {
	w := newWindow()
	fill := func(now time.Time) (n int) {
		for ; w.room(now); n++ {
			w.sent(fmt.Sprint(now.UnixNano(), n), now)
		}
		return n
	}
	now := simStart
	for _, want := range []int{32, 64, 128, 128} {
		w.adapt()
		assert.Equal(t, fill(now), want)
		clear(w.flying)
		now = now.Add(100 * time.Millisecond)
	}
	w.adapt()
	assert.Equal(t, fill(now), 128)
	w.adapt()
	assert.Equal(t, w.size, 64)
}

// A fabric domain of 73 VMs goes dark while others need orders. The orders to the dark
// ones are never answered; they must not keep the places of those that would be.
func TestSilentEnginesHoldUpNobody(t *testing.T) {
	w := newWindow()
	now := simStart
	for n := range orderWindow {
		assert.Assert(t, w.room(now), "order %d", n)
		w.sent(string(rune('a'+n)), now)
	}
	assert.Assert(t, !w.room(now.Add(answerSoon/2)))
	w.answered("b")
	assert.Assert(t, w.room(now.Add(answerSoon/2)))
	assert.Assert(t, w.room(now.Add(answerSoon)))
}
