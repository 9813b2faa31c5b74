package entry

import (
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeComplete: the end mark arrived and all checks passed.
	outcomeComplete outcome = iota
	// outcomeNotStarted: nothing was sent. Any request may be tried on another target.
	outcomeNotStarted
	// outcomeWithheld: nothing was sent, because the backend server asked for no request after it
	// had been chosen. Another may be tried, and the attempt does not count.
	outcomeWithheld
	// outcomeRejected: the backend server states that it has not run the request. Another may
	// be tried, but the attempt has added its load.
	outcomeRejected
	// outcomeCut: the backend server closed the connection of an attempt that may have run before
	// the end of its answer.
	outcomeCut
	// outcomeInvalid: this entry has ended an attempt that may have run, as its answer is invalid.
	outcomeInvalid
	// outcomeUnreadable: this entry has ended an attempt that may have run, as the bytes of its answer follow no
	// protocol or exceed a limit. The backend server is alive, and the same request there would end so again.
	outcomeUnreadable
	// outcomeBroken: the attempt may have run and has no complete answer for another reason.
	outcomeBroken
	// outcomeJobEnded: the job's own context ended.
	outcomeJobEnded
)

// mayHaveRun reports whether the attempt may have run without a complete answer.
func (o outcome) mayHaveRun() bool {
	return o == outcomeCut || o == outcomeInvalid || o == outcomeUnreadable || o == outcomeBroken
}

// name returns the outcome's name in metrics and logs.
func (o outcome) name(e *failure.Error) string {
	switch {
	case o == outcomeComplete:
		return "whole"
	case o == outcomeNotStarted:
		return "not_started"
	case o == outcomeWithheld:
		return "withheld"
	case o == outcomeRejected:
		return "rejected"
	case o == outcomeJobEnded:
		return "ended"
	case o == outcomeUnreadable:
		return "unreadable"
	case isStalled(e):
		return "stalled"
	}
	return "broken"
}

// isStalled reports whether this entry has ended an attempt that made no progress.
func isStalled(e *failure.Error) bool { return e != nil && e.Type == failure.TypeBackendStalled }

// outcomeOfCallError returns the outcome of a failed call by how far it got.
func outcomeOfCallError(err error) outcome {
	var call *backend.CallError
	switch {
	case errors.Is(err, backend.ErrWithheld):
		return outcomeWithheld
	case errors.As(err, &call) && call.Stage != backend.StageUnknown:
		return outcomeNotStarted
	case errors.Is(err, errFailureTooSlow):
		return outcomeInvalid
	case isUnreadable(err):
		return outcomeUnreadable
	}
	return outcomeCut
}

// isUnreadable reports whether a call failed because of the bytes that the backend server sent.
func isUnreadable(err error) bool {
	return errors.Is(err, backend.ErrMalformed) || errors.Is(err, backend.ErrLineTooLong) ||
		errors.Is(err, errAnswerTooLong) || errors.Is(err, errAnnouncedTooLong) || errors.Is(err, errEventMemory)
}
