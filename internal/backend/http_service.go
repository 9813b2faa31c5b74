package backend

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/juju/errors"
)

// hopHeaders are the headers that apply to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Host",
}

// Call makes one attempt at a call of a plain service.
func (c *HTTPClient) Call(ctx context.Context, address string, s ServiceCall) (*ServiceAnswer, error) {
	r := outgoingRequest{
		address: address,
		method:  s.Method,
		path:    s.Path,
		header:  EndToEnd(s.Header),
		body:    s.Body,
		fresh:   s.NewConnection,
		permit:  s.Permit,
		request: s.RequestID,
		onRelay: s.OnRelay,
	}
	if s.Verbatim {
		r.host, r.opaque = s.Host, s.Path
		r.path = "/"
	}
	if s.Attempt != "" {
		r.header.Set(HeaderAttempt, s.Attempt)
	}
	x, err := c.send(ctx, r, 0)
	if err != nil {
		return nil, err
	}
	if err := checkAnswer(address, x.response, s.Verbatim); err != nil {
		_ = x.response.Body.Close()
		x.cancel(nil)
		return nil, err
	}
	return &ServiceAnswer{
		Status: x.response.StatusCode,
		Header: EndToEnd(x.response.Header),
		Body:   &answerBody{exchange: x},
		Length: x.response.ContentLength,

		EndsWithConnection: endsWithConnection(x.response),
		Notice:             noticeOf(x.response),
	}, nil
}

// checkAnswer returns an error for a call that the service reports as not started. It
// also refuses an answer whose end can't be distinguished from a cut, unless
// allowUnframed is set.
func checkAnswer(address string, r *http.Response, allowUnframed bool) error {
	if r.Header.Get(HeaderStarted) == StartedNo {
		return &CallError{
			Address: address,
			Stage:   StageRefused,
			Status:  r.StatusCode,
			Notice:  noticeOf(r),

			Busy: r.StatusCode == http.StatusTooManyRequests || r.StatusCode == http.StatusServiceUnavailable,
		}
	}
	// An answer that announces neither its length nor chunks ends with the
	// connection, so a cut answer appears complete.
	if endsWithConnection(r) && !allowUnframed {
		cause := errors.Annotate(ErrMalformed, "answer announces no end")
		return &CallError{Address: address, Stage: StageUnknown, Status: r.StatusCode, Cause: cause}
	}
	return nil
}

// endsWithConnection reports whether an answer announces neither its length nor chunks.
func endsWithConnection(r *http.Response) bool {
	bodyless := r.Request.Method == http.MethodHead
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !bodyless
}

// EndToEnd returns a copy of h without the headers that apply to one connection: the
// hop-by-hop headers of HTTP and those that the Connection header names.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// answerBody returns ErrCut for a body that ends before its announced end, and ErrMalformed for one that follows no
// protocol.
type answerBody struct{ exchange *httpExchange }

// Read reads the answer. If the answer ends before its announced end, Read returns
// ErrCut, ErrMalformed or, if the call's context has ended, its cause.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.exchange.response.Body.Read(p)
	if err == nil || err == io.EOF {
		return n, err
	}
	return n, b.exchange.readError(err)
}

// Close ends the exchange.
func (b *answerBody) Close() error {
	err := b.exchange.response.Body.Close()
	b.exchange.cancel(nil)
	return errors.Trace(err)
}

func cutError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Trace(cause)
	}
	return errors.Annotate(ErrCut, err.Error())
}
