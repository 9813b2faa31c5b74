package failure

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// statuses maps each type to its HTTP status.
var statuses = map[Type]int{
	TypeBadRequest:            http.StatusBadRequest,
	TypeUnauthenticated:       http.StatusUnauthorized,
	TypeForbidden:             http.StatusForbidden,
	TypeNotFound:              http.StatusNotFound,
	TypeUnknownModel:          http.StatusNotFound,
	TypeUnknownService:        http.StatusNotFound,
	TypeBodyTooLarge:          http.StatusRequestEntityTooLarge,
	TypeHeaderTooLarge:        http.StatusRequestHeaderFieldsTooLarge,
	TypeOverloaded:            http.StatusTooManyRequests,
	TypeDeadlineExceeded:      http.StatusGatewayTimeout,
	TypeNoBackendServer:       http.StatusServiceUnavailable,
	TypeBackendFailed:         http.StatusBadGateway,
	TypeBackendStalled:        http.StatusGatewayTimeout,
	TypeOutcomeUnknown:        http.StatusBadGateway,
	TypeInProgress:            http.StatusConflict,
	TypeIdempotencyKeyReused:  http.StatusUnprocessableEntity,
	TypeRequestCrashesBackend: http.StatusUnprocessableEntity,
	TypeDraining:              http.StatusServiceUnavailable,
	TypeConfigurationStale:    http.StatusServiceUnavailable,
	TypeConflict:              http.StatusConflict,
	TypeNotLeader:             http.StatusServiceUnavailable,
	TypeNotFounded:            http.StatusServiceUnavailable,
	TypeUnavailable:           http.StatusServiceUnavailable,
	TypeInternal:              http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status of the failure. An unknown type has the status 500.
func (e *Error) HTTPStatus() int {
	if s, ok := statuses[e.Type]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON body of a refusal.
type Body struct {
	Error *Error `json:"error"`
}

// Write answers a request with the failure as JSON. If RetryAfter is set, Write adds a
// Retry-After header in whole seconds, rounded up.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(roundUpSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.HTTPStatus())
	// The caller may have disconnected, so nobody can receive this error.
	_ = json.NewEncoder(w).Encode(Body{Error: e})
}

func roundUpSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
