package announcement

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
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/failure"
)

// PathExchange is the path at which an entry accepts evidence connections from
// other entries.
const PathExchange = "/evidence/v1/exchange"

// Protocol and header names of the upgrade request.
const (
	protocol = "citronstep-evidence"
	// headerSource carries the id of the dialling entry and headerPeer the id of
	// the entry that it expects to reach. A process that has been given the former
	// address of another entry must not be mistaken for that entry.
	headerSource = "Citronstep-Entry"
	headerPeer   = "Citronstep-Peer"
)

const (
	// handshakeTimeout bounds a dial together with its upgrade.
	handshakeTimeout = 500 * time.Millisecond
	// The wait before a redial is random, below a bound that doubles from
	// firstRetry to lastRetry.
	//
	// Load: 370 entries lose a VM or a link between data centres at once and
	// redial. Spread over one second, an entry that returns accepts one connection
	// every 3 ms. Waits longer than lastRetry would only delay its first digest.
	firstRetry = 200 * time.Millisecond
	lastRetry  = time.Second
)

// ErrRefused is returned when the other process did not accept the upgrade.
const ErrRefused = errors.ConstError("peer refused the evidence connection")

// exchange holds the connections to other entries. Of two entries, the one with
// the smaller id dials, so each pair has one connection.
type exchange struct {
	receiver *Receiver
	wg       sync.WaitGroup

	mu sync.Mutex
	// ctx is the context of Receiver.Run; nil while Run is not running.
	ctx      context.Context
	dialled  map[string]*dialler
	accepted map[string]*connection
	// open holds all running connections, dialled and accepted.
	open map[*connection]bool
}

type dialler struct {
	address string
	cancel  context.CancelFunc
}

func newExchange(h *Receiver) *exchange {
	return &exchange{receiver: h, dialled: make(map[string]*dialler), accepted: make(map[string]*connection), open: make(map[*connection]bool)}
}

// push sends the newest announcements to all peers without waiting for the next
// interval.
//
// Load: a backend server reports to a process other than the leader that it has
// joined its group. The next digest would bring the report to the leader up to 0.3 s
// later and delay each step of a repair by that time.
func (x *exchange) push() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for c := range x.open {
		c.push()
	}
}

// run runs a connection until it ends and lists it in open meanwhile.
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

// stop cancels all dialled connections and waits for the goroutines of all
// connections. The context passed to start must have ended.
func (x *exchange) stop() {
	x.mu.Lock()
	x.ctx = nil
	for _, d := range x.dialled {
		d.cancel()
	}
	x.mu.Unlock()
	x.wg.Wait()
}

// reconcile adjusts the connections to the board: it dials new entries and closes
// connections to entries that were removed or have a new address.
func (x *exchange) reconcile() {
	entries := receivingEntries(x.receiver.o.Board().Entries)
	self := x.receiver.o.Self
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

// receivingEntries returns the entries that receive announcements.
func receivingEntries(entries map[string]blackboard.Entry) map[string]blackboard.Entry {
	out := make(map[string]blackboard.Entry, len(entries))
	for id, e := range entries {
		if !e.Deaf {
			out[id] = e
		}
	}
	return out
}

// dial starts a goroutine that keeps a connection to one entry. The caller must
// hold x.mu.
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
			err = x.run(ctx, x.receiver.newConnection(id, conn, reader))
		}
		_ = level.Debug(x.receiver.o.Logger).Log("event", "evidence_connection_ended", "peer", id, "address", address, "err", err)
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

// connect dials an entry and upgrades the connection.
func (x *exchange) connect(ctx context.Context, id, address string) (net.Conn, *bufio.Reader, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := x.receiver.o.Dial(ctx, "tcp", address)
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
	r.Header.Set(headerSource, x.receiver.o.Self)
	r.Header.Set(headerPeer, id)
	r.Header.Set("Authorization", "Bearer "+x.receiver.o.PeerToken)
	if err := r.Write(conn); err != nil {
		return nil, errors.Trace(err)
	}
	// A 101 has no body; after any other answer the caller closes the connection.
	reply, reader, err := bounded.ReadHead(conn, r, peerBufferBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if reply.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Annotate(ErrRefused, reply.Status)
	}
	return reader, nil
}

// ServeExchange accepts a connection from another entry and returns when it ends.
// The caller must have checked the bearer token.
func (h *Receiver) ServeExchange(w http.ResponseWriter, r *http.Request) {
	source := r.Header.Get(headerSource)
	if e := h.checkExchange(r, source); e != nil {
		failure.Write(w, e)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		failure.Write(w, failure.New(failure.TypeInternal, "the server does not support connection upgrades"))
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

func (h *Receiver) checkExchange(r *http.Request, source string) *failure.Error {
	switch _, known := h.o.Board().Entries[source]; {
	case r.Header.Get("Upgrade") != protocol:
		return failure.New(failure.TypeBadRequest, "an upgrade to "+protocol+" is needed")
	case r.Header.Get(headerPeer) != h.o.Self:
		return failure.New(failure.TypeConflict, "this entry is "+h.o.Self)
	case !known:
		// The board of this entry may be outdated; the other entry redials.
		return failure.New(failure.TypeConflict, "entry "+source+" is not registered here")
	case source >= h.o.Self:
		return failure.New(failure.TypeConflict, "the entry with the smaller id dials")
	}
	return nil
}

// runAccepted runs a connection that another entry dialled. It replaces an older
// connection from the same entry, which that entry has given up as silent.
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
