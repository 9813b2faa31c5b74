package backend

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ForwardCall is one attempt at a caller's HTTP request that is passed on as it
// came.
type ForwardCall struct {
	// ID is the caller's own id of its request.
	ID      string
	Address string
	// Incarnation is the only one that may run the request.
	Incarnation string
	Method      string
	Host        string
	// Path is the request's path with its query, as sent.
	Path   string
	Header http.Header
	Body   []byte
	// Workspace is whose key the request carried; empty on a public route.
	Workspace string
	// TimeLeft is how long the answer is of use.
	TimeLeft time.Duration
	// Rank orders the engine's own queue, 0 first.
	Rank int
	// Resume asks a stream to go on after the event ResumeAfter.
	Resume      bool
	ResumeAfter uint64
	// Fresh asks for a connection of its own, see ServiceCall.Fresh.
	Fresh bool
}

// ForwardAnswer is the head of the answer to a ForwardCall. Whoever gets it
// closes Body.
type ForwardAnswer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only where the answer was not cut.
	Body io.ReadCloser
	// Length is the announced length of Body, or -1.
	Length int64
	// NotRun says that the backend server did not run the request and never
	// will.
	NotRun bool
	// OtherServer says that another backend server has the address by now.
	OtherServer bool
	// Foreign says that the answer is that of another request.
	Foreign bool
	// Proven says that the answer carries the proof of having been made by a
	// backend server for this request.
	Proven bool
	// AtFault names the incarnation that the refusal is due to, if any.
	AtFault string
	// Load is what the backend server says of itself; nil if nothing.
	Load *ServerLoad
	// RateLimit is how many requests a second the backend server takes from all
	// entries together; nil if the answer names no limit.
	RateLimit *float64
}

// ServerLoad is a backend server's load as its answers state it.
type ServerLoad struct {
	Running, Queued, Slots int
}

// Forwarder passes callers' HTTP requests on. Each error is a *CallError.
type Forwarder interface {
	Forward(ctx context.Context, c ForwardCall) (*ForwardAnswer, error)
}
