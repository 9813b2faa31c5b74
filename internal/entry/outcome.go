package entry

import "github.com/citronstep/citronstep/internal/failure"

// outcome is how one attempt ended.
type outcome int

const (
	// outcomeWhole: the end mark came and everything checked out.
	outcomeComplete outcome = iota
	// outcomeNotStarted: nothing was sent; another target may be tried whatever
	// the request is.
	outcomeNotStarted
	// outcomeRejected: the backend server says that it has not run the request.
	// Another may be tried, but the load of the attempt has been added.
	outcomeRejected
	// outcomeBroken: the attempt may have run and has no whole answer.
	outcomeBroken
	// outcomeEnded: the job's own context ended.
	outcomeJobEnded
)

// name is the outcome as metrics and logs show it.
func (o outcome) name(e *failure.Error) string {
	switch {
	case o == outcomeComplete:
		return "whole"
	case o == outcomeNotStarted:
		return "not_started"
	case o == outcomeRejected:
		return "rejected"
	case o == outcomeJobEnded:
		return "ended"
	case e != nil && e.Type == failure.TypeStalled:
		return "stalled"
	}
	return "broken"
}
