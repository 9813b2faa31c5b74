package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// faultConn is an accepted connection with injected faults. It can be paused together with its
// server, or fall silent for good: then written data is lost, nothing can be read, and neither
// side is notified, as after a middlebox has dropped its connection state.
type faultConn struct {
	net.Conn

	server *server
	silent atomic.Bool
	done   chan struct{}
	once   sync.Once
}

// Read blocks while the server is paused, and until Close on a silent connection.
func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.server.gate.wait(c.done)
	if c.silent.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

// Write blocks while the server is paused, and discards the data on a silent connection.
func (c *faultConn) Write(p []byte) (int, error) {
	c.server.gate.wait(c.done)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and unblocks its reads and writes.
func (c *faultConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.server.removeConn(c)
	})
	return c.Conn.Close()
}
