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

// soundEngines answer each completion with tokens that go on as the test says, until their entry ends the call.
type soundEngines struct {
	idleClient
	runs []*tokenRun
}

// tokenRun is one run of a completion.
type tokenRun struct {
	ctx    context.Context
	call   backend.Generation
	tokens chan backend.Token
	next   int
}

func (e *soundEngines) Generate(ctx context.Context, _ string, g backend.Generation) (backend.TokenStream, error) {
	r := &tokenRun{ctx: ctx, call: g, tokens: make(chan backend.Token), next: g.Offset}
	e.runs = append(e.runs, r)
	return r, nil
}

func (e *soundEngines) Cancel(context.Context, string, string) error { return nil }

func (r *tokenRun) Next() (backend.Token, error) {
	select {
	case token := <-r.tokens:
		return token, nil
	case <-r.ctx.Done():
		return backend.Token{}, r.ctx.Err()
	}
}

func (r *tokenRun) Notice() backend.Notice { return backend.Notice{} }

func (r *tokenRun) Close() error { return nil }

// send sends the next token, or the end mark after the last one.
func (r *tokenRun) send() {
	token := backend.Token{Attempt: r.call.Attempt, Offset: r.next, Text: fmt.Sprint(r.next)}
	if r.next == r.call.MaxTokens {
		token = backend.Token{Attempt: r.call.Attempt, End: true, Total: r.next}
	}
	r.next++
	select {
	case r.tokens <- token:
	case <-r.ctx.Done():
	}
}

// completionSystem is an entry whose engines are sound, with a completion that has begun.
type completionSystem struct {
	*soundSystem
	engines *soundEngines
	j       *job
	first   *tokenRun
}

// wholeCompletion is the complete answer of a sound engine.
const wholeCompletion = "0123456789"

func beginCompletion(t *testing.T, retries float64, change func(*completionSystem)) *completionSystem {
	x := &completionSystem{soundSystem: newSoundSystem(t, retries), engines: &soundEngines{}}
	x.s.o.Client = x.engines
	x.s.o.Settings.HeaderTimeoutMillis, x.s.o.Settings.FirstTokenTimeoutMillis, x.s.o.Settings.TokenGapMillis = 2000, 10_000, 5000
	now := time.Now()
	x.j = &job{
		id: "c", workspace: "w", model: "m", prompt: "p", maxTokens: len(wholeCompletion), arrived: now, firstSent: now,
		deadline: now.Add(time.Minute), answer: newAnswer(), lines: x.s.requests.Request(),
	}
	x.j.ctx, x.j.cancel = context.WithCancelCause(context.Background())
	change(x)
	_, e := x.s.beginJob(x.j)
	assert.Assert(t, e == nil)
	go func() {
		defer x.s.work.Done()
		defer x.s.jobs.end(x.j)
		x.s.runCompletion(x.j)
	}()
	synctest.Wait()
	x.first = x.engines.runs[0]
	x.first.send()
	synctest.Wait()
	return x
}

// finish lets the last run end and returns the answer.
func (x *completionSystem) finish() (string, *failure.Error) {
	last := x.engines.runs[len(x.engines.runs)-1]
	for range len(wholeCompletion) + 1 - last.next {
		last.send()
	}
	synctest.Wait()
	text, p, err := x.j.answer.awaitComplete(context.Background())
	assert.NilError(x.t, err)
	x.j.cancel(nil)
	time.Sleep(2 * crashWait)
	return text, p.failed
}

// Guards against a completion that its entry cuts because a sound engine is silent for a while and no other attempt can be made.
func TestSilentEngineCutsNoCompletion(t *testing.T) {
	for name, c := range map[string]struct {
		retries float64
		change  func(*completionSystem)
	}{
		"no retry left":  {0, func(*completionSystem) {}},
		"may run once":   {5000, func(x *completionSystem) { x.j.nonIdempotent = true }},
		"last attempt":   {5000, func(x *completionSystem) { x.j.maxAttempts = 1 }},
		"no other group": {5000, func(x *completionSystem) { x.moveGroups(allGroups[1:], blackboard.Broken); x.apply() }},
		"no lease":       {5000, func(x *completionSystem) { time.AfterFunc(time.Second, x.loseLease) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := beginCompletion(t, c.retries, c.change)
				time.Sleep(3 * 5 * time.Second)
				synctest.Wait()
				assert.NilError(t, x.first.ctx.Err(), "the attempt ended for silence")
				text, e := x.finish()
				assert.Assert(t, e == nil, "%v", e)
				assert.Equal(t, text, wholeCompletion)
				assert.Equal(t, len(x.engines.runs), 1)
			})
		})
	}
}

// Guards against a completion that waits for a silent engine although another one and retries are at hand.
func TestCompletionOfASilentEngineGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := beginCompletion(t, 5000, func(*completionSystem) {})
		time.Sleep(5*time.Second + 2*readyAnswerTime)
		synctest.Wait()
		assert.ErrorIs(t, x.first.ctx.Err(), context.Canceled)
		assert.Equal(t, len(x.engines.runs), 2)
		text, e := x.finish()
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, text, wholeCompletion)
	})
}

// Guards against a completion that waits for a silent engine although the one that was silent before may go on.
func TestCompletionReturnsToAnEngineThatHasFailedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := beginCompletion(t, 5000, func(x *completionSystem) { x.moveGroups(allGroups[2:], blackboard.Broken); x.apply() })
		for range 2 {
			time.Sleep(5*time.Second + 2*readyAnswerTime)
			synctest.Wait()
			x.engines.runs[len(x.engines.runs)-1].send()
			synctest.Wait()
		}
		assert.Equal(t, len(x.engines.runs), 3)
		text, e := x.finish()
		assert.Assert(t, e == nil, "%v", e)
		assert.Equal(t, text, wholeCompletion)
	})
}
