package standin

import (
	"sync"
	"time"
)

// gate blocks all goroutines that call wait while it is closed. A paused stand-in has a closed
// gate.
type gate struct {
	mu sync.Mutex
	// reopened is closed when the gate opens; it is nil while the gate is open.
	reopened chan struct{}
	timer    *time.Timer
}

// closeFor closes the gate for d, or until open is called if d is 0.
func (g *gate) closeFor(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reopened == nil {
		g.reopened = make(chan struct{})
	}
	if d > 0 {
		g.timer = time.AfterFunc(d, g.open)
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.timer != nil {
		g.timer.Stop()
	}
	if g.reopened != nil {
		close(g.reopened)
		g.reopened = nil
	}
}

// wait blocks until the gate is open or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	reopened := g.reopened
	g.mu.Unlock()
	if reopened == nil {
		return
	}
	select {
	case <-reopened:
	case <-done:
	}
}
