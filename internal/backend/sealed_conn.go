package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
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
	// received receive the time at which bytes arrive.
	received []*lastTime

	// reads counts the reads that returned bytes. hasFailed is set once a read or a write has failed.
	reads     atomic.Uint64
	hasFailed atomic.Bool
	// arrival records how the present answer arrives.
	arrival arrival
	// head is the memory of the present answer's head; nil if none is counted.
	head atomic.Pointer[headReservation]

	mu     sync.Mutex
	writes uint64
	sealed bool

	closeOnce sync.Once
	// closed is closed once this process has closed the connection.
	closed chan struct{}
}

func newSealedConn(c net.Conn, received ...*lastTime) *sealedConn {
	return &sealedConn{Conn: c, received: received, closed: make(chan struct{})}
}

// Read records when bytes arrive. It returns errHeadMemory if the head of an answer has no room.
func (c *sealedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(n, err)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.arrival.read(now, p[:n])
	for _, received := range c.received {
		received.set(now)
	}
	if head := c.head.Load(); head != nil {
		if headErr := head.read(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	return n, err
}

// Write counts each attempt to write, including failed ones: a part may have been
// sent. One that fails returns once the connection has been closed, as the reader does after its last read.
//
// Failure: a backend server sends a complete answer before it has read the request, and resets the connection. net/http
// closes the connection as soon as a write returns an error, and drops the answer, which is still to be read.
func (c *sealedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.note(0, err)
	if err != nil {
		<-c.closed
	}
	return n, err
}

// Close closes the connection.
func (c *sealedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// note records the result of a read or a write.
func (c *sealedConn) note(read int, err error) {
	if read > 0 {
		c.reads.Add(1)
	}
	if err != nil {
		c.hasFailed.Store(true)
	}
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

// sealUnlessTaken closes the connection if no request has got it since the one whose answer has the given head. One
// that gets it at the same time is not sent.
func (c *sealedConn) sealUnlessTaken(head *headReservation) {
	if c.head.Load() != head {
		return
	}
	c.seal(0)
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
