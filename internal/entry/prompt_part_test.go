package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

// promptJob returns a job of a route whose request is unlike all others and has the given shared parts.
func promptJob(id string, parts ...string) *job {
	j := routeJob(id, "body of "+id)
	j.sharedParts = promptParts(parts)
	return j
}

// answerPrompt sends a job and takes in its answer after a while.
func answerPrompt(s *Server, j *job, took time.Duration) {
	j.sendRecord = s.newSendRecord(j)
	time.Sleep(took)
	j.provesParts = true
	s.noteAnswered(j)
}

// crashPrompts lets n servers crash one after the other under requests with the given parts, 100 ms each.
func crashPrompts(s *Server, n int, parts ...string) {
	for i := range n {
		id := fmt.Sprint(time.Now().UnixNano(), i)
		epoch := uint64(time.Now().UnixNano())
		sent := time.Now()
		time.Sleep(100 * time.Millisecond)
		<-s.observeCut(promptJob(id, parts...), groupRoute(epoch), false, sent).done
		time.Sleep(time.Millisecond)
	}
}

// settle lets the writes of the entry reach the board and back.
func settle(s *Server, control *boardControl) {
	time.Sleep(200 * time.Millisecond)
	s.ApplyBoard(control.Board())
}

// Guards against a part that crashes servers under ever new requests, against the blame of the part that all
// requests begin with, and against a mended part that stays refused.
func TestRequestWithACrashingPartIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		time.Sleep(answerHistory)
		answerPrompt(s, promptJob("early", "first"), time.Second)
		crashPrompts(s, 3, "first", "bad")
		settle(s, control)

		e := s.checkCrashes(promptJob("next", "first", "bad"))
		assert.Assert(t, e != nil)
		assert.Equal(t, e.Type, failure.TypeRequestCrashesBackend)
		assert.Equal(t, e.Detail, "prompt_part bad")
		assert.Assert(t, e.RetryAfter > 30*time.Second, "%v", e.RetryAfter)
		assert.Assert(t, s.checkCrashes(promptJob("sound", "first")) == nil)
		assert.Assert(t, !s.permit(promptJob("queued", "bad"), groupRoute(1))(), "one that waited for its connection is not sent")

		time.Sleep(e.RetryAfter)
		granted := promptJob("granted", "first", "bad")
		assert.Assert(t, s.mayAttempt(granted) == nil, "one may run once more")
		assert.Assert(t, s.mayAttempt(promptJob("beside", "bad")) != nil, "and no other one")
		answerPrompt(s, granted, time.Second)
		settle(s, control)
		assert.Assert(t, s.mayAttempt(promptJob("mended", "bad")) == nil)
	})
}

// Guards against a part whose crashes are excused for good as it was answered before, and against its blame for as
// long as answers may still come.
func TestPartThatWasAnsweredIsSentForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		time.Sleep(answerHistory)
		answerPrompt(s, promptJob("early", "turned"), time.Second)
		answerPrompt(s, promptJob("other", "other"), time.Second)
		crashPrompts(s, 1, "other")
		crashPrompts(s, 5, "turned")
		settle(s, control)
		assert.Assert(t, s.comparesParts.Load())
		answerPrompt(s, promptJob("sound", "other"), 500*time.Millisecond)
		settle(s, control)
		assert.Assert(t, s.checkCrashes(promptJob("1", "turned")) == nil)
		time.Sleep(partGraceLength)
		trial := promptJob("2", "turned")
		assert.Assert(t, s.checkCrashes(trial) == nil)
		assert.Assert(t, trial.retryGranted != "", "one is tried, as an answer would clear the part")
		for range 10 {
			time.Sleep(retryAskInterval)
			assert.Assert(t, s.checkCrashes(promptJob("3", "turned")) != nil, "and no other one")
		}
		assert.Assert(t, s.checkCrashes(promptJob("4", "other")) == nil)

		restarted := deafServer(control.Board())
		restarted.ApplyBoard(control.Board())
		assert.Assert(t, restarted.checkCrashes(promptJob("4", "turned")) != nil, "an entry that has just started sends it no more")
	})
}

