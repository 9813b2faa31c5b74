package duplex

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/duplex/duplextest"
)

const (
	// rounds is how many connections each test over TCP makes.
	rounds = 30
	// part is what a server sends before it ends the connection.
	part = "part of an answer"
)

// connect connects to a server that sends part without reading, and then ends the connection.
func connect(t *testing.T, end duplextest.End) net.Conn {
	t.Helper()
	own, err := net.Dial("tcp", duplextest.Start(t, part, end))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = own.Close() })
	return own
}

var upload = make([]byte, duplextest.UploadBytes)

// startUpload writes an upload to a connection and sends what came of it to the returned channel.
func startUpload(c net.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(upload)
		written <- err
	}()
	return written
}

// readWhileWriting reads a connection to its end while an upload is written to it, and returns what each got.
func readWhileWriting(c net.Conn) (data string, readErr, writeErr error) {
	written := startUpload(c)
	read, readErr := io.ReadAll(c)
	return string(read), readErr, <-written
}

// Guards against a reset that looks like the end of a stream, as a write learns of it.
func TestResetDuringAWriteIsNoEndOfStream(t *testing.T) {
	for range rounds {
		data, readErr, _ := readWhileWriting(New(connect(t, duplextest.ResetUpload)))
		assert.Equal(t, data, part)
		assert.Assert(t, errors.Is(readErr, syscall.ECONNRESET), "%v", readErr)
	}
}

// Covers what the kernel does with a reset during a write, with no Conn: one call learns of it. The run logs which.
func TestKernelReportsAResetOnce(t *testing.T) {
	learnedByWrite := 0
	for range rounds {
		_, readErr, writeErr := readWhileWriting(connect(t, duplextest.ResetUpload))
		isRead, isWrite := errors.Is(readErr, syscall.ECONNRESET), errors.Is(writeErr, syscall.ECONNRESET)
		assert.Assert(t, isRead != isWrite, "read: %v, write: %v", readErr, writeErr)
		if isWrite {
			assert.NilError(t, readErr)
			learnedByWrite++
		}
	}
	t.Logf("of %d resets %d were reported to the write, and the read then saw the end of the stream", rounds, learnedByWrite)
}

// Guards against a complete stream that is held back, or taken for a lost one, while nobody reads what is written.
func TestEndOfStreamEndsTheWritesInProgress(t *testing.T) {
	// A connection without a reference is closed by the collector.
	var held sync.Map
	for range rounds {
		data, readErr, writeErr := readWhileWriting(New(connect(t, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			held.Store(c, nil)
		})))
		assert.Equal(t, data, part)
		assert.NilError(t, readErr)
		assert.Assert(t, errors.Is(writeErr, os.ErrDeadlineExceeded), "%v", writeErr)
	}
}

// Guards against a complete stream that is taken for a lost one, as its server closes the connection behind its end.
func TestResetAfterTheEndOfAStreamIsNoLoss(t *testing.T) {
	for range rounds {
		conn := New(connect(t, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			duplextest.ResetUpload(c)
		}))
		assert.Assert(t, errors.Is(<-startUpload(conn), syscall.EPIPE))
		data, err := io.ReadAll(conn)
		assert.NilError(t, err)
		assert.Equal(t, string(data), part)
	}
}

// lateConn is a connection whose write has learned of a reset and returns only once its deadline is set.
type lateConn struct {
	net.Conn
	begun, ended chan struct{}
}

func (c *lateConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *lateConn) Write([]byte) (int, error) {
	close(c.begun)
	<-c.ended
	return 0, syscall.ECONNRESET
}

func (c *lateConn) SetWriteDeadline(time.Time) error {
	close(c.ended)
	return nil
}

// Guards against a read that sees the end of the stream before the write that has learned of the loss has returned.
func TestEndOfStreamWaitsForAWriteThatHasLearnedOfALoss(t *testing.T) {
	inner := &lateConn{begun: make(chan struct{}), ended: make(chan struct{})}
	conn, written := New(inner), make(chan error, 1)
	go func() {
		_, err := conn.Write([]byte("x"))
		written <- err
	}()
	<-inner.begun
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	assert.Assert(t, errors.Is(<-written, syscall.ECONNRESET))
}

// Guards against a loss that a read has reported once and that the next read takes for the end of the stream.
func TestLossIsReportedToEachRead(t *testing.T) {
	conn := New(connect(t, duplextest.ResetUpload))
	_, err, _ := readWhileWriting(conn)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
