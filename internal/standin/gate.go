package standin

import (
	"sync"
	"time"
)

// gate holds back all that passes through it while it is shut; a paused
// stand-in is one whose gate is shut.
type gate struct {
	mu    sync.Mutex
	shut  chan struct{}
	timer *time.Timer
}

// shutFor shuts the gate for d, or until open is called if d is 0.
func (g *gate) shutFor(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
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
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

// wait returns when the gate is open or done is closed.
func (g *gate) wait(done <-chan struct{}) {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut == nil {
		return
	}
	select {
	case <-shut:
	case <-done:
	}
}
