package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
)

// cutCause is why an answer that had begun ended before its caller had received all of it.
type cutCause string

const (
	// cutCallerLeft: the caller closed its connection.
	cutCallerLeft cutCause = "caller_left"
	// cutCallerWrite: a write to the caller failed.
	cutCallerWrite cutCause = "caller_write"
	// cutDeadline: the deadline passed.
	cutDeadline cutCause = "deadline"
	// cutEntryStopped: this process closed its listeners before the answer was complete.
	cutEntryStopped cutCause = "entry_stopped"
	// cutNotRepeatable: the attempt failed, and the request may run once only.
	cutNotRepeatable cutCause = "not_repeatable"
	// cutAttemptsUsed: the last attempt that the request may have failed.
	cutAttemptsUsed cutCause = "attempts_used"
	// cutRetryBudget: an attempt failed, and the retry budget was spent.
	cutRetryBudget cutCause = "retry_budget"
	// cutNoBackendServer: an attempt failed, and no other backend server became available in time.
	cutNoBackendServer cutCause = "no_backend_server"
	// cutLeaseLost: an attempt failed, and this entry may send no other one, as its configuration
	// lease has expired.
	cutLeaseLost cutCause = "lease_lost"
	// cutCrashes: an attempt failed, and crashes are attributed to the request.
	cutCrashes cutCause = "crashes_backend"
	// cutOther: another refusal of a further attempt, which the line's reason names.
	cutOther cutCause = "other"
)

// isOfCaller reports whether the caller or its deadline ended the answer. An answer that ended for another cause may have
// been sound.
func (c cutCause) isOfCaller() bool {
	return c == cutCallerLeft || c == cutCallerWrite || c == cutDeadline
}

// writeCutCause returns the cause of an answer whose caller can't be written to.
func (s *Server) writeCutCause() cutCause {
	if s.stopped.Load() {
		return cutEntryStopped
	}
	return cutCallerWrite
}

// hasBegun reports whether a part of the answer has been written to the caller of a forwarded
// request.
func (j *job) hasBegun() bool { return j.forward != nil && j.forward.begun.Load() }

// hasAnswerPart reports whether there is a part of the answer that its caller may have received.
func (j *job) hasAnswerPart() bool { return j.hasBegun() || j.answer.length() > 0 }

// cutCauseOf returns the cause of a failure that ended a begun answer.
func (s *Server) cutCauseOf(j *job, e *failure.Error) cutCause {
	cause := context.Cause(j.ctx)
	switch {
	case cause != nil && s.stopped.Load(), errors.Is(cause, errEntryStopping):
		return cutEntryStopped
	case errors.Is(cause, context.DeadlineExceeded):
		return cutDeadline
	case j.forward != nil && j.forward.hasWriteFailed():
		return s.writeCutCause()
	case cause != nil:
		return cutCallerLeft
	case j.noFurtherAttempt != "":
		return j.noFurtherAttempt
	}
	return cutCauseOfType(e.Type)
}

func cutCauseOfType(t failure.Type) cutCause {
	switch t {
	case failure.TypeNoBackendServer, failure.TypeOverloaded:
		return cutNoBackendServer
	case failure.TypeConfigurationStale:
		return cutLeaseLost
	case failure.TypeRequestCrashesBackend:
		return cutCrashes
	}
	return cutOther
}

// logCut logs and counts an answer that had begun and that its caller did not receive to its end,
// with what a change of the configuration, a restart or a lost lease would show. It reads only the
// fields of the job that do not change while it runs; more holds further fields of the line.
func (s *Server) logCut(j *job, cause cutCause, e *failure.Error, more ...any) {
	board := s.o.Follower.Board()
	s.o.Metrics.AnswerCut(string(cause))
	line := []any{"event", "answer_cut", "request", j.id, "cause", string(cause), "type", e.Type, "ran", e.Ran, "reason", e.Message, "detail", e.Detail,
		"class", j.class, "workspace", j.workspace, "model", j.model,
		"took_ms", time.Since(j.arrived).Milliseconds(), "left_ms", time.Until(j.deadline).Milliseconds(),
		"up_ms", time.Since(s.startedAt).Milliseconds(), "lease_ms", s.o.Follower.LeaseRemaining().Milliseconds(),
		"arrival_config", j.arrivalConfig, "config", board.Config.Revision, "board", board.Revision}
	line = append(line, more...)
	if !cause.isOfCaller() {
		s.requests.Warn(line...)
		return
	}
	lines := s.requests.Request()
	lines.Info(line...)
	lines.End(true)
}

// callerWriteFailure is the failure of an answer whose caller can't be written to.
func callerWriteFailure(err error) *failure.Error {
	return failure.New(failure.TypeOutcomeUnknown, "the caller disconnected: "+err.Error()).WithRan(failure.RanUnknown)
}
