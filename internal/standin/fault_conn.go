package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// faultConn is an accepted connection that can be paused with its server or
// go silent for good: then what is written is lost and nothing is read, and
// neither end is told, as after a middlebox has dropped its state.
type faultConn struct {
	net.Conn

	server *server
	silent atomic.Bool
	done   chan struct{}
	once   sync.Once
}

// Read reads, unless the connection is paused or silent.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.server.gate.wait(c.done)
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes, unless the connection is paused or silent.
func (c *faultConn) Write(p []byte) (int, error) {
	c.server.gate.wait(c.done)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and wakes what waits on it.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.server.removeConn(c)
	})
	return c.Conn.Close()
}
