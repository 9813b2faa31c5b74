package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
)

// Guards against answers that are cut, too long, or not the same as what arrived, at each length near a bound.
func TestAnswerIsReadAsItArrived(t *testing.T) {
	m := newMemoryBudget(64 << 20)
	for _, length := range []int{0, 1, answerChunk - 1, answerChunk, answerChunk + 1, largeAnswer, largeAnswer + 1, maxServiceAnswer - 1, maxServiceAnswer} {
		text := strings.Repeat("0123456789abcdef", length/16+1)[:length]
		for _, announced := range []int64{-1, int64(length)} {
			b, err := readAnswer(t.Context(), m, strings.NewReader(text), announced, maxServiceAnswer)
			assert.NilError(t, err)
			assert.Assert(t, string(b.bytes()) == text, "%d bytes", length)
			assert.Equal(t, m.reserved(), int64(length))
			b.release()
			assert.Equal(t, m.reserved(), int64(0))
		}
		_, err := readAnswer(t.Context(), m, cutAfter{strings.NewReader(text)}, -1, maxServiceAnswer)
		assert.ErrorIs(t, err, backend.ErrCut)
		assert.Equal(t, m.reserved(), int64(0))
	}
	_, err := readAnswer(t.Context(), m, strings.NewReader(strings.Repeat("a", maxServiceAnswer+1)), -1, maxServiceAnswer)
	assert.ErrorIs(t, err, errAnswerTooLong)
	assert.Equal(t, m.reserved(), int64(0))
}

// Guards against memory that is spent on an answer whose announced length is over the limit.
func TestAnswerOfAnnouncedLengthOverTheLimitIsNotRead(t *testing.T) {
	body := &repeatedBody{text: "a", failsAfter: 2 * maxServiceAnswer}
	_, err := readAnswer(t.Context(), newMemoryBudget(64<<20), body, maxServiceAnswer+1, maxServiceAnswer)
	assert.ErrorIs(t, err, errAnnouncedTooLong)
	assert.Equal(t, body.read, 0)
}

// Guards against an answer to HEAD that is refused for the length of the answer to GET.
func TestAnswerToHeadHasNoBody(t *testing.T) {
	a := endlessAnswer("a", 2*maxServiceAnswer)
	a.Body = http.NoBody
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
		func(backend.ForwardCall) (*backend.ForwardAnswer, error) { return a, nil },
	}}
	w := httptest.NewRecorder()
	e := configuredServer(t, f).Forward(t.Context(), w, ForwardRequest{ID: "id", Host: "h", Method: http.MethodHead, Path: "/many/x"})
	assert.Assert(t, e == nil)
	assert.Equal(t, w.Code, http.StatusOK)
}

// slowBody sends a piece, waits until it may go on, and is endless then.
type slowBody struct {
	goesOn <-chan struct{}
	sent   int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.sent >= 2*largeAnswer {
		<-b.goesOn
	}
	b.sent += len(p)
	return len(p), nil
}

func (b *slowBody) Close() error { return nil }

// Guards against large answers that take the whole memory together, so that none ends and small answers wait with them.
func TestLargeAnswersLeaveMemoryToSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, large = 64 << 20, 40
		m, goesOn := newMemoryBudget(limit), make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var wait sync.WaitGroup
		tooLong := make(chan error, large)
		for range large {
			wait.Go(func() {
				_, err := readAnswer(ctx, m, &slowBody{goesOn: goesOn}, -1, maxServiceAnswer)
				tooLong <- err
			})
		}
		synctest.Wait()
		assert.Assert(t, m.reserved() <= limit)
		b, err := readAnswer(ctx, m, strings.NewReader("small"), -1, maxServiceAnswer)
		assert.NilError(t, err)
		b.release()
		close(goesOn)
		wait.Wait()
		for range large {
			assert.ErrorIs(t, <-tooLong, errAnswerTooLong)
		}
		assert.Equal(t, m.reserved(), int64(0))
	})
}

// Guards against bytes of a failed attempt that count towards the memory budget until the request has ended.
func TestFailedAttemptReleasesItsMemory(t *testing.T) {
	f := &scriptedForwarder{}
	s := configuredServer(t, f)
	s.memory = newMemoryBudget(64 << 20)
	f.answers = append(f.answers, answerFrom(http.StatusOK, &repeatedBody{text: "a", failsAfter: 2 * maxServiceAnswer}),
		func(c backend.ForwardCall) (*backend.ForwardAnswer, error) {
			assert.Equal(t, s.memory.reserved(), int64(0))
			return answerWith(200, "whole", false)(c)
		})
	w, e, _ := send(s, ForwardRequest{Path: "/many/x"})
	assert.Assert(t, e == nil)
	assert.Equal(t, w.Body.String(), "whole")
	assert.Equal(t, s.memory.reserved(), int64(0))
}
