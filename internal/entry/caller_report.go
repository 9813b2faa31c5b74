package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// firstCallerReport reports once to the board that callers have begun to send requests. Until
// then the controllers load weights without regard to the weight store's rate.
type firstCallerReport struct {
	// firstRequestMillis is when this entry received its first request, in Unix milliseconds; 0
	// before that.
	firstRequestMillis atomic.Int64
	// reportedAt is when this entry last reported. Only the route loop uses it.
	reportedAt time.Time
}

const (
	// callerReportsPerSecond is how many entries report to the leader in a second. All entries
	// receive their first requests at the same moment, and one report is enough.
	callerReportsPerSecond = 800
	// callerReportRetry is the time after which an entry reports again if the board does not
	// show the report.
	callerReportRetry = 500 * time.Millisecond
)

func (c *firstCallerReport) noteRequest(now time.Time) {
	c.firstRequestMillis.CompareAndSwap(0, now.UnixMilli())
}

// isDue reports whether this entry should report now. turn is the entry's position among all
// entries, from 0 to 1: each entry waits for its turn and does not report once the board shows
// a report.
func (c *firstCallerReport) isDue(now time.Time, b *blackboard.Board, turn float64) bool {
	since := c.firstRequestMillis.Load()
	if since == 0 || b.ClusterID == "" || b.FirstRequestMillis != 0 || now.Sub(c.reportedAt) < callerReportRetry {
		return false
	}
	wait := time.Duration(turn * float64(len(b.Entries)) / callerReportsPerSecond * float64(time.Second))
	if now.Sub(time.UnixMilli(since)) < wait {
		return false
	}
	c.reportedAt = now
	return true
}

// reportCallers writes to the board that callers have begun to send requests, unless the board
// shows it.
func (s *Server) reportCallers(ctx context.Context, now time.Time) {
	if s.o.Control == nil || !s.callerReport.isDue(now, s.o.Follower.Board(), hashFraction(s.o.ID)) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, boardTimeout)
		defer cancel()
		since := s.callerReport.firstRequestMillis.Load()
		err := s.commitBoard(ctx, &blackboard.RecordFirstRequest{NowMillis: since}, nil)
		_ = level.Info(s.o.Logger).Log("event", "callers_reported", "since_ms", since, "err", errText(err))
	}()
}
