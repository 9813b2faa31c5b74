package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
)

const (
	// drainingRetryAfter is short, as any other entry serves the caller at once.
	drainingRetryAfter = 50 * time.Millisecond
	// stopAnswerTime is how long before the limit of a graceful stop the requests whose answers have not
	// begun are answered, so that the answers are written before their connections close.
	stopAnswerTime = 300 * time.Millisecond
	// stopAnswerDivisor reserves at most a quarter of a short stop for that.
	stopAnswerDivisor = 4
)

// errEntryStopping ends the jobs that a stopping entry can't complete in time.
const errEntryStopping = errors.ConstError("this entry is stopping")

// stoppingRefusal refuses a request that this entry can't serve before it stops.
func stoppingRefusal() *failure.Error {
	return failure.New(failure.TypeDraining, "this entry is stopping; send to another").WithRetryAfter(drainingRetryAfter)
}

// Drain stops gracefully. It turns readiness off, gives the load balancer time to react, refuses new
// work, and waits for running work to finish. It calls refusing when new work begins to be refused.
// Shortly before the context ends it answers the requests whose answers have not begun. It returns
// false if answers were still open when the context ended.
func (s *Server) Drain(ctx context.Context, refusing func()) bool {
	s.leaving.Store(true)
	wait := time.NewTimer(time.Duration(s.o.Settings.BalancerMillis) * time.Millisecond)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	s.refuseNewWork()
	refusing()
	if limit, ok := ctx.Deadline(); ok {
		left := time.Until(limit)
		defer time.AfterFunc(left-min(stopAnswerTime, left/stopAnswerDivisor), s.endUnbegun).Stop()
	}
	select {
	case <-s.ended():
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) refuseNewWork() {
	s.drainMu.Lock()
	defer s.drainMu.Unlock()
	s.draining.Store(true)
}

// endUnbegun ends the jobs whose answers have not begun with a final answer.
//
// Failure: requests wait in the queue, or for the first byte of their answers, when the time of a stop is over.
// Their connections close without an answer, and their callers can't tell whether they ran.
func (s *Server) endUnbegun() {
	for _, j := range s.jobs.running() {
		if !j.hasBegun() && j.answer.length() == 0 {
			j.cancel(errEntryStopping)
		}
	}
}

// EndOpen admits no new work from now on and gives all open requests a final answer whose protocol
// allows one: those whose answers have not begun, and those of the entry's own API. The caller closes the
// connections once these are written.
func (s *Server) EndOpen() {
	s.refuseNewWork()
	for _, j := range s.jobs.running() {
		if !j.hasBegun() {
			j.cancel(errEntryStopping)
		}
	}
}

// NoteStopped records that the process is about to close its callers' connections.
func (s *Server) NoteStopped() { s.stopped.Store(true) }

// AwaitEnded waits until all jobs have ended, for limit at most, so that the log names those whose
// connections have been closed.
func (s *Server) AwaitEnded(limit time.Duration) {
	select {
	case <-s.ended():
	case <-time.After(limit):
	}
}

// ended returns a channel that is closed once no job is running.
func (s *Server) ended() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		s.work.Wait()
		close(ended)
	}()
	return ended
}
