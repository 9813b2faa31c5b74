package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// callerWaits learns how long callers wait, and keeps it on the board for processes that
// start anew. It is safe for concurrent use.
type waitEstimates struct {
	mu        sync.Mutex
	estimates *admission.Waits
	// told is when this entry last looked for something to tell.
	checkedAt time.Time
}

// newCallerWaits returns one that looks for something to tell an interval after a time; that
// time differs for each entry, so that the first to tell spares the others.
func newWaitEstimates(from time.Time) *waitEstimates {
	return &waitEstimates{estimates: admission.NewWaits(), checkedAt: from}
}

// asked returns how long ago a caller surely began with its request.
func (c *waitEstimates) sentBefore(now time.Time, route string, f Forwarded) time.Duration {
	if f.Timeout <= 0 || f.Resume {
		// A stream that goes on was begun before, and says nothing of its start.
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimates.Asked(now, route, f.Timeout)
}

// learn takes over what the board holds.
func (c *waitEstimates) loadBoard(b *blackboard.Board) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route, ms := range b.Waits {
		c.estimates.Learn(route, time.Duration(ms)*time.Millisecond)
	}
}

// waitsInterval is the time between two looks of an entry for something to tell: the
// board needs it once, and many entries see the same.
const waitReportInterval = 5 * time.Second

// tellWaits writes what this entry has learned to the board where that differs, one
// route at a time.
func (s *Server) reportWaits(ctx context.Context, now time.Time) {
	board := s.o.Follower.Board()
	route, least := s.waitEstimates.nextChange(now, board)
	if route == "" || s.o.Control == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, boardTimeout)
		defer cancel()
		err := s.commitBoard(ctx, &blackboard.NoteWait{Route: route, LeastMillis: least.Milliseconds()}, nil)
		_ = level.Info(s.o.Logger).Log("event", "wait_told", "route", route, "least_ms", least.Milliseconds(),
			"known_ms", board.Waits[route], "err", errText(err))
	}()
}

// news returns a route of which the board should hold another time, "" if there is
// none or it is too soon to look.
func (c *waitEstimates) nextChange(now time.Time, b *blackboard.Board) (route string, least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checkedAt) < waitReportInterval {
		return "", 0
	}
	c.checkedAt = now
	for name := range b.Config.Routes {
		known := time.Duration(b.Waits[name]) * time.Millisecond
		if least, ok := c.estimates.Share(name, known); ok {
			return name, least
		}
	}
	return "", 0
}
