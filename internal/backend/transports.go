package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/duplex"
)

// transports holds one http.Transport for each address, so that the connections to one
// address can be retired without affecting the others.
type transports struct {
	options Options
	dials   *dialLog
	paths   *paths

	// fresh pools no connections: each request makes a new one. relayed does the same through
	// peers, so that the direct way is used as soon as it is back.
	fresh, relayed *http.Transport

	mu        sync.Mutex
	byAddress map[string]*addressTransport
}

type addressTransport struct {
	transport *http.Transport
	lastUsed  time.Time
	// received is the time at which bytes last arrived on one of its connections.
	received *lastTime
}

func newTransports(o Options) *transports {
	t := &transports{
		options: o, dials: newDialLog(o.Logger, o.OnDial), paths: newPaths(o.Logger), byAddress: map[string]*addressTransport{},
	}
	t.fresh = t.build(t.dialRecording(&t.paths.received))
	t.fresh.DisableKeepAlives = true
	t.relayed = t.build(t.dialRelayed)
	t.relayed.DisableKeepAlives = true
	return t
}

func (t *transports) get(address string) *http.Transport {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.byAddress[address]
	if !ok {
		t.dropUnused(now)
		received := new(lastTime)
		at = &addressTransport{transport: t.build(t.dialRecording(received, &t.paths.received)), received: received}
		t.byAddress[address] = at
	}
	at.lastUsed = now
	return at.transport
}

// dropUnused removes addresses not used for ForgetAfter. Without it the map would grow
// for the life of the process, because backend servers return under new addresses.
func (t *transports) dropUnused(now time.Time) {
	for address, at := range t.byAddress {
		if now.Sub(at.lastUsed) > t.options.ForgetAfter {
			at.transport.CloseIdleConnections()
			delete(t.byAddress, address)
		}
	}
}

// retire closes the idle connections to address and drops the transport. Connections
// still in use are then closed, not pooled, when their calls end, because no later call
// reopens the transport's pool.
func (t *transports) retire(address string) {
	t.mu.Lock()
	at, ok := t.byAddress[address]
	delete(t.byAddress, address)
	t.mu.Unlock()
	if ok {
		at.transport.CloseIdleConnections()
	}
}

func (t *transports) closeAll() {
	t.mu.Lock()
	all := t.byAddress
	t.byAddress = map[string]*addressTransport{}
	t.mu.Unlock()
	for _, at := range all {
		at.transport.CloseIdleConnections()
	}
}

// dialFunc makes a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func (t *transports) build(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConns:           t.options.MaxIdle,
		MaxIdleConnsPerHost:    t.options.MaxIdle,
		IdleConnTimeout:        t.options.IdleTimeout,
		MaxResponseHeaderBytes: t.options.MaxHeaderBytes,
	}
}

// dialRecording returns a function that makes direct connections, which record in received the time at
// which bytes arrive.
func (t *transports) dialRecording(received ...*lastTime) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := t.dialDirect(ctx, network, address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		t.paths.connected(time.Now(), address)
		return newSealedConn(duplex.New(conn), received...), nil
	}
}

// isHeardSince reports whether bytes have arrived from an address directly since a time.
func (t *transports) isHeardSince(address string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.byAddress[address]
	return ok && at.received.get().After(since)
}

func (t *transports) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.options.DialTimeout)
	defer cancel()
	began := time.Now()
	conn, err := t.options.Dial(ctx, network, address)
	t.dials.record(time.Now(), address, time.Since(began), err)
	return conn, err
}
