package controller

import "time"

const (
	// orderWindow is how many orders may wait for their answers at once to begin with. An
	// order takes about a millisecond of a control VM's processor and is answered within a
	// few more, so 32 keep it busy, and what the consensus sends waits 70 ms behind them
	// at most.
	orderWindow = 32
	// widestWindow is as many as the window grows to while all are answered from one
	// run of the controllers to the next: on a large pool a run and the rest after it take a
	// tenth of a second, in which 32 orders left the processor idle.
	widestWindow = 128
	// answerSoon is how long an order counts that has no answer: an engine in order
	// answers in a tenth of this, and silent ones hold nobody up for longer.
	answerSoon = 200 * time.Millisecond
)

// window bounds the orders in flight.
//
// Load: a pool of 1,095 VMs starts, or a fabric domain comes back, and as many orders
// are due at once. Harm of sending all: their goroutines queue for the processor, the
// heartbeats of the consensus behind them; most orders end at their deadline before
// they are sent, and the leader loses its office. Sent as
// answers come back, each order has its whole deadline, and those for the groups that are
// worth most go first.
type window struct {
	// size is how many may be in flight.
	size int
	// full says that an order has found no room since the last run, fullAt when it did.
	full   bool
	fullAt time.Time
	// flying holds when the last order to a VM was sent that has no answer yet.
	flying map[string]time.Time
}

func newWindow() *window { return &window{size: orderWindow, flying: make(map[string]time.Time)} }

// adapt sets the size for one run: it doubles where all orders of a full window have been
// answered, and halves where most of them have not.
func (w *window) adapt() {
	switch {
	case w.full && len(w.flying) == 0:
		w.size = min(2*w.size, widestWindow)
	case 2*len(w.flying) > w.size:
		w.size = max(w.size/2, orderWindow)
	}
	w.full = false
}

// room tells whether one more order may be sent.
func (w *window) room(now time.Time) bool {
	if len(w.flying) < w.size {
		return true
	}
	if w.full && w.fullAt.Equal(now) {
		return false
	}
	for vm, at := range w.flying {
		if now.Sub(at) >= answerSoon {
			delete(w.flying, vm)
		}
	}
	w.full, w.fullAt = len(w.flying) >= w.size, now
	return !w.full
}

func (w *window) sent(vm string, now time.Time) { w.flying[vm] = now }

func (w *window) answered(vm string) { delete(w.flying, vm) }
