package failure

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// statuses maps each type to the HTTP status that carries it.
var statuses = map[Type]int{
	TypeBadRequest:         http.StatusBadRequest,
	TypeUnauthenticated:    http.StatusUnauthorized,
	TypeForbidden:          http.StatusForbidden,
	TypeNotFound:           http.StatusNotFound,
	TypeUnknownModel:       http.StatusNotFound,
	TypeUnknownService:     http.StatusNotFound,
	TypeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	TypeHeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	TypeOverloaded:         http.StatusTooManyRequests,
	TypeDeadlineExceeded:   http.StatusGatewayTimeout,
	TypeNoBackendServer:    http.StatusServiceUnavailable,
	TypeBackendFailed:      http.StatusBadGateway,
	TypeStalled:            http.StatusGatewayTimeout,
	TypeOutcomeUnknown:     http.StatusBadGateway,
	TypeInProgress:         http.StatusConflict,
	TypeKeyReused:          http.StatusUnprocessableEntity,
	TypePoisoned:           http.StatusUnprocessableEntity,
	TypeDraining:           http.StatusServiceUnavailable,
	TypeConfigurationStale: http.StatusServiceUnavailable,
	TypeConflict:           http.StatusConflict,
	TypeNotLeader:          http.StatusServiceUnavailable,
	TypeNotFounded:         http.StatusServiceUnavailable,
	TypeUnavailable:        http.StatusServiceUnavailable,
	TypeInternal:           http.StatusInternalServerError,
}

// HTTPStatus returns the status that carries the failure.
func (e *Error) HTTPStatus() int {
	if s, ok := statuses[e.Type]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON form of a refusal.
type Body struct {
	Error *Error `json:"error"`
}

// Write answers a request with the failure: JSON, and Retry-After in whole
// seconds, rounded up, where the failure says when to come back.
func Write(w http.ResponseWriter, err error) {
	e := From(err)
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(ceilSeconds(e.RetryAfter)))
	}
	w.WriteHeader(e.HTTPStatus())
	// The caller may be gone; there is no one else to tell.
	_ = json.NewEncoder(w).Encode(Body{Error: e})
}

func ceilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
