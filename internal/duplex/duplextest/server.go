// Package duplextest has a server for tests that answers before it reads.
package duplextest

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// UploadBytes is more than the buffers of a connection take, also where it is relayed.
	UploadBytes = 16 << 20
	// fillTime lets an upload fill the buffers of its connection.
	fillTime = 5 * time.Millisecond
)

// End ends a connection.
type End func(*net.TCPConn)

// ResetUpload resets a connection on which an upload waits for the server to read.
func ResetUpload(c *net.TCPConn) {
	_, _ = c.Read(make([]byte, 1))
	time.Sleep(fillTime)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// ReadOn ends the server's stream, reads the other one to its end and closes the connection.
func ReadOn(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// Start starts a server that sends a text on each connection before it reads, and then calls end. It returns the
// server's address.
func Start(t *testing.T, text string, end End) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(c, text)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}