// Guards against a part that an entry which has just started goes on sending, as the requests that it answers were in
// no crash. An answer of another pool tells nothing.
func TestYoungEntryComparesAPartWithRequestsThatWereInNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		crashPrompts(s, 5, "bad")
		settle(s, control)
		elsewhere := promptJob("elsewhere", "other")
		elsewhere.model = "narrow"
		answerPrompt(s, elsewhere, 10*time.Millisecond)
		assert.Assert(t, s.checkCrashes(promptJob("1", "bad")) == nil)
		answerPrompt(s, promptJob("sound", "other"), 10*time.Millisecond)
		assert.Assert(t, s.checkCrashes(promptJob("2", "bad")) != nil)
		assert.Assert(t, s.checkCrashes(promptJob("3", "other")) == nil)
		settle(s, control)
	})
}

// Guards against an entry that reaches no control process and refuses a part although it has answered requests with it
// since.
func TestEntryWithoutALeaderClearsAPartByItsOwnAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		control.isUnreachable.Store(true)
		time.Sleep(answerHistory)
		crashPrompts(s, 3, "first")
		time.Sleep(100 * time.Millisecond)
		answerPrompt(s, promptJob("sound", "first"), 100*time.Millisecond)
		for range 3 {
			time.Sleep(time.Second)
			crashPrompts(s, 1, "first")
		}
		assert.Assert(t, s.checkCrashes(promptJob("next", "first")) == nil)
		time.Sleep(partGraceLength)
		assert.Assert(t, s.checkCrashes(promptJob("later", "first")) == nil)
		control.isUnreachable.Store(false)
		time.Sleep(time.Minute)
	})
}

// Guards against a request with two causes that is run once more: its answer or its crash would tell of neither.
func TestRequestWithTwoCausesIsNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		time.Sleep(answerHistory)
		crashPrompts(s, 5, "one")
		crashPrompts(s, 5, "two")
		settle(s, control)
		time.Sleep(time.Hour)
		assert.Assert(t, s.checkCrashes(promptJob("both", "one", "two")) != nil)
		assert.Assert(t, s.checkCrashes(promptJob("either", "two")) == nil)
	})
}

// Guards against answers that clear a part although they don't show that its server lives: a failure, and one that
// ends with its connection, as the answer of a crashed server does.
func TestOnlyAnAnswerWithAnEndClearsAPart(t *testing.T) {
	assert.Assert(t, provesAnswer(&backend.ForwardAnswer{Status: 200}))
	assert.Assert(t, !provesAnswer(&backend.ForwardAnswer{Status: 400}))
	assert.Assert(t, !provesAnswer(&backend.ForwardAnswer{Status: 200, EndsWithConnection: true}))
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		time.Sleep(answerHistory)
		crashPrompts(s, 3, "bad")
		j := promptJob("unproven", "bad")
		j.sendRecord = s.newSendRecord(j)
		s.noteAnswered(j)
		settle(s, control)
		assert.Assert(t, s.checkCrashes(promptJob("next", "bad")) != nil)
	})
}

// Guards against a request that waits in the queue until its deadline although a part of its prompt has come to be
// refused.
func TestWaitingRequestWithACrashingPartIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, control, _ := crashServer(backend.NotListening)
		time.Sleep(answerHistory)
		j := promptJob("waiting", "bad")
		j.model, j.deadline, j.answer, j.lines = "narrow", time.Now().Add(time.Minute), newAnswer(), s.requests.Request()
		j.ctx, j.cancel = context.WithCancelCause(context.Background())
		refused := make(chan *failure.Error, 1)
		go func() {
			_, e := s.admitUnlessRefused(j)
			refused <- e
		}()
		crashPrompts(s, 3, "bad")
		settle(s, control)
		synctest.Wait()
		select {
		case e := <-refused:
			assert.Equal(t, e.Type, failure.TypeRequestCrashesBackend)
			assert.Equal(t, e.Ran, failure.RanNo)
		default:
			t.Fatal("it still waits")
		}
		assert.Equal(t, len(s.waitingParts.jobs), 0)
	})
}

// Guards against a thousand entries that all write the answers to requests with one popular part.
func TestAnswersWithAPopularPartAreWrittenByFewEntries(t *testing.T) {
	s, control, _ := crashServer(backend.NotListening)
	board := *control.Board()
	board.Entries = make(map[string]blackboard.Entry)
	for n := range 1000 {
		board.Entries[fmt.Sprint(n)] = blackboard.Entry{}
	}
	control.board.Store(&board)
	sampled := 0
	for range 10000 {
		if s.isAnswerSampled() {
			sampled++
		}
	}
	assert.Assert(t, sampled > 100 && sampled < 1000, "%d of 10000", sampled)
}
