// Package failure holds the typed errors that cross a process boundary.
//
// Every refusal that a caller, an operator or another process of the system
// sees carries a Type, which programs compare, and a Ran, which says whether
// the request may have run.
package failure

import (
	"time"

	"github.com/juju/errors"
)

// Type names a failure. Its value is part of the caller and admin APIs.
type Type string

// The types that callers and operators see.
const (
	TypeBadRequest         Type = "bad_request"
	TypeUnauthenticated    Type = "unauthenticated"
	TypeForbidden          Type = "forbidden"
	TypeNotFound           Type = "not_found"
	TypeUnknownModel       Type = "unknown_model"
	TypeUnknownService     Type = "unknown_service"
	TypeBodyTooLarge       Type = "body_too_large"
	TypeHeaderTooLarge     Type = "header_too_large"
	TypeOverloaded         Type = "overloaded"
	TypeDeadlineExceeded   Type = "deadline_exceeded"
	TypeNoBackendServer    Type = "no_backend_server"
	TypeBackendFailed      Type = "backend_failed"
	TypeStalled            Type = "backend_stalled"
	TypeOutcomeUnknown     Type = "outcome_unknown"
	TypeInProgress         Type = "in_progress"
	TypeKeyReused          Type = "idempotency_key_reused"
	TypePoisoned           Type = "request_crashes_backend"
	TypeDraining           Type = "draining"
	TypeConfigurationStale Type = "configuration_stale"
	TypeConflict           Type = "conflict"
	TypeNotLeader          Type = "not_leader"
	TypeNotFounded         Type = "not_founded"
	TypeUnavailable        Type = "unavailable"
	TypeInternal           Type = "internal"
)

// Ran says whether a refused request ran on a backend server.
type Ran string

// RanNo is said only where nothing was sent to a backend server, or the
// backend server itself said that it did not start the request.
const (
	RanNo      Ran = "no"
	RanUnknown Ran = "unknown"
	RanYes     Ran = "yes"
)

// Error is a typed failure. Its JSON form is the body of every refusal.
type Error struct {
	Type    Type   `json:"type"`
	Message string `json:"message"`
	Ran     Ran    `json:"ran,omitempty"`
	// RequestID is the id under which the system logged the request.
	RequestID string `json:"request_id,omitempty"`
	// Detail names the setting, key or revision at fault.
	Detail string `json:"detail,omitempty"`
	// Revision is the current revision, given with a conflict.
	Revision uint64 `json:"revision,omitempty"`
	// RetryAfter is when the caller should come back; zero means never.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the type and the message.
func (e *Error) Error() string {
	return string(e.Type) + ": " + e.Message
}

// New returns a failure of type t. A failure that refuses a request also
// needs WithRan.
func New(t Type, message string) *Error {
	return &Error{Type: t, Message: message}
}

// WithRan returns a copy of e that says whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.Ran = r
	return &c
}

// WithRetryAfter returns a copy of e that tells the caller when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithDetail returns a copy of e that names what is at fault.
func (e *Error) WithDetail(detail string) *Error {
	c := *e
	c.Detail = detail
	return &c
}

// From returns the typed failure in err's chain, or one of TypeInternal that
// carries err's text.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(TypeInternal, err.Error())
}

// Is tells whether err's chain holds a failure of type t.
func Is(err error, t Type) bool {
	var e *Error
	return errors.As(err, &e) && e.Type == t
}
