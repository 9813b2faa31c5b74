// Package duplex distinguishes the end of a stream from the loss of its connection while the connection is also written
// to.
package duplex

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Conn is a connection whose Read returns io.EOF only if the other side has ended its stream. It is safe for one
// reader and several writers at a time.
//
// Failure: the kernel reports the loss of a TCP connection to the first call that asks, and to no other. A write learns
// of a reset, the next read returns io.EOF, and a part of an answer that ends with its connection looks complete.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writing counts the writes in progress; written is signalled at the end of each.
	writing int
	written sync.Cond
	// lost is the first report of the connection's loss; nil if there is none.
	lost error
}

// New returns a Conn over a connection that nothing else reads or writes.
func New(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.written.L = &conn.mu
	return conn
}

// Dial is a function that makes connections, as http.Transport takes it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial that makes Conns over the connections of another one.
func Dialer(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Read reads from the connection. It returns the loss of the connection where a write has learned of it. A Read that
// returns io.EOF ends all writes: they return os.ErrDeadlineExceeded.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == io.EOF {
		return n, c.endOfStream()
	}
	c.note(err)
	return n, err
}

// endOfStream returns io.EOF, or the loss of the connection. The caller holds the lock.
//
// A write in progress may have learned of the loss and not noted it yet. It may also wait for a server that reads
// nothing more, so its deadline ends it: no answer comes for the rest of a request once the stream has ended.
func (c *Conn) endOfStream() error {
	// The deadline can't be set on a closed connection, whose writes end by themselves.
	_ = c.Conn.SetWriteDeadline(time.Now())
	for c.writing > 0 {
		c.written.Wait()
	}
	if c.lost != nil {
		return errors.Annotate(c.lost, "the connection was lost before the end of its stream")
	}
	return io.EOF
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(err)
	c.writing--
	c.written.Broadcast()
	return n, err
}

// note notes the error of a read or a write; err may be nil. The caller holds the lock.
func (c *Conn) note(err error) {
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
}

// isLoss reports whether an error other than io.EOF means that the other side's stream may be incomplete. EPIPE is what
// a write gets after a reset that follows the end of the stream; before that end it gets ECONNRESET.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}
