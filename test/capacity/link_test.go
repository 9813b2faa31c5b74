package capacity

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/evidence/wire"
)

// link holds both sessions of a connection that carries evidence in one direction.
type link struct {
	t        testing.TB
	from, to *wire.Session
}

func newLink(t testing.TB) *link {
	l := &link{t: t, from: wire.NewSession(), to: wire.NewSession()}
	l.answer()
	return l
}

// send encodes evidence lines as frames.
func (l *link) send(lines []evidence.DigestLine) []byte {
	l.t.Helper()
	data, err := l.from.Frames(epoch, lines)
	assert.NilError(l.t, err)
	return data
}

// receive decodes the evidence lines of frames.
func (l *link) receive(data []byte) []evidence.DigestLine {
	l.t.Helper()
	return receive(l.t, l.to, data)
}

// answer sends a frame without lines in the opposite direction.
func (l *link) answer() {
	l.t.Helper()
	data, err := l.to.Frames(epoch, nil)
	assert.NilError(l.t, err)
	receive(l.t, l.from, data)
}

// receive decodes the evidence lines of length-prefixed frames in a session.
func receive(t testing.TB, s *wire.Session, data []byte) []evidence.DigestLine {
	t.Helper()
	var lines []evidence.DigestLine
	for len(data) > 0 {
		body, size := protowire.ConsumeBytes(data)
		assert.Assert(t, size > 0)
		got, err := s.Receive(epoch, body)
		assert.NilError(t, err)
		lines, data = append(lines, got.Lines...), data[size:]
	}
	return lines
}
