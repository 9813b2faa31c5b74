package admission

import "time"

// Request holds the data about a caller's request on which admission decides.
type Request struct {
	ID        string
	Workspace string
	Class     string
	Model     string
	// Homes names the regions that may serve the request; empty means any. The requests of a
	// model wait in a separate queue for each value, because they compete for different backend
	// servers.
	Homes string
	// IdempotencyKey is the key that the caller sent, or empty. Keys are compared within the
	// workspace.
	IdempotencyKey string
	// Tokens estimates the size of the request: prompt and output. A call to a plain service
	// counts as one token.
	Tokens  int
	Arrived time.Time
	// Deadline is when the complete answer is due; zero means no deadline.
	Deadline time.Time
	// OnTimeUntil is the latest time at which the request can reach a backend server and its
	// answer begin within its objective; zero means that it has no objective.
	OnTimeUntil time.Time
	// MaxPlaceable is the greatest number of requests of the model, including this one, that can be
	// placed before the deadline; 0 means no bound.
	MaxPlaceable int
	// RetryBudget names the budget that retries of the request are taken from; empty means the
	// budget of the workspace.
	RetryBudget string
	// Last is set for a request that goes after all others that wait for the same backend
	// servers, whatever their worth.
	Last bool
	// Resend is true if the caller sent this request before.
	Resend bool
	// Reserve is set by Next: the part of each backend server, from 0 to 1, that placement must
	// leave free for requests of greater worth.
	Reserve float64
}

// queueName returns the name of the queue in which the request waits.
func (r Request) queueName() string {
	if r.Homes == "" {
		return r.Model
	}
	return r.Model + " in " + r.Homes
}

// Reason states why a request was refused. Its value appears in logs and metrics.
type Reason string

// The reasons of a refusal.
const (
	// ReasonDeadlinePassed refuses a request that even an idle backend server could not answer in
	// time.
	ReasonDeadlinePassed Reason = "deadline_passed"
	// ReasonDeadlineUnreachable refuses a request that would be too late because of the requests
	// ahead of it.
	ReasonDeadlineUnreachable Reason = "deadline_unreachable"
	// ReasonExpired refuses a waiting request that can no longer be answered in time.
	ReasonExpired Reason = "expired_in_queue"
	// ReasonQueueFull refuses a request because the queue is full and no waiting request is worth
	// less.
	ReasonQueueFull Reason = "queue_full"
	// ReasonWorkspaceFull refuses a request of a workspace that holds its full share of the
	// queue.
	ReasonWorkspaceFull Reason = "workspace_queue_full"
	// ReasonOutranked refuses a waiting request in favour of a request that is worth more.
	ReasonOutranked Reason = "outranked"
	// ReasonIDInUse refuses a request whose id another request has. The entry makes the ids, so
	// the refusal shows a fault of the entry.
	ReasonIDInUse Reason = "id_in_use"
	// ReasonTooEarly refuses a resend that arrives before its Retry-After has passed.
	ReasonTooEarly Reason = "before_retry_after"
)

// Refusal states that a request did not run and when its caller may retry.
type Refusal struct {
	Reason Reason
	// RetryAfter is spread so that refused callers return no faster than their requests can be
	// served.
	RetryAfter time.Duration
	Detail     string
}

// Eviction is a request that waited and is now refused.
type Eviction struct {
	Request Request
	Refusal Refusal
}

// Decision is the result of Offer. Either Queued is true, or Joined names the request that this
// one repeats, or Refusal is set.
type Decision struct {
	Queued bool
	// Joined is the id of the waiting or running request with the same
	// idempotency key; the caller gets that request's answer.
	Joined  string
	Refusal *Refusal
	// Evicted holds the requests that were refused in favour of this request.
	Evicted []Eviction
}

// Outcome describes the end of a request that Next returned.
type Outcome struct {
	ID string
	// Answered is true if a complete answer was received.
	Answered bool
	// Tokens is the number of tokens processed, or 0 if unknown.
	Tokens int
	// Took is the time from Next to the end of the answer.
	Took time.Duration
}
