package backend

import (
	"context"
	"io"
	"net/http"
	"time"
)

// ForwardCall is one attempt to forward a caller's HTTP request unchanged.
type ForwardCall struct {
	// ID is the request id that the caller chose.
	ID      string
	Address string
	// Incarnation is the only incarnation that may run the request.
	Incarnation string
	Method      string
	Host        string
	// Path is the request's path with its query, as sent.
	Path   string
	Header http.Header
	Body   []byte
	// Workspace is the owner of the key that the request carried; empty on a public
	// route.
	Workspace string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Rank orders requests in the engine's own queue; rank 0 is served first.
	Rank int
	// Resume requests that a stream continue after the event ResumeAfter.
	Resume      bool
	ResumeAfter uint64
	// NewConnection requests a new connection, see ServiceCall.NewConnection.
	NewConnection bool
	Permit        Permit
	// OnRelay is called with the peer if one relays the call; it may be nil.
	OnRelay func(peer string)
}

// ForwardAnswer is the head of the answer to a ForwardCall. The caller must close Body.
type ForwardAnswer struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only if the answer was not cut.
	Body io.ReadCloser
	// Length is the announced length of Body, or -1.
	Length int64
	// EndsWithConnection is set if the answer announces no end: one that is cut looks complete.
	EndsWithConnection bool
	// NotRun is set if the backend server did not run the request and never will.
	NotRun bool
	// OtherServer is set if another backend server now has the address.
	OtherServer bool
	// IsOtherRequest is set if the answer belongs to another request.
	IsOtherRequest bool
	// Proven is set if the answer carries proof that a backend server made it for
	// this request.
	Proven bool
	// AtFault is the incarnation that caused the refusal, if any.
	AtFault string
	// Load is the load that the backend server reports; nil if it reports none.
	Load *ServerLoad
	// Notice is what the backend server states about itself.
	Notice Notice
}

// ServerLoad is the load that a backend server reports in its answers.
type ServerLoad struct {
	Running, Queued, Slots int
}

// Forwarder forwards callers' HTTP requests. Each error is a *CallError.
type Forwarder interface {
	Forward(ctx context.Context, c ForwardCall) (*ForwardAnswer, error)
}
