package entry

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// A caller makes hundreds of keyed calls whose answers are megabytes. Each answer is kept for a
// resend. If their size did not count, they would use up the entry's memory.
func TestKeptAnswersOfServicesAreBounded(t *testing.T) {
	const size = 8 << 20
	r := newJobTable()
	for i := range 20 {
		j := &job{key: "w/" + strconv.Itoa(i), workspace: "w", answer: newAnswer(), service: &serviceCall{
			call: backend.ServiceCall{Body: make([]byte, 10)}, header: http.Header{}, body: make([]byte, size),
		}}
		first, e := r.begin(j, openLimits{entry: 100, workspace: 100})
		assert.Assert(t, e == nil && first == j)
		j.answer.end("")
		r.end(j)
		assert.Assert(t, j.service.call.Body == nil, "the call is kept with its answer")
	}
	_, kept := r.counts()
	assert.Assert(t, kept <= keptBytes, "%d bytes kept", kept)
	assert.Equal(t, len(r.jobs), keptBytes/size)
}

// A suspect waits for its turn in isolation, and when the turn comes the entry has lost its
// lease. The request is refused. If the turn is not passed on, every later suspect of the model
// waits in vain.
func TestIsolationTurnIsPassedOnWhenNothingIsDispatched(t *testing.T) {
	turns := 0
	g := grant{endTurn: func() { turns++ }}
	g.end()
	grant{}.end()
	assert.Equal(t, turns, 1)
}

func TestAnswerLongerThanRequestedIsStopped(t *testing.T) {
	j := &job{answer: newAnswer(), maxTokens: 2}
	for i := range 2 {
		assert.Assert(t, checkToken(backend.Token{Attempt: "a", Offset: i, Text: "x"}, "a", j) == nil)
		j.answer.append("x")
	}
	e := checkToken(backend.Token{Attempt: "a", Offset: 2, Text: "x"}, "a", j)
	assert.Assert(t, e != nil && e.Type == failure.TypeBackendFailed)
	assert.Assert(t, checkToken(backend.Token{Attempt: "a", End: true, Total: 2}, "a", j) == nil)
}

func TestEachReaderReadsAnswerFromStart(t *testing.T) {
	a := newAnswer()
	go func() {
		for _, text := range []string{"a", "b", "c"} {
			a.append(text)
			time.Sleep(time.Millisecond)
		}
		a.end("stop")
		a.append("late")
	}()
	for range 2 {
		text, p, err := a.awaitComplete(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, text, "abc")
		assert.Equal(t, p.finish, "stop")
	}
}
