package backend

import (
	"net"
	"sync"
)

// sealedConn counts the writes to a connection, so that a failed call can prove that
// nothing was sent.
//
// Failure: net/http returns an error while its writing goroutine still runs, and the
// request is sent after it was reported as not sent. seal closes the connection and
// refuses later writes under the lock that writes take, so its result can't change
// afterwards.
type sealedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts each attempt to write, including failed ones: a part may have been
// sent.
func (c *sealedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *sealedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// writeCount returns the number of writes so far.
func (c *sealedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection and reports whether any write began since writeCount
// returned before.
func (c *sealedConn) seal(before uint64) (wrote bool) {
	c.mu.Lock()
	c.sealed = true
	wrote = c.writes != before
	c.mu.Unlock()
	_ = c.Close()
	return wrote
}
