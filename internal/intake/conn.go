package intake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
)

// errHeaderRefused is the error of a read of a header for which the budget has no room.
const errHeaderRefused = errors.ConstError("the memory for headers of requests is used up")

// conn is an accepted connection. It reserves memory for the headers of its requests before net/http parses them.
type conn struct {
	net.Conn
	headers *HeaderBudget
	// refusal is the answer to a request whose header is refused.
	refusal []byte

	mu sync.Mutex
	// isServing is set while a request has its whole header and has not ended, and isHijacked once the connection no
	// longer carries HTTP.
	isServing, isHijacked bool
	scan                  headerScan
	// hasEnd is set once the end of the header was read.
	hasEnd bool
	// headerBytes is the length of what was read of the header, in bytes.
	headerBytes int
	// reserved is the memory that is reserved for the header, in bytes.
	reserved int64
	// behind is the cost of what was read behind the header: the body, or the beginning of the next header.
	behind int64
	// deadlines counts the read deadlines since the last request ended, and hasRead is set if bytes arrived since.
	deadlines int
	hasRead   bool
	// isRefused is set once the budget had no room for the header, isUnanswered if net/http does not answer the request
	// either, because it could not read the header.
	isRefused, isUnanswered bool
	accepter                Accepter
	closeOnce               sync.Once
}

// Read reads from the connection. It fails with errHeaderRefused if the budget has no room for a header.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.reserveFor(p[:n]) {
		// net/http answers no read that fails with a net.OpError.
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeaderRefused}
	}
	return n, err
}

// reserveFor reserves memory for the part of data that belongs to a header.
func (c *conn) reserveFor(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasRead = true
	switch {
	case c.isHijacked:
		return true
	case c.isServing:
		c.behind = addBehind(c.behind, data)
		return true
	}
	n, ends := c.scan.split(data)
	c.hasEnd = ends
	c.headerBytes += n
	c.behind = addBehind(0, data[n:])
	c.isUnanswered = c.isRefused || !c.reserve(bounded.HeaderCost(data[:n]))
	return !c.isUnanswered
}

// reserve reserves memory for the header. The caller holds the lock.
func (c *conn) reserve(cost int64) bool {
	if !c.headers.memory.Grow(c.reserved, cost) {
		c.isRefused = true
		return false
	}
	c.reserved += cost
	return true
}

// SetReadDeadline sets the deadline of reads.
//
// Once a request has ended, net/http sets a deadline, waits for the first bytes of the next one, and sets another. If
// nothing was read between the two, these bytes have arrived behind the request before.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	if !c.isServing {
		c.deadlines++
		if c.deadlines == 2 && !c.hasRead && c.behind > 0 {
			c.reserve(c.behind)
			c.behind = 0
		}
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// setState applies a state that the http.Server reports.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.isServing = true
	case http.StateHijacked:
		c.isHijacked = true
	case http.StateIdle:
		c.isServing, c.scan, c.hasEnd, c.headerBytes, c.deadlines, c.hasRead = false, headerScan{}, false, 0, 0, false
		c.release()
	case http.StateClosed:
		c.release()
	}
}

// release releases the memory of the header. The caller holds the lock.
func (c *conn) release() {
	c.headers.memory.Release(c.reserved)
	c.reserved = 0
}

// lastHeaderBytes returns the length of the header of the request that is served, in bytes.
func (c *conn) lastHeaderBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headerBytes
}

// hasRefused reports whether the header of the request is refused.
func (c *conn) hasRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRefused
}

// Close closes the connection. A caller whose header is refused gets an answer before.
func (c *conn) Close() error {
	err := error(nil)
	c.closeOnce.Do(func() {
		if c.takesAnswer() {
			go c.answerAndClose()
			return
		}
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
