package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"
)

// errHeaderTimeout is the cause of a call whose response header did not come.
const errHeaderTimeout = errors.ConstError("no response header in time")

// exchange is one HTTP request and its response. cancel ends it at any time.
type httpExchange struct {
	response *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// nonRewindableBody is a request body without a way to rewind it.
//
// The failure guarded against: net/http resends a request by itself when a
// reused connection breaks, if the request has no body or a body that it can
// rewind, and so runs it twice. A body that is present, even when empty, and
// can't be rewound (http.Request.GetBody is nil) makes that impossible.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// send makes one request on one connection. headerTimeout 0 leaves the wait
// for the header to ctx.
func (c *HTTPClient) send(ctx context.Context, r outgoingRequest, headerTimeout time.Duration) (*httpExchange, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var used usedConn
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.got})
	request, err := r.build(traced)
	if err != nil {
		cancel(nil)
		return nil, &CallError{Address: r.address, Sent: SentNothing, Cause: err}
	}
	c.authorise(request)
	stop := startTimer(headerTimeout, func() { cancel(errHeaderTimeout) })
	//nolint:bodyclose // whoever gets the exchange closes the body
	response, err := c.transportFor(r).RoundTrip(request)
	stop()
	if err != nil {
		sent := used.sent()
		cause := causeOf(ctx, err)
		c.retireIfSilent(ctx, r.address, used)
		cancel(nil)
		return nil, &CallError{Address: r.address, Sent: sent, Cause: cause}
	}
	return &httpExchange{response: response, ctx: ctx, cancel: cancel}, nil
}

func (c *HTTPClient) transportFor(r outgoingRequest) *http.Transport {
	if r.fresh {
		return c.transports.fresh
	}
	return c.transports.get(r.address)
}

// retireIfSilent retires an address's idle connections after a pooled one has
// brought no header until the call was given up.
//
// The failure guarded against: a middlebox has lost track of the open
// connections. A plain service sends no keep-alives, so each further call
// would hang on the next idle connection until its own deadline. When the
// service was only slow, this costs a few new connections; a call given up
// within SuspectAfter says nothing.
func (c *HTTPClient) retireIfSilent(ctx context.Context, address string, used usedConn) {
	if used.isReused && ctx.Err() != nil && time.Since(used.gotAt) >= c.options.SuspectAfter {
		c.transports.retire(address)
	}
}

// usedConn remembers the connection of a request. RoundTrip calls got in its
// own goroutine and returns later, so no lock is needed.
type usedConn struct {
	conn         *sealedConn
	writesBefore uint64
	// foreign is a connection of a kind that can prove nothing.
	isUnsealed bool
	// reused says that the connection came from the pool.
	isReused bool
	gotAt    time.Time
}

func (u *usedConn) got(info httptrace.GotConnInfo) {
	u.isReused = info.Reused
	u.gotAt = time.Now()
	conn, ok := info.Conn.(*sealedConn)
	if !ok {
		u.isUnsealed = true
		return
	}
	u.conn = conn
	u.writesBefore = conn.writeCount()
}

// sent ends the connection and tells how far the request got on it.
func (u *usedConn) sent() Sent {
	if u.isUnsealed {
		return SentUnknown
	}
	if u.conn == nil || !u.conn.seal(u.writesBefore) {
		return SentNothing
	}
	return SentUnknown
}

// outgoingRequest is a request to a backend server.
type outgoingRequest struct {
	address string
	method  string
	path    string
	header  http.Header
	body    []byte
	// fresh asks for a connection that is not from the pool.
	fresh bool
	// opaque, if set, is the request's target as it is to stand on the wire, and
	// host its Host.
	opaque, host string
}

func (r outgoingRequest) build(ctx context.Context) (*http.Request, error) {
	body := nonRewindableBody{bytes.NewReader(r.body)}
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.address+r.path, body)
	if err != nil {
		return nil, errors.Annotate(err, "building the request")
	}
	if r.header != nil {
		request.Header = r.header
	}
	if r.opaque != "" {
		request.URL.Opaque = r.opaque
		request.Host = r.host
	}
	request.ContentLength = int64(len(r.body))
	return request, nil
}

func (c *HTTPClient) authorise(r *http.Request) {
	r.Header.Del("Authorization")
	if c.options.Secret != "" {
		r.Header.Set("Authorization", "Bearer "+c.options.Secret)
	}
}

func startTimer(d time.Duration, f func()) (stop func()) {
	if d == 0 {
		return func() {}
	}
	timer := time.AfterFunc(d, f)
	return func() { timer.Stop() }
}

// causeOf prefers the reason for which ctx ended over the error that this
// made net/http return.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Trace(cause)
	}
	return errors.Trace(err)
}
