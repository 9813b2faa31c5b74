package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/juju/errors"
)

const (
	// frameHeader is the length of a frame's header, which holds the payload's length in bytes,
	// big endian. A payload of length 0 is the end of the direction.
	frameHeader = 2
	// maxPayload is the longest payload of a frame, in bytes.
	maxPayload = 16 << 10
	// readBuffer is the read buffer of one connection, in bytes: about twenty ordinary events.
	readBuffer = 4 << 10
)

// Conn carries the byte stream of a connection to a backend server over a connection between two
// entries. It sends the stream in frames, so that the stream's end differs from a lost connection.
//
// Failure: a backend server announces neither length nor chunks, and its answer ends with its
// connection. Its server or the relaying entry is lost in the middle. The connection between the
// entries ends in the same way in both cases, and the caller takes the part for the whole.
type Conn struct {
	net.Conn
	// Peer is the entry that relays the connection.
	Peer string

	reader *bufio.Reader
	// left is the rest of the current frame in bytes; isEnded is set after the end frame.
	left    int
	isEnded bool

	writeMu sync.Mutex
}

func newConn(c net.Conn, r *bufio.Reader, peer string) *Conn {
	return &Conn{Conn: c, Peer: peer, reader: r}
}

// Read returns io.EOF only after the other end has ended the stream, and io.ErrUnexpectedEOF if
// the connection was lost before.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isEnded {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, lost(err)
}

func (c *Conn) readHeader() error {
	var header [frameHeader]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return lost(err)
	}
	c.left = int(binary.BigEndian.Uint16(header[:]))
	if c.left == 0 {
		c.isEnded = true
		return io.EOF
	}
	return nil
}

// lost turns the end of the connection between the entries into an error.
func lost(err error) error {
	if err == io.EOF {
		return errors.Annotate(io.ErrUnexpectedEOF, "the relay ended before its stream")
	}
	return err
}

// Write sends p in frames.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), maxPayload)]
		if err := c.writeFrame(part); err != nil {
			return written, err
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// CloseWrite ends the stream in this end's direction.
func (c *Conn) CloseWrite() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeFrame(nil)
}

func (c *Conn) writeFrame(payload []byte) error {
	var header [frameHeader]byte
	binary.BigEndian.PutUint16(header[:], uint16(len(payload)))
	frame := net.Buffers{header[:], payload}
	_, err := frame.WriteTo(c.Conn)
	return errors.Trace(err)
}
