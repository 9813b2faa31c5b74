package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// callers tells once that callers have come: until then the controllers load weights
// without regard to the store's rate.
type firstCallerReport struct {
	// since is when this entry got its first request, in Unix milliseconds; 0 before that.
	firstRequestMillis atomic.Int64
	// toldAt is when it was last told; the routes' loop alone uses it.
	reportedAt time.Time
}

const (
	// callersPerSecond is how many entries tell the leader in a second: all get their first
	// requests at the same moment, and one word is enough.
	callerReportsPerSecond = 800
	// callersAgain is when an entry tells again that finds nothing of it on the board.
	callerReportRetry = 500 * time.Millisecond
)

func (c *firstCallerReport) noteRequest(now time.Time) {
	c.firstRequestMillis.CompareAndSwap(0, now.UnixMilli())
}

// due tells whether an entry should tell now. turn is its place among all entries, from 0
// to 1: each waits for its own, and those that see the word on the board keep quiet.
func (c *firstCallerReport) isDue(now time.Time, b *blackboard.Board, turn float64) bool {
	since := c.firstRequestMillis.Load()
	if since == 0 || b.ClusterID == "" || b.CallersMillis != 0 || now.Sub(c.reportedAt) < callerReportRetry {
		return false
	}
	wait := time.Duration(turn * float64(len(b.Entries)) / callerReportsPerSecond * float64(time.Second))
	if now.Sub(time.UnixMilli(since)) < wait {
		return false
	}
	c.reportedAt = now
	return true
}

// tellCallers writes to the board that callers have come, unless it is there.
func (s *Server) reportCallers(ctx context.Context, now time.Time) {
	if s.o.Control == nil || !s.callerReport.isDue(now, s.o.Follower.Board(), hashFraction(s.o.ID)) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, boardTimeout)
		defer cancel()
		since := s.callerReport.firstRequestMillis.Load()
		err := s.commitBoard(ctx, &blackboard.NoteCallers{NowMillis: since}, nil)
		_ = level.Info(s.o.Logger).Log("event", "callers_told", "since_ms", since, "err", errText(err))
	}()
}
