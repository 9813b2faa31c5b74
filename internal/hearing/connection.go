package hearing

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
	// silenceLimit is how long a connection may bring no whole frame, and how
	// long a write may take: over two intervals, so that one late frame does not
	// end it, and under evidence.WitnessAge.
	//
	// Failure: a middlebox forgets a connection, or a link loses one direction;
	// the connection stays open and brings nothing. The side that hears nothing
	// closes it; the other side then sees the end, or, when that is lost too,
	// hears nothing itself.
	silenceLimit = 800 * time.Millisecond
	// peerBufferBytes is the read buffer of a connection in bytes, several ordinary
	// frames; an entry has one for each other entry.
	peerBufferBytes = 1 << 10
)

// connection is one end of a connection to another entry.
type connection struct {
	hearing *Hearing
	peer    string
	conn    net.Conn
	reader  *bufio.Reader
	// dated is signalled when the first frame has arrived, as lines can be sent
	// from then on.
	firstFrame chan struct{}
	// news is signalled when there is something to send before its time.
	flush chan struct{}

	mu      sync.Mutex
	session *wire.Session
	cursor  evidence.Cursor
}

func (h *Hearing) newConnection(peer string, conn net.Conn, reader *bufio.Reader) *connection {
	return &connection{
		hearing: h, peer: peer, conn: conn, reader: reader,
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
			// What else is heard meanwhile goes in the same frame.
			sleep(ctx, pushGap)
		case <-ctx.Done():
			return nil
		}
	}
}

// push asks for a frame before its time.
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

// next makes the next frame. What was heard since the last one goes into it
// once: it arrives, or the connection ends and the next one begins afresh.
func (c *connection) nextFrames() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []evidence.Heard
	now := time.Now()
	if c.session.CanDate() {
		c.hearing.With(func(t *evidence.Table) {
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
			_ = level.Warn(c.hearing.o.Logger).Log("event", "evidence_malformed", "peer", c.peer, "err", err)
			return errors.Trace(err)
		}
	}
}

func (c *connection) receive(body []byte) error {
	c.mu.Lock()
	first := !c.session.CanDate()
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
	c.hearing.With(func(t *evidence.Table) { t.Merge(got.Made, c.peer, got.Lines) })
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
