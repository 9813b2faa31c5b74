package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
)

// HTTPClient implements Client over HTTP/1.1 and server-sent events. It makes each
// call once: it follows no redirect, uses no proxy and does not retry.
type HTTPClient struct {
	options    Options
	transports *transports
	// heads bounds the memory of the heads of all answers that are being read or used.
	heads *bounded.Memory
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with the given limits.
func NewHTTPClient(o Options) *HTTPClient {
	o = o.withDefaults()
	return &HTTPClient{options: o, transports: newTransports(o), heads: bounded.NewMemory(o.HeadMemory, bounded.LargeHeader)}
}

// HeadSample returns what the heads of answers take now, and how many had no room since the last sample.
func (c *HTTPClient) HeadSample() bounded.MemorySample { return c.heads.Sample() }

// Close closes all idle connections. It does not end open calls.
func (c *HTTPClient) Close() { c.transports.closeAll() }

// RetireConnections closes the idle connections to address. Connections in use are not returned
// to the pool, so later calls make new ones.
func (c *HTTPClient) RetireConnections(address string) { c.transports.retire(address) }

// Generate starts one attempt and returns its stream once the engine's response header
// has arrived.
func (c *HTTPClient) Generate(ctx context.Context, address string, g Generation) (TokenStream, error) {
	x, err := c.postRequest(ctx, g, outgoingRequest{
		address: address, path: PathGenerate, permit: g.Permit, request: g.Request, onRelay: g.OnRelay,
	})
	if err != nil {
		return nil, err
	}
	if x.response.StatusCode != http.StatusOK {
		return nil, c.refusalError(address, x)
	}
	return newSSEStream(x, c.options.MaxLine), nil
}

// Cancel requests that the engine stop an attempt.
func (c *HTTPClient) Cancel(ctx context.Context, address, attempt string) error {
	x, err := c.post(ctx, address, PathCancel, CancelRequest{Attempt: attempt})
	if err != nil {
		return err
	}
	if x.response.StatusCode != http.StatusOK {
		return c.refusalError(address, x)
	}
	_, _ = c.readReply(x)
	return nil
}

// Order sends one order. A refusal as stale is an answer, not an error.
func (c *HTTPClient) Order(ctx context.Context, address string, o Order) (OrderReply, error) {
	x, err := c.post(ctx, address, PathOrders, o)
	if err != nil {
		return OrderReply{}, err
	}
	if x.response.StatusCode != http.StatusOK {
		return OrderReply{}, c.refusalError(address, x)
	}
	body, err := c.readReply(x)
	if err != nil {
		return OrderReply{}, &CallError{Address: address, Stage: StageUnknown, Status: http.StatusOK, Cause: err}
	}
	var reply OrderReply
	if err := json.Unmarshal(body, &reply); err != nil {
		cause := errors.Annotate(ErrMalformed, err.Error())
		return OrderReply{}, &CallError{Address: address, Stage: StageUnknown, Status: http.StatusOK, Cause: cause}
	}
	return reply, nil
}

func (c *HTTPClient) post(ctx context.Context, address, path string, message any) (*httpExchange, error) {
	return c.postRequest(ctx, message, outgoingRequest{address: address, path: path})
}

// postRequest sends a message as JSON.
func (c *HTTPClient) postRequest(ctx context.Context, message any, r outgoingRequest) (*httpExchange, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, &CallError{Address: r.address, Stage: StageNotSent, Cause: errors.Trace(err)}
	}
	r.method, r.body = http.MethodPost, body
	r.header = http.Header{"Content-Type": {"application/json"}}
	return c.send(ctx, r, c.options.HeaderTimeout)
}

// refusalError reads an answer other than 200 and returns its CallError. Only an
// explicit "started": false proves that nothing ran: a 5xx may come from a process that
// failed during the run.
func (c *HTTPClient) refusalError(address string, x *httpExchange) error {
	e := &CallError{
		Address: address, Stage: StageUnknown, Status: x.response.StatusCode, Notice: noticeOf(x.response),
	}
	body, err := c.readReply(x)
	if err != nil {
		e.Cause = err
		return e
	}
	var r Refusal
	if json.Unmarshal(body, &r) != nil {
		e.Cause = errors.Trace(ErrMalformed)
		return e
	}
	if r.Started != nil && !*r.Started {
		e.Stage = StageRefused
	}
	e.Busy = r.Busy
	asked := min(max(r.RetryAfterMillis, 0), MaxRetryAfter.Milliseconds())
	e.Notice.RetryAfter = max(e.Notice.RetryAfter, time.Duration(asked)*time.Millisecond)
	if r.Message != "" {
		e.Cause = &serverMessage{r.Message}
	}
	_ = level.Debug(c.options.Logger).Log("msg", "backend server refused", "address", address,
		"status", e.Status, "sent", e.Stage, "busy", e.Busy)
	return e
}

// serverMessage is the reason that a backend server stated for its refusal.
type serverMessage struct{ text string }

// Error returns the backend server's text unchanged.
func (m *serverMessage) Error() string { return m.text }

// readReply reads a complete body of at most MaxReply bytes within HeaderTimeout, and
// ends the exchange.
func (c *HTTPClient) readReply(x *httpExchange) ([]byte, error) {
	stop := startTimer(c.options.HeaderTimeout, func() { x.cancel(errHeaderTimeout) })
	defer stop()
	defer x.cancel(nil)
	defer func() { _ = x.response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(x.response.Body, c.options.MaxReply+1))
	if err != nil {
		return nil, x.readError(err)
	}
	if int64(len(body)) > c.options.MaxReply {
		return nil, errors.Annotate(ErrMalformed, "answer over the limit")
	}
	return body, nil
}
