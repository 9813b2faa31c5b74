package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// waitEstimates estimates how long the callers of each route wait. The estimates are also kept
// on the board for processes that restart. It is safe for concurrent use.
type waitEstimates struct {
	mu        sync.Mutex
	estimates *admission.CallerTimeouts
	// checkedAt is when this entry last compared its estimates with the board.
	checkedAt time.Time
}

// newWaitEstimates returns estimates that are first compared with the board an interval after
// from. That time differs between entries, so that the first entry to report spares the others.
func newWaitEstimates(from time.Time) *waitEstimates {
	return &waitEstimates{estimates: admission.NewCallerTimeouts(), checkedAt: from}
}

// sentBefore returns the least time that must have passed since the caller first sent its
// request.
func (c *waitEstimates) sentBefore(now time.Time, route string, f ForwardRequest) time.Duration {
	if f.Timeout <= 0 || f.Resume {
		// A resumed stream began earlier, so its remaining time tells nothing about its start.
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.estimates.Observe(now, route, f.Timeout)
}

// loadBoard takes over the estimates that the board holds.
func (c *waitEstimates) loadBoard(b *blackboard.Board) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for route, ms := range b.CallerTimeouts {
		c.estimates.Adopt(route, time.Duration(ms)*time.Millisecond)
	}
}

// waitReportInterval is the time between two comparisons of an entry's estimates with the
// board. The board needs each estimate once, and many entries arrive at the same one.
const waitReportInterval = 5 * time.Second

// reportWaits writes this entry's estimate of one route to the board if it differs from the
// board's.
func (s *Server) reportWaits(ctx context.Context, now time.Time) {
	board := s.o.Follower.Board()
	route, least := s.waitEstimates.nextChange(now, board)
	if route == "" || s.o.Control == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, boardTimeout)
		defer cancel()
		err := s.commitBoard(ctx, &blackboard.RecordCallerTimeout{Route: route, LeastMillis: least.Milliseconds()}, nil)
		_ = level.Info(s.o.Logger).Log("event", "wait_estimate_reported", "route", route, "least_ms", least.Milliseconds(),
			"known_ms", board.CallerTimeouts[route], "err", errText(err))
	}()
}

// nextChange returns a route whose estimate on the board should change, and the new estimate.
// The route is empty if there is none, or if the interval has not passed.
func (c *waitEstimates) nextChange(now time.Time, b *blackboard.Board) (route string, least time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checkedAt) < waitReportInterval {
		return "", 0
	}
	c.checkedAt = now
	for name := range b.Config.Routes {
		known := time.Duration(b.CallerTimeouts[name]) * time.Millisecond
		if least, ok := c.estimates.EstimateToShare(name, known); ok {
			return name, least
		}
	}
	return "", 0
}
