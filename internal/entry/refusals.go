package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/failure"
)

// refusal converts a refusal by admission into the caller's answer. Admission refuses only
// requests that have not been sent anywhere.
func refusal(r admission.Refusal) *failure.Error {
	t := failure.TypeOverloaded
	switch r.Reason {
	case admission.ReasonDeadlinePassed, admission.ReasonDeadlineUnreachable, admission.ReasonExpired:
		t = failure.TypeDeadlineExceeded
	}
	return failure.New(t, "refused: "+string(r.Reason)).WithDetail(r.Detail).
		WithRan(failure.RanNo).WithRetryAfter(r.RetryAfter)
}

// rateLimitedRetryAfter is short, as another entry may have a share of the limits.
const rateLimitedRetryAfter = 100 * time.Millisecond

// rateLimitRefusal refuses a request that no backend server accepts from this entry in time.
func rateLimitRefusal() *failure.Error {
	return failure.New(failure.TypeOverloaded, "the rate limits of all backend servers leave this entry no slot in time").
		WithRan(failure.RanNo).WithRetryAfter(rateLimitedRetryAfter)
}

// failedRetryAfter is when a caller should come back whose request failed on backend servers.
const failedRetryAfter = time.Second

const (
	// maxBlockedRetryAfter bounds the Retry-After of requests whose backend servers have asked this
	// entry for no request: other entries may serve the caller before.
	maxBlockedRetryAfter = 30 * time.Second
	// blockedRetryJitter is the greatest addition to that Retry-After, as a fraction of it. It
	// keeps callers from returning together at the end of a back-off.
	blockedRetryJitter = 0.25
)

// backoffRefusal refuses a request whose backend servers have all asked this entry for no request
// for longer than the request can wait. A backend server becomes free after the given time.
func backoffRefusal(after time.Duration) *failure.Error {
	return failure.New(failure.TypeOverloaded, "all backend servers have asked this entry to back off").
		WithRan(failure.RanNo).WithRetryAfter(after)
}

// evacuatedRetryAfter is about the time in which a group forms in another data centre, the shortest
// Retry-After of a pool whose targets are all evacuated.
const evacuatedRetryAfter = time.Second

// evacuatedRefusal refuses a request whose backend servers are all in evacuated data centres.
func evacuatedRefusal(retryAfter time.Duration) *failure.Error {
	return failure.New(failure.TypeNoBackendServer, "all backend servers for this request are in data centres that are evacuated").
		WithRan(failure.RanNo).WithRetryAfter(retryAfter)
}

// noGroupRetryAfter is about the time in which a broken group is replaced.
const noGroupRetryAfter = 2 * time.Second

func noBackendServer() *failure.Error {
	return failure.New(failure.TypeNoBackendServer, "no backend server for this request is in service").
		WithRan(failure.RanNo).WithRetryAfter(noGroupRetryAfter)
}

// contextEnded returns the failure of a job whose context ended before the job was sent
// anywhere.
func contextEnded(ctx context.Context) *failure.Error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errEntryStopping):
		return stoppingRefusal().WithRan(failure.RanNo)
	case errors.Is(cause, context.DeadlineExceeded):
		return failure.New(failure.TypeDeadlineExceeded, "the deadline passed while the request waited").
			WithRan(failure.RanNo).WithRetryAfter(time.Second)
	}
	return failure.New(failure.TypeUnavailable, "the caller disconnected").WithRan(failure.RanNo).WithRetryAfter(time.Second)
}
