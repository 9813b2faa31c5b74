package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fullAnswer is an answer whose caller reads nothing yet, so that the entry's buffer for it is full.
type fullAnswer struct {
	caller *slowCaller
	run    *soundRun
	sent   string
	done   chan struct{}
}

// beginFull begins an answer to a caller that reads nothing yet, and sends more of it than the entry may hold.
func (x *soundSystem) beginFull(held int) *fullAnswer {
	a := &fullAnswer{caller: newSlowCaller(), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		defer new(soundCaller).noteAbort()
		_ = x.s.Forward(context.Background(), a.caller, ForwardRequest{ID: "slow", Host: "h", Method: http.MethodPost, Path: "/single/x", Model: "m"})
	}()
	synctest.Wait()
	a.run = x.servers.last()
	a.run.isOver = true
	const eventBytes = 1000
	for id := 1; len(a.sent) < held+3*eventBytes; id++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", eventBytes))
		a.sent += text
		go a.run.sendText(text)
		synctest.Wait()
	}
	return a
}

// finish lets the caller read and the answer end, and checks that the caller has all of it.
func (a *fullAnswer) finish(t *testing.T) {
	t.Helper()
	close(a.caller.reads)
	synctest.Wait()
	close(a.run.in)
	<-a.done
	assert.Check(t, a.caller.got.String() == a.sent, "the caller got %d of %d bytes", a.caller.got.Len(), len(a.sent))
}

// Guards against a sound answer that is cut because its caller reads nothing for a while and its buffer is full.
func TestFullBufferEndsNoSoundAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		a := x.beginFull(streamBufferBytes)
		time.Sleep(1350 * time.Millisecond)
		a.finish(t)
		x.finish()
	})
}

// Guards against a sound answer that is cut because its caller reads nothing for a while and the entry's memory is used up.
func TestUsedUpMemoryEndsNoSoundAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		x.s.memory = newMemoryBudget(4 << 10)
		a := x.beginFull(4 << 10)
		callers := x.beginMany("single", 4)
		x.passWithEvents(x.servers.open(), 1350*time.Millisecond)
		a.finish(t)
		x.finish(callers...)
	})
}

// Guards against a sound group that is given up and reported as stalled because a caller reads nothing for a while.
func TestSlowCallerDoesNotMakeItsGroupLookSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 0)
		reports := make(stallReports, 16)
		x.s.o.StallReporter = reports
		a := x.beginFull(streamBufferBytes)
		x.pass(1100 * time.Millisecond)
		a.finish(t)
		x.finish()
		assert.Equal(t, len(reports), 0, "reports of a stalled group")
	})
}
