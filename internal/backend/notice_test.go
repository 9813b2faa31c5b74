package backend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against a Retry-After that is misread, or that takes a backend server out of use for good.
func TestParseRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, " 0.25 ": 250 * time.Millisecond, "0": 0, "1e2": 100 * time.Second,
		"86400": MaxRetryAfter, "1e300": MaxRetryAfter,
	} {
		got, err := ParseRetryAfter(text)
		assert.NilError(t, err, text)
		assert.Equal(t, got, want, text)
	}
	for _, text := range []string{"", "-1", "soon", "NaN", "+Inf", "1,5", "Thu, 03 Dec 2026 12:00:00 GMT"} {
		_, err := ParseRetryAfter(text)
		assert.ErrorIs(t, err, ErrRetryAfter, text)
	}
}

// Guards against a notice that is lost, or wrongly read, for one status of an answer.
func TestNoticeDependsOnStatus(t *testing.T) {
	header := http.Header{}
	header.Set(HeaderRetryAfter, "2")
	header.Set(HeaderLeaving, "1")
	for status, want := range map[int]time.Duration{503: 2 * time.Second, 429: 2 * time.Second, 200: 0, 301: 0, 421: 0, 500: 0} {
		n := ownNoticeHeaders.Parse(status, header)
		assert.Equal(t, n.RetryAfter, want, status)
		assert.Assert(t, n.IsLeaving, status)
	}
	header.Set(HeaderRetryAfter, "soon")
	header.Set(HeaderLeaving, "0")
	n := ownNoticeHeaders.Parse(503, header)
	assert.Equal(t, n, Notice{InvalidRetryAfter: "soon"})
}

// Guards against a notice that is lost in one of the kinds of answers.
func TestNoticeIsReadFromEachAnswer(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderLeaving, "true")
		w.Header().Set(HeaderRetryAfter, "2")
		switch r.URL.Path {
		case PathGenerate:
			w.Header().Set("Content-Type", "text/event-stream")
		case "/refused":
			w.Header().Set(HeaderStarted, StartedNo)
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/failed":
			w.WriteHeader(http.StatusServiceUnavailable)
		case PathOrders:
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"started": false, "retry_after_ms": 2500}`))
		}
	})
	c, ctx := newClient(t, Options{}), context.Background()
	call := func(path string) (*ServiceAnswer, error) {
		return c.Call(ctx, address, ServiceCall{Method: http.MethodGet, Path: path})
	}

	stream, err := c.Generate(ctx, address, Generation{})
	assert.NilError(t, err)
	assert.Equal(t, stream.Notice(), Notice{IsLeaving: true})
	assert.NilError(t, stream.Close())
	answer, err := call("/")
	assert.NilError(t, err)
	assert.Equal(t, answer.Notice, Notice{IsLeaving: true})
	assert.NilError(t, answer.Body.Close())
	answer, err = call("/failed")
	assert.NilError(t, err)
	assert.Equal(t, answer.Notice, Notice{RetryAfter: 2 * time.Second, IsLeaving: true})
	assert.NilError(t, answer.Body.Close())

	var refused *CallError
	_, err = call("/refused")
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Notice, Notice{RetryAfter: 2 * time.Second, IsLeaving: true})
	_, err = c.Order(ctx, address, Order{})
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.Notice, Notice{RetryAfter: 2500 * time.Millisecond, IsLeaving: true})
}
