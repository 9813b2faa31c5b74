package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/demand"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// DemandReporter reports the observed demand to the leader.
type DemandReporter interface {
	ReportDemand(ctx context.Context, r *noderpc.DemandReport) error
}

// demandReportTimeout bounds one report. A report that takes longer is lost, and the next one
// covers a later time.
const demandReportTimeout = time.Second

// demandCounter counts the requests for models whose groups are laid out by demand. It is safe
// for concurrent use.
type demandCounter struct {
	mu      sync.Mutex
	counter *demand.Counter
	// dueAt is when the next report is due. Only the route loop uses it.
	dueAt time.Time
}

func newDemandCounter(now time.Time) *demandCounter {
	return &demandCounter{counter: demand.NewCounter(now)}
}

// arrived counts a request if it is a first try for an observed model.
func (c *demandCounter) arrived(j *job, config *blackboard.Configuration) {
	if j.firstSent.Before(j.arrived) || (j.forward != nil && j.forward.resume) || !config.FollowsDemand(j.model) {
		return
	}
	j.countsAsDemand = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.Arrived(j.demandClass(), j.tokens())
}

// ended counts how a request ended. A request whose caller has left counts as neither answered
// nor refused.
func (c *demandCounter) ended(j *job, e *failure.Error) {
	if !j.countsAsDemand || (e != nil && j.ctx != nil && context.Cause(j.ctx) != nil && !j.deadlinePassed()) {
		return
	}
	outcome := demand.OnTime
	switch {
	case e != nil:
		outcome = demand.Refused
	case j.isLate():
		outcome = demand.Late
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.Ended(j.demandClass(), outcome)
}

// countDemand counts a job that has begun, or was refused for the number of open requests. A
// resend that has attached to another job is not counted.
func (s *Server) countDemand(j, first *job, e *failure.Error) {
	if e == nil && first != j {
		return
	}
	s.demand.arrived(j, &s.o.Follower.Board().Config)
	if e != nil {
		s.demand.ended(j, e)
	}
}

func (j *job) demandClass() demand.Class { return demand.Class{Model: j.model, Class: j.class} }

// deadlinePassed reports whether the job's context ended at its deadline and not because the
// callers left.
func (j *job) deadlinePassed() bool { return context.Cause(j.ctx) == context.DeadlineExceeded }

// take returns the next report, if it is due and callers have begun to send requests. turn is the
// entry's position among all entries, from 0 to 1: it spreads the first reports over an interval.
func (c *demandCounter) take(now time.Time, b *blackboard.Board, turn float64) (time.Duration, map[demand.Class]demand.Count, bool) {
	if b.ClusterID == "" || b.FirstRequestMillis == 0 || !b.Config.AnyFollowsDemand() {
		// The time before the first caller is not a time without demand.
		c.begin(now)
		return 0, nil, false
	}
	interval := demand.Interval(len(b.Entries))
	if c.dueAt.IsZero() {
		c.dueAt = now.Add(time.Duration(turn * float64(interval)))
	}
	if now.Before(c.dueAt) {
		return 0, nil, false
	}
	c.dueAt = now.Add(interval)
	c.mu.Lock()
	defer c.mu.Unlock()
	window, counts := c.counter.Take(now)
	return window, counts, true
}

// begin makes the next report cover the time from now on.
func (c *demandCounter) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counter.Take(now)
}

// reportDemand sends the demand that this entry observed since its last report to the leader.
func (s *Server) reportDemand(now time.Time) {
	if s.o.DemandReporter == nil {
		return
	}
	board := s.o.Follower.Board()
	window, counts, due := s.demand.take(now, board, hashFraction(s.o.ID))
	if !due {
		return
	}
	r := &noderpc.DemandReport{ClusterId: board.ClusterID, EntryId: s.o.ID, WindowMs: window.Milliseconds()}
	for class, n := range counts {
		r.Classes = append(r.Classes, &noderpc.ClassDemand{
			Model: class.Model, Class: class.Class, Arrived: uint32(n.Arrived), Tokens: uint64(n.Tokens),
			OnTime: uint32(n.OnTime), Late: uint32(n.Late), Refused: uint32(n.Refused),
		})
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), demandReportTimeout)
		defer cancel()
		err := s.o.DemandReporter.ReportDemand(ctx, r)
		s.o.Metrics.DemandReport(err == nil)
		if err != nil {
			_ = level.Debug(s.o.Logger).Log("event", "demand_report_lost", "window_ms", r.WindowMs, "err", err)
		}
	}()
}
