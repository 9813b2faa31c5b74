// Package failure holds the typed errors that cross a process boundary.
//
// Every refusal that a caller, an operator or another process of the system receives carries a
// Type for programs to compare. Its Ran field states whether the request may have run.
package failure

import (
	"time"

	"github.com/juju/errors"
)

// Type identifies a kind of failure. Its values are part of the caller and admin APIs.
type Type string

// The failure types that callers and operators receive.
const (
	TypeBadRequest            Type = "bad_request"
	TypeUnauthenticated       Type = "unauthenticated"
	TypeForbidden             Type = "forbidden"
	TypeNotFound              Type = "not_found"
	TypeUnknownModel          Type = "unknown_model"
	TypeUnknownService        Type = "unknown_service"
	TypeBodyTooLarge          Type = "body_too_large"
	TypeHeaderTooLarge        Type = "header_too_large"
	TypeOverloaded            Type = "overloaded"
	TypeDeadlineExceeded      Type = "deadline_exceeded"
	TypeNoBackendServer       Type = "no_backend_server"
	TypeBackendFailed         Type = "backend_failed"
	TypeBackendStalled        Type = "backend_stalled"
	TypeOutcomeUnknown        Type = "outcome_unknown"
	TypeInProgress            Type = "in_progress"
	TypeIdempotencyKeyReused  Type = "idempotency_key_reused"
	TypeRequestCrashesBackend Type = "request_crashes_backend"
	TypeDraining              Type = "draining"
	TypeConfigurationStale    Type = "configuration_stale"
	TypeConflict              Type = "conflict"
	TypeNotLeader             Type = "not_leader"
	TypeNotFounded            Type = "not_founded"
	TypeUnavailable           Type = "unavailable"
	TypeInternal              Type = "internal"
)

// Ran states whether a refused request ran on a backend server.
type Ran string

// RanNo is used only if nothing was sent to a backend server, or if the backend server stated
// that it did not start the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Error is a typed failure. Its JSON form is part of the body of every refusal, see Body.
type Error struct {
	Type    Type   `json:"type"`
	Message string `json:"message"`
	Ran     Ran    `json:"ran,omitempty"`
	// RequestID is the ID of the request in the system's logs.
	RequestID string `json:"request_id,omitempty"`
	// Detail names the setting, key or revision at fault.
	Detail string `json:"detail,omitempty"`
	// Revision is the current revision; it is set for TypeConflict.
	Revision uint64 `json:"revision,omitempty"`
	// RetryAfter is the delay after which the caller should retry; zero means that no retry is
	// advised.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the type and the message.
func (e *Error) Error() string {
	return string(e.Type) + ": " + e.Message
}

// New returns a failure of type t. A failure that refuses a request also needs WithRan.
func New(t Type, message string) *Error {
	return &Error{Type: t, Message: message}
}

// WithRan returns a copy of e that states whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy of e with the delay after which the caller should retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithDetail returns a copy of e that names the setting, key or revision at fault.
func (e *Error) WithDetail(detail string) *Error {
	c := *e
	c.Detail = detail
	return &c
}

// From returns the first typed failure in err's chain. If there is none, it returns a failure of
// TypeInternal with err's text.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(TypeInternal, err.Error())
}

// Is reports whether the first typed failure in err's chain has type t.
func Is(err error, t Type) bool {
	var e *Error
	return errors.As(err, &e) && e.Type == t
}
