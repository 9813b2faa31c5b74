package bounded

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// serveBodies starts a server that reads bodies within bounds and sends what came of it to a channel.
func serveBodies(t *testing.T, maxBytes int64, d time.Duration, after func(*http.Request) error) (string, <-chan error) {
	t.Helper()
	results := make(chan error, 1)
	s := httptest.NewServer(Bodies{MaxBytes: maxBytes, Time: d, Next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err == nil && after != nil {
			err = after(r)
		}
		results <- err
	})})
	t.Cleanup(s.Close)
	return s.URL, results
}

// Guards against a body that trickles for ever, with a length and without one.
func TestBodyThatTricklesIsDropped(t *testing.T) {
	for _, length := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		url, results := serveBodies(t, 1<<20, 10*time.Millisecond, nil)
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+length+"\r\n\r\n")
		assert.NilError(t, err)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			for err := error(nil); err == nil; time.Sleep(time.Millisecond) {
				_, err = io.WriteString(conn, "1\r\nx\r\n")
				if length != "Transfer-Encoding: chunked" {
					return
				}
			}
		}()
		assert.Assert(t, errors.Is(<-results, os.ErrDeadlineExceeded))
		assert.NilError(t, conn.Close())
		<-stopped
	}
}

// Guards against a body without end as fast as its sender can.
func TestBodyWithoutEndIsDropped(t *testing.T) {
	url, results := serveBodies(t, 1<<20, time.Minute, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, repeated("x"))
	assert.NilError(t, err)
	answer, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = answer.Body.Close()
	}
	var tooLarge *http.MaxBytesError
	assert.Assert(t, errors.As(<-results, &tooLarge))
}

// Guards against a request that ends because its body's time passes after the body has been read.
func TestTimeOfABodyEndsNoRequest(t *testing.T) {
	const d = 2 * time.Second
	url, results := serveBodies(t, 1<<20, d, func(r *http.Request) error {
		time.Sleep(d + d/4)
		return r.Context().Err()
	})
	answer, err := http.Post(url, "text/plain", strings.NewReader("x"))
	assert.NilError(t, err)
	_ = answer.Body.Close()
	assert.NilError(t, <-results)
}
