package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/httphead"
)

// errHeaderTimeout is the cause of a call that got no response header within the limit.
const errHeaderTimeout = errors.ConstError("no response header in time")

// httpExchange is one HTTP request and its response. cancel may end it at any time, and releases the memory of its head.
type httpExchange struct {
	response *http.Response
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// conn is the connection of the exchange; nil if it is not a sealedConn.
	conn *sealedConn
	// head is the memory of the answer's head.
	head *headReservation
}

// readError returns the error of a read of the response's body. Without a failure of the connection and of the
// call, the bytes themselves are at fault: ErrMalformed.
func (x *httpExchange) readError(err error) error {
	if errors.Is(err, httphead.ErrTrailer) {
		x.dropConnection()
		return errors.WithType(errors.Annotate(ErrMalformed, err.Error()), httphead.ErrTrailer)
	}
	if context.Cause(x.ctx) == nil && x.conn != nil && !x.conn.hasFailed.Load() {
		return errors.Annotate(ErrMalformed, err.Error())
	}
	err = cutError(x.ctx, err)
	if x.isTrickle() {
		return errors.WithType(err, ErrTrickled)
	}
	return err
}

// dropConnection closes the connection after an answer whose end can't be trusted, unless it carries the next request.
//
// Failure: net/http has pooled the connection at the end of the body. The next request on it waits for its deadline.
func (x *httpExchange) dropConnection() {
	if x.conn != nil {
		x.conn.sealUnlessTaken(x.head)
	}
}

// isTrickle reports whether the call has ended while its answer arrived piece by piece. One with an announced length
// has an end.
func (x *httpExchange) isTrickle() bool {
	return context.Cause(x.ctx) != nil && x.conn != nil && x.response.ContentLength < 0 && x.conn.arrival.isTrickle(time.Now())
}

// nonRewindableBody is a request body that can't be rewound.
//
// Failure: when a reused connection breaks, net/http itself resends a request that
// has no body or a body that can be rewound, and the backend server runs the request
// twice. A body that is present, even if empty, and can't be rewound
// (http.Request.GetBody is nil) prevents this.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// sendOn makes one request on one connection. If headerTimeout is 0, only ctx bounds the
// wait for the response header.
func (c *HTTPClient) sendOn(ctx context.Context, t *http.Transport, r outgoingRequest, headerTimeout time.Duration) (*httpExchange, error) {
	began := time.Now()
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, requestKey{}, r.request))
	used := usedConn{permit: r.permit, onRelay: r.onRelay, head: &headReservation{memory: c.heads}}
	interim := httphead.NewInterim(c.options.MaxHeaderBytes)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.got, Got1xxResponse: interim.Got})
	request, err := r.build(traced)
	if err != nil {
		cancel(nil)
		return nil, &CallError{Address: r.address, Stage: StageNotSent, Cause: err}
	}
	c.authorise(request)
	stop := startTimer(headerTimeout, func() { cancel(errHeaderTimeout) })
	stopWatch := c.watchPath(t, r, func() { cancel(errPathLost) })
	//nolint:bodyclose // the caller that gets the exchange closes the body
	response, err := roundTrip(t, request, used.head)
	stop()
	stopWatch()
	if err != nil {
		cause := causeOf(ctx, err)
		if errors.Is(err, httphead.ErrInvalid) || (context.Cause(ctx) == nil && used.isAnswerMalformed()) {
			cause = errors.Annotate(ErrMalformed, err.Error())
		}
		if context.Cause(ctx) != nil && used.isTrickle() {
			cause = errors.WithType(cause, ErrTrickled)
		}
		sent := used.sent()
		if used.isWithheld {
			cause = errors.Trace(ErrWithheld)
		}
		c.retireIfSilent(ctx, r.address, used)
		cancel(nil)
		used.head.end()
		return nil, &CallError{Address: r.address, Stage: sent, Connection: used.kind(), Waited: time.Since(began), Cause: cause}
	}
	x := &httpExchange{response: response, ctx: ctx, conn: used.conn, head: used.head}
	if used.conn != nil {
		used.conn.arrival.beginBody()
	}
	x.cancel = func(cause error) {
		cancel(cause)
		used.head.end()
	}
	return x, nil
}

