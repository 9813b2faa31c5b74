package relay

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const (
	// earlyRounds is how many answers come before their requests are read.
	earlyRounds = 10
	// uploadBytes is more than the buffers of a relay take.
	uploadBytes = 16 << 20
	// answerBytes is the length of an answer that the connection between two entries still carries when its server ends.
	answerBytes = 8 << 20
)

// startEarly starts a backend server that sends a text on each connection before it reads, and then calls end. It
// returns its address.
func startEarly(t *testing.T, text string, end func(*net.TCPConn)) string {
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

// readDuringUpload connects through a peer, reads to the end while an upload is written, and closes the connection.
func readDuringUpload(t *testing.T, peer *testPeer, address string) (string, error) {
	t.Helper()
	c, err := newTestDialer(peer).Dial(t.Context(), address, "r")
	assert.NilError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, uploadBytes))
	}()
	data, err := io.ReadAll(c)
	assert.NilError(t, c.Close())
	<-written
	return string(data), err
}

// Guards against an answer that is lost because its relay closes a connection on which a request still arrives.
func TestAnswerBeforeItsRequestIsReadArrives(t *testing.T) {
	text := strings.Repeat("x", answerBytes)
	peer := startPeer(t, "p", "near")
	address := startEarly(t, text, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	for range earlyRounds {
		got, err := readDuringUpload(t, peer, address)
		assert.NilError(t, err)
		assert.Assert(t, got == text, "%d bytes of %d", len(got), len(text))
		assert.Equal(t, <-peer.outcomes, OutcomeComplete)
	}
}

// Guards against a reset of the backend server that is passed on as the end of its stream.
func TestResetBeforeTheRequestIsReadIsACut(t *testing.T) {
	peer := startPeer(t, "p", "near")
	const part = "part"
	address := startEarly(t, part, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for range earlyRounds {
		got, err := readDuringUpload(t, peer, address)
		assert.Equal(t, got, part)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		assert.Equal(t, <-peer.outcomes, OutcomeCut)
	}
}
