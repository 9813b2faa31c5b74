package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// changingBoard is a follower whose board changes.
type changingBoard struct {
	board atomic.Pointer[blackboard.Board]
}

func (f *changingBoard) Board() *blackboard.Board      { return f.board.Load() }
func (f *changingBoard) LeaseRemaining() time.Duration { return time.Minute }
func (f *changingBoard) LeaseLength() time.Duration    { return time.Second }

func (f *changingBoard) EvacuationStart(string) clock.Boot { return 0 }

// unreachableControl is a committer that reaches no control process.
type unreachableControl struct{}

func (unreachableControl) Commit(context.Context, *noderpc.CommitRequest) ([]byte, error) {
	return nil, failure.New(failure.TypeUnavailable, "no control process answers")
}

// A request has crashed its second backend server at another entry, which refuses it. The
// caller sends it here before this entry's board shows the crash, so here it is a suspect that
// waits for a turn in isolation. By the time it gets a turn, or gives up waiting, the board
// shows the crash. The request must be refused then; sent on, it crashed a third backend
// server.
func TestRequestWithCrashesAttributedWhileItWaitsIsNotSent(t *testing.T) {
	follower := &changingBoard{}
	before := blackboard.New()
	before.Suspects["body"] = blackboard.Suspect{Fingerprint: "body", Crashes: 1, Runs: []blackboard.CrashedRun{{Incarnation: "a"}}}
	follower.board.Store(before)
	s := deafServer(before)
	s.o.Settings.Deaf = false
	s.o.Follower, s.o.Control = follower, unreachableControl{}
	after := blackboard.New()
	after.Suspects["body"] = blackboard.Suspect{Fingerprint: "body", Crashes: 2, Alone: 1, Attributed: true, Runs: []blackboard.CrashedRun{{Incarnation: "a"}, {Incarnation: "b"}}}
	assert.Assert(t, after.Suspects["body"].IsAttributed())

	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(300*time.Millisecond))
	defer cancel()
	j := &job{id: "j", model: "m", fingerprint: "body", ctx: ctx, deadline: time.Now().Add(300 * time.Millisecond)}
	time.AfterFunc(50*time.Millisecond, func() { follower.board.Store(after) })
	sent := 0
	e := s.runAttempts(j, grant{attempt: "j.1"}, func(*job, grant) (outcome, *failure.Error) {
		sent++
		return outcomeComplete, nil
	})
	assert.Equal(t, sent, 0)
	assert.Assert(t, e != nil)
	assert.Equal(t, e.Type, failure.TypeRequestCrashesBackend)
	assert.Equal(t, e.Ran, failure.RanNo)
}
