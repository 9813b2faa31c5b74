package intake

import (
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

// conn is an accepted connection.
type conn struct {
	net.Conn

	mu sync.Mutex
	// isHijacked is set once the connection no longer carries HTTP.
	isHijacked bool
	accepter   Accepter
	closeOnce  sync.Once
}

// setState applies a state that the http.Server reports.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateHijacked {
		c.isHijacked = true
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	err := error(nil)
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.endHijacked()
	})
	return err
}

// CloseWrite ends the stream to the caller.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.NotSupportedf("half-closed connections")
	}
	return half.CloseWrite()
}

// endHijacked ends the connection for its listener if the http.Server no longer does.
func (c *conn) endHijacked() {
	c.mu.Lock()
	isHijacked := c.isHijacked
	c.mu.Unlock()
	if isHijacked {
		c.setState(http.StateClosed)
		c.accepter.ConnState(c, http.StateClosed)
	}
}

// reset closes a connection, which leaves nothing of it behind in the kernel.
func reset(c net.Conn) {
	if accepted, ok := c.(*conn); ok {
		reset(accepted.Conn)
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
