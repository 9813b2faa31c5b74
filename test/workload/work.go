package workload

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// model and service are the names that the system under test serves.
const (
	model   = "demo"
	service = "records"
)

// Work is one piece of work that a caller wants done, however often it is sent.
type Work struct {
	// Name is unique. It is the prompt, or the body of a service call.
	Name string
	// Key is the idempotency key, or empty.
	Key           string
	NonIdempotent bool
	// IsServiceCall is true if the work is a call of the plain service.
	IsServiceCall bool
	Method        string
	MaxTokens     int
	Stream        bool
	Sends         []Send
}

// Send is one send of a work and the reply to it.
type Send struct {
	Entry string
	At    time.Time
	Ended time.Time
	Reply harness.Reply
}

// identity returns the name under which backend servers record the work.
func (w *Work) identity() string {
	if w.IsServiceCall {
		return standin.BodyHash([]byte(w.Name))
	}
	return w.Name
}

// mayResend reports whether a caller may resend the work. A non-idempotent work without a key is
// sent once.
func (w *Work) mayResend() bool { return w.Key != "" || !w.NonIdempotent }

func (w *Work) completion() harness.Completion {
	return harness.Completion{
		Model: model, Prompt: w.Name, MaxTokens: w.MaxTokens, Stream: w.Stream,
		Key: w.Key, NonIdempotent: w.NonIdempotent, TimeoutMillis: sendTimeoutMillis,
	}
}

func (w *Work) serviceRequest() harness.ServiceRequest {
	return harness.ServiceRequest{
		Service: service, Method: w.Method, Path: "/custody", Body: []byte(w.Name),
		Key: w.Key, NonIdempotent: w.NonIdempotent, TimeoutMillis: sendTimeoutMillis,
	}
}

// isCorrect reports whether a reply is the complete answer to this work.
func (w *Work) isCorrect(r harness.Reply) bool {
	if !w.IsServiceCall {
		return r.Right(w.completion())
	}
	echo, err := r.Echo()
	return err == nil && r.Whole && echo.BodyHash == w.identity() && echo.Method == w.Method
}

// isSettled reports whether a reply ends the work: a complete answer, or the final statement that
// its outcome is unknown.
func isSettled(r harness.Reply) bool {
	if r.Whole {
		return true
	}
	return r.Refusal != nil && r.Refusal.Type == failure.TypeOutcomeUnknown
}

// newWork draws a work: half completions and half calls, a third of each non-idempotent, most
// with a key.
func newWork(r *rand.Rand, caller, number int) *Work {
	w := &Work{
		Name:          fmt.Sprintf("caller %d work %d", caller, number),
		NonIdempotent: r.IntN(3) == 0,
		IsServiceCall: r.IntN(2) == 0,
		Method:        http.MethodPut,
		MaxTokens:     1 + r.IntN(30),
		Stream:        r.IntN(2) == 0,
	}
	if w.NonIdempotent {
		w.Method = http.MethodPost
	}
	if r.IntN(4) > 0 {
		w.Key = w.Name
	}
	return w
}
