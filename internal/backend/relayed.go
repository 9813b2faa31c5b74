package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/relay"
)

// RelayDialer connects to backend servers through other entries. request names the caller's request
// in their logs.
type RelayDialer interface {
	Dial(ctx context.Context, address, request string) (*relay.Conn, error)
}

// ErrNotReached is the cause of a call that was not made because neither this process nor its
// peers reached the backend server a moment ago.
const ErrNotReached = errors.ConstError("no entry reached the backend server a moment ago")

// requestKey is the key of the caller's request in the context of a relayed call.
type requestKey struct{}

// dialRelayed connects to a backend server through a peer.
func (t *transports) dialRelayed(ctx context.Context, _, address string) (net.Conn, error) {
	request, _ := ctx.Value(requestKey{}).(string)
	conn, err := t.options.Relay.Dial(ctx, address, request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return newSealedConn(conn), nil
}

// send makes one request: directly or, while the direct path is down, through a peer. A request goes
// a second path only if no byte of it was sent on the first.
func (c *HTTPClient) send(ctx context.Context, r outgoingRequest, headerTimeout time.Duration) (*httpExchange, error) {
	if c.options.Relay == nil {
		return c.sendOn(ctx, c.transportFor(r), r, headerTimeout)
	}
	kind, check := c.transports.paths.choose(time.Now(), r.address)
	if check {
		go c.checkDirect(r.address)
	}
	switch kind {
	case pathNone:
		return nil, &CallError{Address: r.address, Stage: StageNotSent, Connection: NoConnection, Cause: errors.Trace(ErrNotReached)}
	case pathRelayed:
		return c.sendWithFallback(ctx, c.transports.relayed, c.transportFor(r), r, headerTimeout)
	}
	return c.sendWithFallback(ctx, c.transportFor(r), c.transports.relayed, r, headerTimeout)
}

// sendWithFallback makes one request on the first transport or, if that could not connect, on the
// second.
func (c *HTTPClient) sendWithFallback(ctx context.Context, first, second *http.Transport, r outgoingRequest, headerTimeout time.Duration) (*httpExchange, error) {
	x, err := c.sendOn(ctx, first, r, headerTimeout)
	if !failedToConnect(ctx, err) {
		return x, err
	}
	x, secondErr := c.sendOn(ctx, second, r, headerTimeout)
	if !failedToConnect(ctx, secondErr) {
		if second == c.transports.relayed {
			c.recordRelayed(r.address, causeText(err), dialOutcome(err) == DialRefused)
		}
		return x, secondErr
	}
	if ctx.Err() == nil {
		c.transports.paths.unreachable(time.Now(), r.address)
	}
	return nil, errors.Wrap(secondErr, err)
}

// recordRelayed records that a server was reached through a peer after the direct path had failed,
// and retires the connections that were made directly: they may carry nothing any more. isProven is
// set if a lost packet can't explain the failure.
func (c *HTTPClient) recordRelayed(address, cause string, isProven bool) {
	if c.transports.paths.connectedByPeer(time.Now(), address, cause, isProven) {
		c.transports.retire(address)
	}
}

// failedToConnect reports whether a call ended because it got no connection, while its caller still
// waits.
func failedToConnect(ctx context.Context, err error) bool {
	var call *CallError
	return errors.As(err, &call) && call.Connection == NoConnection && call.Stage == StageNotSent && ctx.Err() == nil
}

func causeText(err error) string {
	var call *CallError
	if errors.As(err, &call) && call.Cause != nil {
		return call.Cause.Error()
	}
	return ""
}

// checkDirect checks whether a server that is reached through peers can be reached directly again.
func (c *HTTPClient) checkDirect(address string) {
	conn, err := c.transports.dialDirect(context.Background(), "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	c.transports.paths.checked(time.Now(), address, err == nil)
}

// IsUnreachable reports whether neither this process nor its peers reached a backend server at the
// last try. It has the server tried again from time to time.
func (c *HTTPClient) IsUnreachable(address string) bool {
	if time.Since(c.transports.paths.lastUnreachable.get()) > pathRetention {
		return false
	}
	unreachable, tryAgain := c.transports.paths.isUnreachable(time.Now(), address)
	if tryAgain {
		go c.probeUnreachable(address)
	}
	return unreachable
}

func (c *HTTPClient) probeUnreachable(address string) {
	if p := c.probe(context.Background(), address); p.State != Listening && p.State != ListeningToPeers {
		c.transports.paths.unreachable(time.Now(), address)
	}
}

// IsCutOff reports whether this process reaches backend servers only through its peers.
func (c *HTTPClient) IsCutOff() bool { return c.transports.paths.isCutOff(time.Now()) }

// RelayedServers returns how many backend servers this process reaches through its peers alone.
func (c *HTTPClient) RelayedServers() int { return c.transports.paths.relayedCount() }

// relayPeer returns the peer that relays a connection, or "".
func relayPeer(conn net.Conn) string {
	if sealed, ok := conn.(*sealedConn); ok {
		if relayed, ok := sealed.Conn.(*relay.Conn); ok {
			return relayed.Peer
		}
	}
	return ""
}
