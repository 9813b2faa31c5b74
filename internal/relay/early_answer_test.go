package relay

import (
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/duplex/duplextest"
)

const (
	// earlyRounds is how many answers come before their requests are read.
	earlyRounds = 10
	// answerBytes is the length of an answer that the connection between two entries still carries when its server ends.
	answerBytes = 8 << 20
)

// readDuringUpload connects through a peer, reads to the end while an upload is written, and closes the connection.
func readDuringUpload(t *testing.T, peer *testPeer, address string) (string, error) {
	t.Helper()
	c, err := newTestDialer(peer).Dial(t.Context(), address, "r")
	assert.NilError(t, err)
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = c.Write(make([]byte, duplextest.UploadBytes))
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
	address := duplextest.Start(t, text, duplextest.ReadOn)
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
	address := duplextest.Start(t, part, duplextest.ResetUpload)
	for range earlyRounds {
		got, err := readDuringUpload(t, peer, address)
		assert.Equal(t, got, part)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		assert.Equal(t, <-peer.outcomes, OutcomeCut)
	}
}
