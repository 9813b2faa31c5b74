package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Notice is what a backend server states about itself in the header of an answer.
type Notice struct {
	// RateLimit is how many requests per second the backend server accepts from all
	// entries together; nil if it states no limit.
	RateLimit *float64
	// RetryAfter is how long the backend server asks this process not to send it any
	// request, counted from the answer; 0 if it does not ask.
	RetryAfter time.Duration
	// InvalidRetryAfter is a Retry-After header that ParseRetryAfter refuses; empty if
	// there is none.
	InvalidRetryAfter string
	// IsLeaving is set if the backend server is about to stop and asks for no new work.
	IsLeaving bool
}

// MaxRetryAfter bounds Notice.RetryAfter. A backend server that asks for more is tried again
// after it, so a corrupted value does not take a backend server out of use for good.
const MaxRetryAfter = time.Hour

// ErrRetryAfter means that a Retry-After header is not a number of seconds.
const ErrRetryAfter = errors.ConstError("Retry-After must be a number of seconds of at least 0")

// ParseRetryAfter parses a number of seconds, with or without a fraction. It returns
// ErrRetryAfter for any other text, HTTP dates included: a date would depend on the clocks of
// two VMs.
func ParseRetryAfter(text string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, errors.Trace(ErrRetryAfter)
	}
	return time.Duration(min(seconds, MaxRetryAfter.Seconds()) * float64(time.Second)), nil
}

// NoticeHeaders holds the names of the headers that make up a Notice in one protocol.
type NoticeHeaders struct {
	RateLimit, RetryAfter, Leaving string
}

// ownNoticeHeaders are the headers of the protocol in docs/backend-protocol.md.
var ownNoticeHeaders = NoticeHeaders{RateLimit: HeaderRateLimit, RetryAfter: HeaderRetryAfter, Leaving: HeaderLeaving}

// Parse reads the notice in the header of an answer with the given status.
func (n NoticeHeaders) Parse(status int, h http.Header) Notice {
	out := Notice{RateLimit: ParseRateLimit(h.Get(n.RateLimit))}
	// An invalid text counts as false, like a missing header.
	out.IsLeaving, _ = strconv.ParseBool(h.Get(n.Leaving))
	text := h.Get(n.RetryAfter)
	if text == "" || !mayAskToBackOff(status) {
		return out
	}
	wait, err := ParseRetryAfter(text)
	if err != nil {
		out.InvalidRetryAfter = text
	}
	out.RetryAfter = wait
	return out
}

// mayAskToBackOff reports whether Retry-After concerns the whole backend server in an answer
// with this status. In a redirect, for example, it concerns one resource.
func mayAskToBackOff(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func noticeOf(r *http.Response) Notice { return ownNoticeHeaders.Parse(r.StatusCode, r.Header) }
