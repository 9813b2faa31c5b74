package backend

import (
	"net"
	"sync"
)

// sealedConn counts what was handed to the network, so that a failed call can
// prove that nothing was sent.
//
// The failure guarded against: net/http reports an error while its writing
// goroutine still runs, and the request goes out after we have called it not
// sent. seal closes the connection and refuses later writes under the same
// lock that writes hold, so the answer can't change afterwards.
type sealedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts each attempt to write, also one that fails: part of it may
// have left.
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

// mark returns how many writes there were before a call.
func (c *sealedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal ends the connection and tells whether any write began since mark.
func (c *sealedConn) seal(before uint64) (wrote bool) {
	c.mu.Lock()
	c.sealed = true
	wrote = c.writes != before
	c.mu.Unlock()
	_ = c.Close()
	return wrote
}
