package hearing

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// PathExchange is where an entry takes the connection of another one.
const PathExchange = "/evidence/v1/exchange"

// The names of the upgrade request.
const (
	protocol = "citronstep-evidence"
	// headerSource is the id of the entry that dials, headerPeer that of the
	// entry that it means to reach: a process that got the address of another
	// one must not be taken for it.
	headerSource = "Citronstep-Entry"
	headerPeer   = "Citronstep-Peer"
)

const (
	// handshakeTimeout ends a dial or an upgrade that is not answered.
	handshakeTimeout = 500 * time.Millisecond
	// The wait before a connection is dialled again is random up to a bound that
	// doubles from firstRetry to lastRetry.
	//
	// Load: 370 entries lose a VM or a link between data centres at once and dial
	// again. Spread over a second, an entry that comes back gets one connection
	// in 3 ms; waits over lastRetry would only delay its becoming a witness.
	firstRetry = 200 * time.Millisecond
	lastRetry  = time.Second
)

// ErrRefused is returned when the other process did not take the connection.
const ErrRefused = errors.ConstError("the exchange of evidence was refused")

// exchange holds the connections to other entries. Of two entries the one with
// the smaller id dials, so that a pair has one connection.
type exchange struct {
	hearing *Hearing
	wg      sync.WaitGroup

	mu sync.Mutex
	// ctx is that of Run; nil before it and after it.
	ctx      context.Context
	dialled  map[string]*dialler
	accepted map[string]*connection
	// open are the connections that run now, dialled or taken.
	open map[*connection]bool
}

type dialler struct {
	address string
	cancel  context.CancelFunc
}

func newExchange(h *Hearing) *exchange {
	return &exchange{hearing: h, dialled: make(map[string]*dialler), accepted: make(map[string]*connection), open: make(map[*connection]bool)}
}

// push sends what was heard to all peers before its time.
//
// Load: a backend server tells a process that does not lead that it has joined its group.
// Told with the next digest, up to 0.3 s later, each step of a repair would take that
// much longer.
func (x *exchange) push() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.open {
		c.push()
	}
}

// run runs a connection and counts it as open meanwhile.
func (x *exchange) run(ctx context.Context, c *connection) error {
	x.mu.Lock()
	x.open[c] = true
	x.mu.Unlock()
	err := c.run(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.open, c)
	return errors.Trace(err)
}

func (x *exchange) start(ctx context.Context) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ctx = ctx
}

// stop ends all connections, whose context must have ended, and waits for their
// goroutines.
func (x *exchange) stop() {
	x.mu.Lock()
	x.ctx = nil
	for _, d := range x.dialled {
		d.cancel()
	}
	x.mu.Unlock()
	x.wg.Wait()
}

// follow dials entries that are new on the board, and leaves those that are
// gone or have moved.
func (x *exchange) reconcile() {
	entries := receivingEntries(x.hearing.o.Board().Entries)
	self := x.hearing.o.Self
	if _, registered := entries[self]; !registered {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for id, d := range x.dialled {
		if entries[id].PeerAddress != d.address {
			d.cancel()
			delete(x.dialled, id)
		}
	}
	for id, c := range x.accepted {
		if _, ok := entries[id]; !ok {
			_ = c.conn.Close()
		}
	}
	for id, e := range entries {
		if id > self && e.PeerAddress != "" && x.dialled[id] == nil {
			x.dial(id, e.PeerAddress)
		}
	}
}

// listeners returns the entries that take announcements.
func receivingEntries(entries map[string]blackboard.Entry) map[string]blackboard.Entry {
	out := make(map[string]blackboard.Entry, len(entries))
	for id, e := range entries {
		if !e.Deaf {
			out[id] = e
		}
	}
	return out
}

// dial keeps a connection to one entry; x.mu must be held.
func (x *exchange) dial(id, address string) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.dialled[id] = &dialler{address: address, cancel: cancel}
	x.wg.Go(func() { x.keepConnected(ctx, id, address) })
}

