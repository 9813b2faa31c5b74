// Package serverlinks cuts the links of a process to backend servers, for tests. A process that dials
// through Links sees what a process behind a broken network sees: refused or unanswered connections,
// resets and silence. Other processes reach the servers meanwhile.
package serverlinks

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
)

// Fault is what is wrong with the links of an entry to backend servers.
type Fault int

const (
	// Work: connections are made and carry data.
	Work Fault = iota
	// Reset: open connections are reset and new ones are refused.
	Reset
	// Hang: open connections carry nothing and new ones are not answered.
	Hang
	// RefuseNew: new connections are refused and open ones work.
	RefuseNew
)

// Links are the links of one entry to all backend servers.
type Links struct {
	mu    sync.Mutex
	fault Fault
	// affects reports whether the fault affects an address; nil for all.
	affects func(address string) bool
	conns   map[*linkedConn]bool
}

// linkedConn is a connection over a link. hung is closed when it stops to carry data, closed when
// either end closes it.
type linkedConn struct {
	net.Conn
	links        *Links
	address      string
	hung, closed chan struct{}
	closeOnce    sync.Once
}

// New returns links that work.
func New() *Links { return &Links{conns: make(map[*linkedConn]bool)} }

// Set applies a fault to the links to the addresses that affects selects; nil selects all.
// Connections that a fault silenced are reset when it ends.
func (l *Links) Set(f Fault, affects func(address string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.fault
	l.fault, l.affects = f, affects
	for c := range l.conns {
		switch {
		case before == Hang && c.isHung(), f == Reset && l.isAffected(c.address):
			delete(l.conns, c)
			c.reset()
		case f == Hang && l.isAffected(c.address):
			close(c.hung)
		}
	}
}

// isAffected reports whether the fault affects an address. The caller holds the lock.
func (l *Links) isAffected(address string) bool {
	return l.fault != Work && (l.affects == nil || l.affects(address))
}

func (l *Links) faultOf(address string) Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isAffected(address) {
		return l.fault
	}
	return Work
}

// Dial connects to a backend server over the link.
func (l *Links) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch l.faultOf(address) {
	case Reset, RefuseNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case Hang:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkedConn{Conn: conn, links: l, address: address, hung: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

func (c *linkedConn) isHung() bool {
	select {
	case <-c.hung:
		return true
	default:
		return false
	}
}

// reset ends the connection at both ends.
func (c *linkedConn) reset() {
	c.closeOnce.Do(func() { close(c.closed) })
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close closes the entry's end. The backend server does not learn of it while the link is silent.
func (c *linkedConn) Close() error {
	c.links.mu.Lock()
	hung := c.isHung()
	if !hung {
		delete(c.links.conns, c)
	}
	c.links.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	if hung {
		return nil
	}
	return c.Conn.Close()
}

func (c *linkedConn) Read(p []byte) (int, error) {
	type result struct {
		n   int
		err error
	}
	done := make(chan result, 1)
	buffer := make([]byte, len(p))
	go func() {
		n, err := c.Conn.Read(buffer)
		done <- result{n, err}
	}()
	select {
	case r := <-done:
		if !c.isHung() {
			return copy(p, buffer[:r.n]), linkError("read", r.err)
		}
	case <-c.hung:
	}
	<-c.closed
	return 0, linkError("read", net.ErrClosed)
}

func (c *linkedConn) Write(p []byte) (int, error) {
	if c.isHung() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	return n, linkError("write", err)
}

// linkError turns the error of a connection that the fault closed into that of a reset.
func linkError(op string, err error) error {
	if errors.Is(err, net.ErrClosed) {
		return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, syscall.ECONNRESET)}
	}
	return err
}
