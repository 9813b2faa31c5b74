package bounded

import (
	"io"
	"net/http"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
)

// minBytesPerSecond extends the time for a long body, so that one gets through a slow link.
const minBytesPerSecond = 1 << 20

// Bodies is a handler that bounds the bodies of requests. Reading more than MaxBytes returns an
// *http.MaxBytesError, and reading for longer than Time, and a second for each MiB of the announced
// length, a timeout.
//
// Failure: processes send bodies without end, or a byte at a time. Each takes memory or a connection
// of this process for good.
type Bodies struct {
	Next http.Handler
	// MaxBytes is the longest body, in bytes.
	MaxBytes int64
	// Time is how long a short body may take.
	Time time.Duration
	// Memory bounds the memory of all bodies together; nil for no bound.
	Memory *Memory
}

// LargeBody is the memory above which a body is large for Memory, in bytes: that of a body of 64 KiB.
const LargeBody = 128 << 10

// memoryPerByte is the memory that a byte of a body takes while it is read: in the buffer, and in the larger one that it
// is copied to.
const memoryPerByte = 2

// bodyRetryAfter is roughly the time in which other bodies are read.
const bodyRetryAfter = time.Second

// ServeHTTP serves one request.
func (b Bodies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		b.Next.ServeHTTP(w, r)
		return
	}
	length := min(max(r.ContentLength, 0), b.MaxBytes)
	body := LimitTime(w, r.Body, b.Time+time.Duration(length)*time.Second/minBytesPerSecond)
	if b.Memory != nil {
		counted := &countedBody{ReadCloser: body, memory: b.Memory}
		defer counted.release()
		body = counted
	}
	r.Body = http.MaxBytesReader(w, body, b.MaxBytes)
	b.Next.ServeHTTP(w, r)
}

// countedBody is a body whose bytes count towards a Memory until the request ends.
//
// Failure: hundreds of connections send all but the last byte of a long body. Each body is within its limit, and the
// process runs out of memory.
type countedBody struct {
	io.ReadCloser
	memory   *Memory
	reserved int64
}

// Read reads the body. It returns a *failure.Error if there is no room for more of it.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	more := int64(n) * memoryPerByte
	if !b.memory.Grow(b.reserved, more) {
		return 0, failure.New(failure.TypeOverloaded, "the memory of this process for bodies is used up").
			WithRan(failure.RanNo).WithRetryAfter(bodyRetryAfter)
	}
	b.reserved += more
	return n, err
}

func (b *countedBody) release() { b.memory.Release(b.reserved) }

// timedBody is a body that ends the time for reading at its end.
type timedBody struct {
	io.ReadCloser
	connection *http.ResponseController
}

// LimitTime bounds the time until the end of a request's body. Reading later returns a timeout.
func LimitTime(w http.ResponseWriter, body io.ReadCloser, d time.Duration) io.ReadCloser {
	connection := http.NewResponseController(w)
	// Only connections in tests fail to set a deadline.
	_ = connection.SetReadDeadline(time.Now().Add(d))
	return &timedBody{ReadCloser: body, connection: connection}
}

// Read reads the body. After its end the server reads on, to see whether the caller leaves, and a
// timeout of that would end the request.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.connection.SetReadDeadline(time.Time{})
	}
	return n, err
}
