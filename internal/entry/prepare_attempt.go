package entry

import (
	"time"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/invariant"
	"github.com/citronstep/citronstep/internal/placement"
)

// prepareAttempt returns the grant with which the next attempt is sent, or the final failure if it must not be sent.
// begun is set if an earlier attempt may have run.
func (s *Server) prepareAttempt(j *job, g grant, begun bool) (grant, *failure.Error) {
	if j.suspect {
		g = s.tryIsolate(j, g)
	}
	if e := s.mayAttempt(j); e != nil {
		s.returnUnsent(g)
		return grant{}, withRanState(begun, e)
	}
	if !j.maySend() {
		s.returnUnsent(g)
		return grant{}, withRanState(true, failure.New(failure.TypeOutcomeUnknown, "the request may have run and may not run again"))
	}
	return g, nil
}

// returnUnsent gives back a grant whose attempt is not sent.
func (s *Server) returnUnsent(g grant) {
	s.dispatcher.attemptEnded(g.attempt, placement.Result{Cancelled: true})
	g.end()
}

// mayAttempt refuses a further attempt that must not be made any more.
//
// Failure: a request crashes its second backend server at another entry and is refused there.
// Its caller sends it to this entry within a millisecond, before this entry's board shows the
// crash. The request waits eight seconds for a turn in isolation and crashes a third backend
// server. So the board is checked again after the wait.
func (s *Server) mayAttempt(j *job) *failure.Error {
	if j.ctx.Err() != nil {
		return contextEnded(j.ctx)
	}
	if e := s.checkCrashes(j); e != nil {
		return e
	}
	j.sendRecord = s.newSendRecord(j)
	return s.mayDispatch()
}

// maySend asserts that a request that may run only once is not sent when it may have run. The
// decision on retries has ensured this already.
func (j *job) maySend() bool {
	return invariant.Check(!j.nonIdempotent || !j.mayHaveRun, "non_idempotent_sent_once", "request %s, attempt %d", j.id, j.attempts)
}

// tryIsolate replaces a suspect's grant by one that runs in isolation, if one becomes available
// in time.
func (s *Server) tryIsolate(j *job, g grant) grant {
	isolated, endTurn, ok := s.isolate(j)
	if !ok {
		return g
	}
	s.dispatcher.attemptEnded(g.attempt, placement.Result{Cancelled: true})
	isolated.endTurn = endTurn
	s.dispatcher.noteIsolated(time.Now(), isolated.route.target)
	j.lines.Info("event", "route", "request", j.id, "attempt", isolated.attempt,
		"choice", isolated.route.target, "runner_up", g.route.target, "reason", "suspect runs alone")
	return isolated
}
