package announcement

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/evidence/wire"
)

const (
	// silenceLimit bounds the wait for a complete frame and the duration of a
	// write. It exceeds two digest intervals, so one late frame does not end the
	// connection, and is shorter than evidence.MaxDigestAge.
	//
	// Failure: a middlebox drops its state for a connection, or a link loses one
	// direction, and the connection stays open without delivering data. The side
	// that receives nothing closes the connection. The other side then reads the
	// end of the stream or, if the close is lost too, reaches its own limit.
	silenceLimit = 800 * time.Millisecond
	// peerBufferBytes is the size of a connection's read buffer. It holds several
	// ordinary frames; an entry has one buffer for each other entry.
	peerBufferBytes = 1 << 10
)

// connection is one end of a connection to another entry.
type connection struct {
	receiver *Receiver
	peer     string
	conn     net.Conn
	reader   *bufio.Reader
	// firstFrame is signalled when the first frame has arrived. Lines can be sent
	// from then on.
	firstFrame chan struct{}
	// flush is signalled when a frame is to be sent before the next interval.
	flush chan struct{}

	mu      sync.Mutex
	session *wire.Session
	cursor  evidence.Cursor
}

func (h *Receiver) newConnection(peer string, conn net.Conn, reader *bufio.Reader) *connection {
	return &connection{
		receiver: h, peer: peer, conn: conn, reader: reader,
		firstFrame: make(chan struct{}, 1), flush: make(chan struct{}, 1), session: wire.NewSession(),
	}
}

// run sends and receives frames until the connection fails or the context ends.
func (c *connection) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	done := make(chan error, 1)
	go func() {
		err := c.sendLoop(ctx)
		cancel()
		done <- err
	}()
	err := c.receiveLoop()
	cancel()
	_ = c.conn.Close()
	if sent := <-done; sent != nil {
		err = sent
	}
	return errors.Trace(err)
}

// sendLoop returns nil when the context ends.
func (c *connection) sendLoop(ctx context.Context) error {
	ticker := time.NewTicker(evidence.DigestInterval)
	defer ticker.Stop()
	for {
		if err := c.send(); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Trace(err)
		}
		select {
		case <-ticker.C:
		case <-c.firstFrame:
		case <-c.flush:
			// Announcements received during the gap go into the same frame.
			sleep(ctx, pushGap)
		case <-ctx.Done():
			return nil
		}
	}
}

// push requests a frame before the next interval.
func (c *connection) push() {
	select {
	case c.flush <- struct{}{}:
	default:
	}
}

func (c *connection) send() error {
	data, err := c.nextFrames()
	if err != nil {
		return errors.Trace(err)
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(silenceLimit)); err != nil {
		return errors.Trace(err)
	}
	_, err = c.conn.Write(data)
	return errors.Trace(err)
}

// nextFrames returns the bytes of the next frames. They carry each announcement
// received since the last call exactly once. Either they arrive, or the connection
// ends and the next connection sends the complete table.
func (c *connection) nextFrames() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []evidence.DigestLine
	now := time.Now()
	if c.session.HasReceived() {
		c.receiver.WithTable(func(t *evidence.Table) {
			now = time.Now()
			lines, c.cursor = t.Digest(now, c.cursor)
		})
	}
	data, err := c.session.Frames(now, lines)
	return data, errors.Trace(err)
}

func (c *connection) receiveLoop() error {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			return errors.Trace(err)
		}
		body, err := readFrame(c.reader)
		if err != nil {
			return errors.Trace(err)
		}
		if err := c.receive(body); err != nil {
			_ = level.Warn(c.receiver.o.Logger).Log("event", "evidence_malformed", "peer", c.peer, "err", err)
			return errors.Trace(err)
		}
	}
}

func (c *connection) receive(body []byte) error {
	c.mu.Lock()
	first := !c.session.HasReceived()
	got, err := c.session.Receive(time.Now(), body)
	c.mu.Unlock()
	if err != nil {
		return errors.Trace(err)
	}
	if first {
		c.firstFrame <- struct{}{}
	}
	if got.Made.IsZero() {
		return nil
	}
	c.receiver.WithTable(func(t *evidence.Table) { t.Merge(got.Made, c.peer, got.Lines) })
	return nil
}

// readFrame reads one frame and returns its body.
func readFrame(r *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if size > wire.MaxFrame {
		return nil, errors.Annotatef(wire.ErrTooLarge, "%d bytes", size)
	}
	body := make([]byte, size)
	_, err = io.ReadFull(r, body)
	return body, errors.Trace(err)
}