// roundTrip sends a request and checks the head of its answer.
func roundTrip(t *http.Transport, r *http.Request, head *headReservation) (*http.Response, error) {
	response, err := httphead.RoundTrip(t, r)
	if err != nil {
		return nil, err
	}
	// net/http drops a transfer coding in an answer of HTTP/1.0 and takes the chunks for the body (RFC 9112, section 6.1).
	if response.ProtoMinor == 0 && head.hasCoding() {
		_ = response.Body.Close()
		return nil, errors.Annotate(httphead.ErrInvalid, "a transfer coding in an answer of HTTP/1.0")
	}
	return response, nil
}

func (c *HTTPClient) transportFor(r outgoingRequest) *http.Transport {
	if r.fresh {
		return c.transports.fresh
	}
	return c.transports.get(r.address)
}

// retireIfSilent retires the idle connections to an address after a call on a pooled
// connection ended without a response header.
//
// Failure: a middlebox has lost its state of the open connections. A plain service
// sends no keep-alives, so each further call would hang on the next idle connection
// until its own deadline. If the service was merely slow, retiring costs a few new
// connections. A call that was given up within SuspectAfter is no evidence.
func (c *HTTPClient) retireIfSilent(ctx context.Context, address string, used usedConn) {
	if used.isReused && ctx.Err() != nil && time.Since(used.gotAt) >= c.options.SuspectAfter {
		c.transports.retire(address)
	}
}

// usedConn records the connection that a request uses. RoundTrip calls got in its own
// goroutine before it returns, so no lock is needed.
type usedConn struct {
	conn         *sealedConn
	writesBefore uint64
	readsBefore  uint64
	// isUnsealed is set if the connection is not a sealedConn, so that nothing proves
	// how much was sent.
	isUnsealed bool
	// isReused is set if the connection came from the pool.
	isReused bool
	gotAt    time.Time
	// head is the memory of the answer's head.
	head   *headReservation
	permit Permit
	// onRelay is called with the peer if one relays the connection; it may be nil.
	onRelay func(peer string)
	// isWithheld is set if permit refused the request. The connection is then sealed.
	isWithheld bool
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
	u.readsBefore = conn.reads.Load()
	conn.arrival.begin()
	conn.head.Store(u.head)
	if !u.permit.allows() {
		u.isWithheld = true
		conn.seal(u.writesBefore)
	}
	if peer := relayPeer(conn); peer != "" && u.onRelay != nil {
		u.onRelay(peer)
	}
}

// isAnswerMalformed reports whether a call without a response has failed because of the bytes that arrived: some
// did, and the connection has not failed.
func (u *usedConn) isAnswerMalformed() bool {
	return u.conn != nil && !u.isWithheld && u.conn.reads.Load() > u.readsBefore && !u.conn.hasFailed.Load()
}

// isTrickle reports whether the head of an answer has been arriving piece by piece.
func (u *usedConn) isTrickle() bool { return u.conn != nil && u.conn.arrival.isTrickle(time.Now()) }

// kind returns the kind of the connection.
func (u *usedConn) kind() Connection {
	switch {
	case u.gotAt.IsZero():
		return NoConnection
	case u.isReused:
		return PooledConnection
	}
	return NewConnection
}

// sent closes the connection and returns the stage that the request reached on it.
func (u *usedConn) sent() Stage {
	if u.isUnsealed {
		return StageUnknown
	}
	if u.conn == nil || !u.conn.seal(u.writesBefore) {
		return StageNotSent
	}
	return StageUnknown
}

// outgoingRequest is a request to a backend server.
type outgoingRequest struct {
	address string
	method  string
	path    string
	header  http.Header
	body    []byte
	// fresh requests a connection that is not from the pool.
	fresh bool
	// opaque, if set, is the request target exactly as sent on the wire; host is then
	// the Host header.
	opaque, host string
	permit       Permit
	// request names the caller's request in the logs of a peer that relays it, and onRelay is
	// called with that peer; both may be empty.
	request string
	onRelay func(peer string)
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

// causeOf returns the cause for which ctx ended or, if ctx has not ended, err. Ending
// ctx makes net/http return a less specific error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Trace(cause)
	}
	return errors.Trace(err)
}
