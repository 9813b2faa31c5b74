package bounded

import (
	"bufio"
	"math"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/httphead"
)

// MaxHeadBytes bounds the head of an answer of another process of the system, in bytes. The servers
// of the system take as much of a request's.
const MaxHeadBytes = 32 << 10

// Head is the head of an answer.
type Head struct {
	StatusCode int
	// Status is the code with its text.
	Status string
	Header http.Header
}

// ReadHead reads the head of the answer to a request that was sent on a connection. The returned
// reader, with a buffer of the given size in bytes, reads what follows, without a bound. The
// connection's deadline bounds the time. ReadHead returns ErrTooLarge for a head of more than
// MaxHeadBytes, and httphead.ErrInvalid for one that does not follow HTTP.
func ReadHead(conn net.Conn, r *http.Request, bufferBytes int) (*Head, *bufio.Reader, error) {
	head := newReader(conn, MaxHeadBytes+int64(bufferBytes), func() {})
	reader := bufio.NewReaderSize(head, bufferBytes)
	//nolint:bodyclose // Close reads a body to its end; the connection is upgraded or closed instead
	answer, err := http.ReadResponse(reader, r)
	switch {
	case head.left < 0:
		return nil, nil, errors.Trace(ErrTooLarge)
	case err != nil:
		return nil, nil, errors.Trace(err)
	}
	if err := httphead.Check(answer); err != nil {
		return nil, nil, err
	}
	head.left = math.MaxInt64 - 1
	return &Head{StatusCode: answer.StatusCode, Status: answer.Status, Header: answer.Header}, reader, nil
}
