package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
)

// Accepter decides which connections of a listener stay open.
type Accepter interface {
	// accept returns false for a new connection that is to be closed unread.
	accept(now time.Time, c net.Conn) bool
	// ConnState gets the states of the accepted connections as the http.Server reports them.
	ConnState(c net.Conn, s http.ConnState)
	// setReceiving records whether the body of a connection's request is yet to arrive.
	setReceiving(c net.Conn, is bool)
}

// Protect sets up a server that serves the connections of l which a accepts, and refuses requests for whose headers b
// has no room. It returns the listener to serve.
func Protect(server *http.Server, l net.Listener, a Accepter, b *HeaderBudget) net.Listener {
	server.Handler = &handler{next: server.Handler}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, s http.ConnState) {
		a.ConnState(c, s)
		c.(*conn).setState(s)
	}
	return &listener{Listener: l, accepter: a, headers: b, refusal: refusalText()}
}

// connKey is the key of a request's conn in its context.
type connKey struct{}

// HeaderBytes returns the length of a request's header on the wire, with its request line and its end, or 0 if the
// request did not come from a protected listener.
func HeaderBytes(r *http.Request) int {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return c.lastHeaderBytes()
	}
	return 0
}

type listener struct {
	net.Listener
	accepter Accepter
	headers  *HeaderBudget
	refusal  []byte
}

// Accept returns the next accepted connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, headers: l.headers, refusal: l.refusal, accepter: l.accepter}
		if l.accepter.accept(time.Now(), c) {
			return c, nil
		}
		reset(c)
	}
}

// handler refuses requests whose headers net/http had buffered before the budget refused them, and follows the bodies of
// the others.
type handler struct{ next http.Handler }

// ServeHTTP serves a request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	switch {
	case !ok:
	case c.hasRefused():
		w.Header().Set("Connection", "close")
		failure.Write(w, headerRefusal())
		return
	case r.ContentLength != 0:
		c.accepter.setReceiving(c, true)
		r.Trailer = nil
		r.Body = &body{ReadCloser: r.Body, conn: c, request: r}
	}
	h.next.ServeHTTP(w, r)
}

// body is the body of a request. It drops the trailer, which nothing uses: a trailer takes much more memory than its
// bytes, until the request ends.
type body struct {
	io.ReadCloser
	conn    *conn
	request *http.Request
	hasEnd  bool
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !b.hasEnd {
		b.hasEnd = true
		b.request.Trailer = nil
		b.conn.accepter.setReceiving(b.conn, false)
	}
	return n, err
}
