package intake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/metrics"
)

// ConnLimit bounds the connections that several listeners of a process keep open together. It is safe for concurrent
// use.
//
// Failure: one listener gets connections that bring no request, or keep idle after one. They take all descriptors, and
// the process neither reaches other processes nor accepts connections at its other listeners.
type ConnLimit struct {
	logger  log.Logger
	maxOpen int

	mu        sync.Mutex
	listeners []*limitedListener
	// closed counts the connections that gave way since the last report, refused the new ones that found no place.
	closed, refused int
}

// NewConnLimit returns a limit of maxOpen connections.
func NewConnLimit(logger log.Logger, maxOpen int) *ConnLimit {
	return &ConnLimit{logger: logger, maxOpen: maxOpen}
}

// limitedListener is the part of a ConnLimit that one listener uses.
type limitedListener struct {
	name  string
	limit *ConnLimit
	conns connections
}

// For returns the part of a listener with the given name.
func (l *ConnLimit) For(name string) Accepter {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := &limitedListener{name: name, limit: l, conns: newConnections()}
	l.listeners = append(l.listeners, part)
	return part
}

func (p *limitedListener) accept(now time.Time, c net.Conn) bool {
	l := p.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open() >= l.maxOpen && !l.makeRoom() {
		l.refused++
		return false
	}
	p.conns.add(now, c)
	return true
}

// ConnState is the ConnState of the http.Server that serves the accepted connections.
func (p *limitedListener) ConnState(c net.Conn, s http.ConnState) {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	p.conns.setState(time.Now(), c, s)
}

// setReceiving records whether the body of a connection's request is yet to arrive.
func (p *limitedListener) setReceiving(c net.Conn, is bool) {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	p.conns.setReceiving(time.Now(), c, is)
}

// open counts the open connections. The caller holds the lock.
func (l *ConnLimit) open() int {
	n := 0
	for _, p := range l.listeners {
		n += p.conns.open
	}
	return n
}

// makeRoom closes an unused connection of the listener that has most connections without a complete request. It returns false
// if no connection is unused. The caller holds the lock.
func (l *ConnLimit) makeRoom() bool {
	var most *limitedListener
	for _, p := range l.listeners {
		if n := p.conns.unused(); n > 0 && (most == nil || n > most.conns.unused()) {
			most = p
		}
	}
	if most == nil {
		return false
	}
	most.conns.closeUnused()
	l.closed++
	return true
}

// Report returns what became of connections since the last report, and logs it if the limit was reached.
func (l *ConnLimit) Report() metrics.ListenerSample {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := metrics.ListenerSample{Open: make(map[string]int), Closed: l.closed, Refused: l.refused}
	for _, p := range l.listeners {
		r.Open[p.name] = p.conns.open
	}
	if l.closed > 0 || l.refused > 0 {
		_ = level.Info(l.logger).Log("event", "connections_at_limit", "open", l.open(), "max_open", l.maxOpen,
			"unused_closed", l.closed, "refused", l.refused)
	}
	l.closed, l.refused = 0, 0
	return r
}