func (x *exchange) keepConnected(ctx context.Context, id, address string) {
	bound := firstRetry
	for ctx.Err() == nil {
		conn, reader, err := x.connect(ctx, id, address)
		if err == nil {
			bound = firstRetry
			err = x.run(ctx, x.hearing.newConnection(id, conn, reader))
		}
		_ = level.Debug(x.hearing.o.Logger).Log("event", "evidence_connection_ended", "peer", id, "address", address, "err", err)
		sleep(ctx, rand.N(bound))
		bound = min(2*bound, lastRetry)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// connect dials an entry and has it upgrade the connection.
func (x *exchange) connect(ctx context.Context, id, address string) (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := x.hearing.o.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader, err := x.upgrade(ctx, conn, id, address)
	if !stop() && err == nil {
		err = errors.Trace(ctx.Err())
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, errors.Trace(err)
	}
	return conn, reader, nil
}

func (x *exchange) upgrade(ctx context.Context, conn net.Conn, id, address string) (*bufio.Reader, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathExchange, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", protocol)
	r.Header.Set(headerSource, x.hearing.o.Self)
	r.Header.Set(headerPeer, id)
	r.Header.Set("Authorization", "Bearer "+x.hearing.o.PeerToken)
	if err := r.Write(conn); err != nil {
		return nil, errors.Trace(err)
	}
	reader := bufio.NewReaderSize(conn, peerBufferBytes)
	reply, err := http.ReadResponse(reader, r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// A 101 has no body; any other answer ends with its connection.
	_ = reply.Body.Close()
	if reply.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Annotate(ErrRefused, reply.Status)
	}
	return reader, nil
}

// ServeExchange takes the connection of another entry and keeps it until it
// ends. The caller has checked the bearer token.
func (h *Hearing) ServeExchange(w http.ResponseWriter, r *http.Request) {
	source := r.Header.Get(headerSource)
	if e := h.checkExchange(r, source); e != nil {
		failure.Write(w, e)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		failure.Write(w, failure.New(failure.TypeInternal, "the connection can't be taken over"))
		return
	}
	c := h.newConnection(source, conn, buffered.Reader)
	if err := writeSwitchingProtocols(conn); err != nil {
		_ = conn.Close()
		return
	}
	err = h.exchange.runAccepted(c)
	_ = level.Debug(h.o.Logger).Log("event", "evidence_connection_ended", "peer", source, "err", err)
}

func writeSwitchingProtocols(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return errors.Trace(err)
	}
	const answer = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	_, err := conn.Write([]byte(answer))
	return errors.Trace(err)
}

func (h *Hearing) checkExchange(r *http.Request, source string) *failure.Error {
	switch _, known := h.o.Board().Entries[source]; {
	case r.Header.Get("Upgrade") != protocol:
		return failure.New(failure.TypeBadRequest, "an upgrade to "+protocol+" is needed")
	case r.Header.Get(headerPeer) != h.o.Self:
		return failure.New(failure.TypeConflict, "this entry is "+h.o.Self)
	case !known:
		// The board may be behind; the other entry dials again.
		return failure.New(failure.TypeConflict, "entry "+source+" is not registered here")
	case source >= h.o.Self:
		return failure.New(failure.TypeConflict, "the entry with the smaller id dials")
	}
	return nil
}

// take runs a connection that another entry dialled. A newer one replaces an
// older one, which the other entry has found silent.
func (x *exchange) runAccepted(c *connection) error {
	x.mu.Lock()
	if x.ctx == nil || x.ctx.Err() != nil {
		x.mu.Unlock()
		return errors.Trace(c.conn.Close())
	}
	if old := x.accepted[c.peer]; old != nil {
		_ = old.conn.Close()
	}
	x.accepted[c.peer] = c
	ctx := x.ctx
	x.wg.Add(1)
	x.mu.Unlock()

	defer x.wg.Done()
	err := x.run(ctx, c)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.accepted[c.peer] == c {
		delete(x.accepted, c.peer)
	}
	return errors.Trace(err)
}
