package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// Guards against a log that does not say when an entry began to serve, nor with which configuration.
func TestFirstAdmissionIsLoggedOnce(t *testing.T) {
	s := unconfiguredServer(t, &scriptedForwarder{})
	lines := &lockedBuffer{}
	s.o.StateLogger = log.NewLogfmtLogger(lines)
	follower := s.o.Follower.(fixedBoard)
	s.o.Follower = fixedBoard{board: follower.board}
	s.noteServing(s.startedAt)
	assert.Equal(t, lines.String(), "", "an entry without a lease does not serve")
	s.o.Follower = follower
	s.noteServing(s.startedAt.Add(300 * time.Millisecond))
	s.noteServing(s.startedAt.Add(400 * time.Millisecond))
	assert.Assert(t, is.Contains(lines.String(), "event=serving after_ms=300 board="))
	assert.Assert(t, is.Contains(lines.String(), " config=1 has_lease=true lease_ms="))
	assert.Equal(t, strings.Count(lines.String(), "event=serving"), 1)
}

// Guards against an entry that serves without a lease and whose log does not say so.
func TestAdmissionWithoutALeaseIsNamed(t *testing.T) {
	s := unconfiguredServer(t, &scriptedForwarder{})
	lines := &lockedBuffer{}
	s.o.StateLogger = log.NewLogfmtLogger(lines)
	s.o.Follower = fixedBoard{board: s.o.Follower.Board()}
	s.o.Settings.ServeWithoutLease = true
	s.noteServing(s.startedAt)
	assert.Assert(t, is.Contains(lines.String(), " has_lease=false lease_ms=0"))
}
