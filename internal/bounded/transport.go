// Package bounded bounds what a process reads from other processes, in bytes and in time.
package bounded

import (
	"io"
	"net/http"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/httphead"
)

// ErrTooLarge is returned for a message that is longer than its reader accepts.
const ErrTooLarge = errors.ConstError("the message is over the limit")

// maxErrorBytes bounds the body of an answer other than 200: its text goes into errors and log lines.
const maxErrorBytes = 64 << 10

// Transport is an http.RoundTripper that bounds the body of each answer, and checks its head and its trailer with
// package httphead. Reading more than MaxBytes, or more than 64 KiB of an answer other than 200, returns ErrTooLarge
// and logs a line.
type Transport struct {
	Base http.RoundTripper
	// MaxBytes is the longest body of an answer, in bytes.
	MaxBytes int64
	Logger   log.Logger
}

// Client returns a client that sends like another one and bounds the body of each answer.
func Client(c *http.Client, maxBytes int64, l log.Logger) *http.Client {
	base := c.Transport
	if base == nil {
		base = http.DefaultTransport
	}
	out := *c
	out.Transport = &Transport{Base: base, MaxBytes: maxBytes, Logger: l}
	return &out
}

// CloseIdleConnections closes the idle connections of Base. http.Client.CloseIdleConnections calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := (&httphead.Transport{Base: t.Base}).RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limit := t.MaxBytes
	if answer.StatusCode != http.StatusOK {
		limit = min(limit, maxErrorBytes)
	}
	onTooLarge := func() {
		_ = level.Warn(t.Logger).Log("event", "answer_too_large", "from", r.URL.Host, "path", r.URL.Path,
			"status", answer.StatusCode, "limit_bytes", limit)
	}
	answer.Body = &body{Reader: newReader(answer.Body, limit, onTooLarge), Closer: answer.Body}
	return answer, nil
}

// body is a bounded body.
type body struct {
	io.Reader
	io.Closer
}

// reader returns ErrTooLarge once its source has more than a limit of bytes.
type reader struct {
	from io.Reader
	// left is how many bytes may still be read; -1 after the source had more.
	left       int64
	onTooLarge func()
}

func newReader(from io.Reader, limit int64, onTooLarge func()) *reader {
	return &reader{from: from, left: limit, onTooLarge: onTooLarge}
}

// Read reads up to the limit. It asks the source for one byte more, to tell its end from the limit.
func (r *reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, errors.Trace(ErrTooLarge)
	}
	if int64(len(p)) > r.left+1 {
		p = p[:r.left+1]
	}
	n, err := r.from.Read(p)
	r.left -= int64(n)
	if r.left >= 0 {
		return n, err
	}
	r.onTooLarge()
	return n - 1, errors.Trace(ErrTooLarge)
}

// ReadAll reads a message of at most a number of bytes. It returns ErrTooLarge for a longer one.
func ReadAll(from io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(newReader(from, limit, func() {}))
	return data, errors.Trace(err)
}
