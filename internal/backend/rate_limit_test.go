package backend

import (
	"context"
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Failure: the rate limit is lost in one of the kinds of answers.
func TestRateLimitIsReadFromEachAnswer(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRateLimit, "1.5")
		switch r.URL.Path {
		case PathGenerate:
			w.Header().Set("Content-Type", "text/event-stream")
		case "/refused":
			w.Header().Set(HeaderStarted, StartedNo)
			w.WriteHeader(http.StatusServiceUnavailable)
		case PathOrders:
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"started": false}`))
		}
	})
	c, ctx := newClient(t, Options{}), context.Background()

	stream, err := c.Generate(ctx, address, Generation{})
	assert.NilError(t, err)
	assert.Equal(t, *stream.Notice().RateLimit, 1.5)
	assert.NilError(t, stream.Close())

	answer, err := c.Call(ctx, address, ServiceCall{Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	assert.Equal(t, *answer.Notice.RateLimit, 1.5)
	assert.NilError(t, answer.Body.Close())

	var refused *CallError
	_, err = c.Call(ctx, address, ServiceCall{Method: http.MethodGet, Path: "/refused"})
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, *refused.Notice.RateLimit, 1.5)
	_, err = c.Order(ctx, address, Order{})
	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, *refused.Notice.RateLimit, 1.5)
}
