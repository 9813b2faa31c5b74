package standin

import (
	"sync"
	"time"
)

// gate holds back all that passes through it while it is shut; a paused
// stand-in is one whose gate is shut.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{}
	timer    *time.Timer
}

// closeFor shuts the gate for d, or until open is called if d is 0.
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

// wait returns when the gate is open or done is closed.
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
