package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// secondsAfterStart returns a function that maps a number of seconds to a time after the start.
func secondsAfterStart() func(int) time.Time {
	start := time.Now()
	return func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
}

func boardLimits(perSecond float64, heard time.Time) map[string]blackboard.RateLimit {
	return map[string]blackboard.RateLimit{"i": {PerSecond: perSecond, ReceivedMillis: heard.UnixMilli()}}
}

// Guards against a rate limit that ends because of an answer to a request sent before the limit
// was stated.
func TestAnswerToEarlierRequestDoesNotEndRateLimit(t *testing.T) {
	l, named, second := newRateLimits(), 1.8, secondsAfterStart()

	_, changed := l.observe(second(2), second(1), "i", &named)
	assert.Assert(t, changed)
	_, changed = l.observe(second(3), second(1), "i", &named)
	assert.Assert(t, !changed)
	_, changed = l.observe(second(4), second(2), "i", nil)
	assert.Assert(t, !changed)
	assert.Equal(t, l.count(), 1)

	_, changed = l.observe(second(6), second(5), "i", nil)
	assert.Assert(t, changed)
	assert.Assert(t, !l.isLimited("i"))
}

// Guards against entries that do not know of a limit that a backend server has stated to
// another entry.
func TestRateLimitIsTakenFromBoard(t *testing.T) {
	l, second := newRateLimits(), secondsAfterStart()

	changes := l.applyBoard(second(1), boardLimits(2, second(0)))
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, *changes[0].perSecond, 2.0)
	assert.Assert(t, l.isLimited("i"))
	assert.Equal(t, len(l.applyBoard(second(2), boardLimits(2, second(1)))), 0)
	assert.Equal(t, len(l.dueReports(second(30))), 0, "only limits received by this entry are reported")

	changes = l.applyBoard(second(31), nil)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].perSecond == nil)
	assert.Assert(t, !l.isLimited("i"))
}

// Guards against a limit that the board lacks because one report was lost, and against a report
// for each answer.
func TestRateLimitIsReportedUntilBoardShowsIt(t *testing.T) {
	l, named, second := newRateLimits(), 2.0, secondsAfterStart()

	l.observe(second(1), second(0), "i", &named)
	notes := l.dueReports(second(1))
	assert.Equal(t, len(notes), 1)
	assert.Equal(t, notes[0].Limit.PerSecond, 2.0)
	assert.Equal(t, len(l.dueReports(second(1))), 0)
	assert.Equal(t, len(l.dueReports(second(3))), 1, "the first report was lost")

	l.applyBoard(second(3), boardLimits(2, second(1)))
	assert.Equal(t, len(l.dueReports(second(5))), 0)
	near := 2.1
	l.observe(second(6), second(5), "i", &near)
	assert.Equal(t, len(l.dueReports(second(7))), 0, "nearly the same")
	l.observe(second(13), second(12), "i", &named)
	assert.Equal(t, len(l.dueReports(second(13))), 1, "the limit is confirmed")

	l.observe(second(15), second(14), "i", nil)
	notes = l.dueReports(second(15))
	assert.Equal(t, len(notes), 1)
	assert.Assert(t, notes[0].Limit == nil)
	l.applyBoard(second(16), nil)
	assert.Equal(t, len(l.dueReports(second(17))), 0)
}

// limitingClient answers calls and refuses generations, and states a rate limit in both.
type limitingClient struct {
	backend.Client
	perSecond float64
}

func (c limitingClient) Call(context.Context, string, backend.ServiceCall) (*backend.ServiceAnswer, error) {
	return &backend.ServiceAnswer{Status: http.StatusOK, Body: http.NoBody, Notice: backend.Notice{RateLimit: &c.perSecond}}, nil
}

func (c limitingClient) Generate(context.Context, string, backend.Generation) (backend.TokenStream, error) {
	return nil, &backend.CallError{Stage: backend.StageRefused, Notice: backend.Notice{RateLimit: &c.perSecond, RetryAfter: time.Second}}
}

// Guards against observing limits only in the answers to forwarded requests.
func TestRateLimitIsObservedInEachKindOfAnswer(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{})
	s.o.Client = limitingClient{perSecond: 2}
	j := &job{ctx: context.Background(), service: &serviceCall{}, answer: newAnswer()}
	began := time.Now()

	out, _ := s.call(j, grant{route: route{incarnation: "i-a"}})
	assert.Equal(t, out, outcomeComplete)
	assert.Assert(t, s.rateLimits.isLimited("i-a"))

	w := newWatchdog(j.ctx, progressTimeouts{header: time.Minute})
	defer w.stop()
	var result placement.Result
	out, _ = s.streamTokens(w, j, grant{route: route{incarnation: "i-b"}}, &result, began)
	assert.Equal(t, out, outcomeNotStarted)
	assert.Assert(t, s.dispatcher.isBackedOff(time.Now(), "i-b"))
	assert.Assert(t, s.rateLimits.isLimited("i-b"))
}

// Guards against a request that waits for a slot which becomes free only right before its
// deadline.
func TestRequestIsRefusedAtOnceIfSlotComesTooLate(t *testing.T) {
	s, limit := configuredServer(t, &scriptedForwarder{}), placement.NamedLimit(0.5)
	now := time.Now()
	for _, incarnation := range []string{"i-a", "i-b", "i-c"} {
		s.dispatcher.setRateLimit(now, incarnation, placement.CauseNamed, &limit)
	}
	for _, target := range []string{"a", "b", "c"} {
		s.dispatcher.noteIsolated(now, target)
	}
	offer := func(left time.Duration) *failure.Error {
		_, e := s.dispatcher.offer(&job{id: left.String(), model: servicePool("files"), deadline: now.Add(left)})
		return e
	}
	late := offer(2100 * time.Millisecond)
	assert.Assert(t, late != nil)
	assert.Equal(t, late.Type, failure.TypeOverloaded)
	assert.Assert(t, offer(3*time.Second) == nil)
}
