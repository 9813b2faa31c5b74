package admission

import "time"

// Request is what admission needs to know of a caller's request.
type Request struct {
	ID        string
	Workspace string
	Class     string
	Model     string
	// Homes names the regions that may serve the request; empty is any. Requests of a model
	// wait apart for each, as they compete for other backend servers.
	Homes string
	// IdempotencyKey is the caller's, or empty. It is compared within the
	// workspace.
	IdempotencyKey string
	// Tokens estimates the work: prompt and output. A call to a plain service
	// counts as one.
	Tokens  int
	Arrived time.Time
	// Deadline is when the whole answer is due; zero means none.
	Deadline time.Time
	// OnTimeUntil is until when it must reach a backend server for its answer to
	// begin within its objective; zero means that it has none.
	OnTimeUntil time.Time
	// Places is how many requests of the model, this one included, can be placed before
	// the deadline at most; 0 is no bound.
	Places int
	// RetryBudget names the budget that retries of the request are taken from;
	// empty is the workspace's.
	RetryBudget string
	// Resend says that the caller sent this request before.
	Resend bool
	// Reserve is set by Next: the part of each backend server, from 0 to 1,
	// that placement must leave free for requests of greater worth.
	Reserve float64
}

// queue names the queue that the request waits in.
func (r Request) queue() string {
	if r.Homes == "" {
		return r.Model
	}
	return r.Model + " in " + r.Homes
}

// Reason says why a request was refused. Its value appears in logs and
// metrics.
type Reason string

// The reasons of a refusal.
const (
	// ReasonDeadlinePassed refuses what could not be answered in time even by
	// an idle backend server.
	ReasonDeadlinePassed Reason = "deadline_passed"
	// ReasonDeadlineUnreachable refuses what the requests ahead of it would
	// make too late.
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	// ReasonExpired refuses a waiting request that can't be in time any more.
	ReasonExpired Reason = "expired_in_queue"
	// ReasonQueueFull refuses a request worth no more than all that wait.
	ReasonQueueFull Reason = "queue_full"
	// ReasonWorkspaceFull refuses a request of a workspace that holds its
	// whole part of the queue.
	ReasonWorkspaceFull Reason = "workspace_queue_full"
	// ReasonOutranked refuses a waiting request to make room for one worth
	// more.
	ReasonOutranked Reason = "outranked"
	// ReasonIDInUse refuses a request whose id another one has; the entry makes
	// the ids, so it shows a fault of the entry.
	ReasonIDInUse Reason = "id_in_use"
	// ReasonTooEarly refuses a resend that came before its Retry-After.
	ReasonTooEarly Reason = "before_retry_after"
)

// Refusal tells a caller that its request did not run and when to come back.
type Refusal struct {
	Reason Reason
	// RetryAfter is spread so that refused callers come back no faster than
	// their requests can be served.
	RetryAfter time.Duration
	Detail     string
}

// Eviction is a request that waited and is now refused.
type Eviction struct {
	Request Request
	Refusal Refusal
}

// Decision is the answer to Offer. Either Queued is true, or Joined names the
// request that this one repeats, or Refusal is set.
type Decision struct {
	Queued bool
	// Joined is the id of the waiting or running request with the same
	// idempotency key; the caller gets that request's answer.
	Joined  string
	Refusal *Refusal
	// Evicted were refused to make room for this request.
	Evicted []Eviction
}

// Outcome reports the end of a request that Next returned.
type Outcome struct {
	ID string
	// Answered is true if a whole answer was received.
	Answered bool
	// Tokens is the work done, or 0 if unknown.
	Tokens int
	// Took is the time from Next to the end of the answer.
	Took time.Duration
}
