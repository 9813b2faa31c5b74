package intake

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
)

// headerRefusalRetryAfter is roughly the time in which other requests release memory.
const headerRefusalRetryAfter = time.Second

// headerRefusal is the failure of a request for whose header the budget has no room.
func headerRefusal() *failure.Error {
	return failure.New(failure.TypeOverloaded, "the memory of this process for headers is used up").
		WithRan(failure.RanNo).WithRetryAfter(headerRefusalRetryAfter)
}

// refusalText returns the answer to a request whose header is not parsed.
func refusalText() []byte {
	w := &textWriter{header: make(http.Header)}
	failure.Write(w, headerRefusal())
	answer := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body),
	}
	var text bytes.Buffer
	// A buffer takes all writes.
	_ = answer.Write(&text)
	return text.Bytes()
}

// textWriter is an http.ResponseWriter that keeps an answer.
type textWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (w *textWriter) Header() http.Header { return w.header }

// WriteHeader sets the status of the answer.
func (w *textWriter) WriteHeader(status int) { w.status = status }

// Write adds to the body of the answer.
func (w *textWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// takesAnswer reports whether the connection is to be closed with an answer, and counts it until answerAndClose ends.
func (c *conn) takesAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isUnanswered {
		return false
	}
	select {
	case c.headers.closing <- struct{}{}:
		return true
	default:
		return false
	}
}

const (
	// refusalTime is how long the rest of a refused header may take, refusalEndTime how long the caller may take to
	// close the connection after the answer.
	refusalTime    = time.Second
	refusalEndTime = 200 * time.Millisecond
	// maxDiscarded bounds what is read of a refused request, in bytes.
	maxDiscarded = 64 << 10
	// discardBuffer is how much of it is read at a time, in bytes.
	discardBuffer = 512
)

// answerAndClose reads the rest of a refused header, answers the request and closes the connection. An answer that is
// sent while the caller still writes is lost with the reset of the connection.
func (c *conn) answerAndClose() {
	defer func() { <-c.headers.closing }()
	defer func() { _ = c.Conn.Close() }()
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime))
	if !c.discardHeader() {
		return
	}
	if _, err := c.Conn.Write(c.refusal); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalEndTime))
	_, _ = io.CopyBuffer(onlyWriter{io.Discard}, io.LimitReader(c.Conn, maxDiscarded), make([]byte, discardBuffer))
}

// onlyWriter hides the methods with which io.CopyBuffer would allocate a buffer of its own.
type onlyWriter struct{ io.Writer }

// discardHeader reads up to the end of the header and reports whether it came.
func (c *conn) discardHeader() bool {
	if c.hasEnd {
		return true
	}
	buffer := make([]byte, discardBuffer)
	for left := maxDiscarded; left > 0; {
		n, err := c.Conn.Read(buffer)
		if _, ends := c.scan.split(buffer[:n]); ends {
			return true
		}
		if err != nil {
			return false
		}
		left -= n
	}
	return false
}
