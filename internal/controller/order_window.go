package controller

import "time"

const (
	// initialOrderWindow is how many orders may wait for their answers at first. An order takes
	// about a millisecond of a control VM's processor and is answered within a few more. 32
	// orders therefore keep the processor busy, and messages of the consensus wait at most 70 ms
	// behind them.
	initialOrderWindow = 32
	// maxOrderWindow is the largest size of the window, which grows while all orders are answered
	// from one run of the controllers to the next. On a large pool, a run and the work after it
	// take a tenth of a second, in which 32 orders left the processor idle.
	maxOrderWindow = 128
	// answerTimeout is how long an order without an answer counts as in flight. A healthy engine
	// answers in a tenth of this time, and silent engines delay other orders no longer.
	answerTimeout = 200 * time.Millisecond
)

// orderWindow limits the orders in flight.
//
// Load: a pool of 1,095 VMs starts, or a fabric domain comes back, and as many orders are due at
// once. Harm of sending all: their goroutines queue for the processor, and the heartbeats of the
// consensus queue behind them. Most orders reach their deadline before they are sent, and the
// leader loses its leadership. If orders are sent as answers arrive, each order has its whole
// deadline, and orders for the groups with the highest worth go first.
type orderWindow struct {
	// size is how many orders may be in flight.
	size int
	// wasFull is true if an order has found no free slot since the last run, and fullAt is when.
	wasFull bool
	fullAt  time.Time
	// inFlight holds when the last unanswered order to each VM was sent.
	inFlight map[string]time.Time
}

func newOrderWindow() *orderWindow {
	return &orderWindow{size: initialOrderWindow, inFlight: make(map[string]time.Time)}
}

// adapt sets the size for one run: it doubles if all orders of a full window have been answered,
// and halves if most of them have not.
func (w *orderWindow) adapt() {
	switch {
	case w.wasFull && len(w.inFlight) == 0:
		w.size = min(2*w.size, maxOrderWindow)
	case 2*len(w.inFlight) > w.size:
		w.size = max(w.size/2, initialOrderWindow)
	}
	w.wasFull = false
}

// hasCapacity reports whether one more order may be sent.
func (w *orderWindow) hasCapacity(now time.Time) bool {
	if len(w.inFlight) < w.size {
		return true
	}
	if w.wasFull && w.fullAt.Equal(now) {
		return false
	}
	for vm, at := range w.inFlight {
		if now.Sub(at) >= answerTimeout {
			delete(w.inFlight, vm)
		}
	}
	w.wasFull, w.fullAt = len(w.inFlight) >= w.size, now
	return !w.wasFull
}

func (w *orderWindow) recordSent(vm string, now time.Time) { w.inFlight[vm] = now }

func (w *orderWindow) recordAnswer(vm string) { delete(w.inFlight, vm) }
