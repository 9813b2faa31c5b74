package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/metrics"
)

// countCuts makes the entry count what it cuts. The returned function returns the page of its metrics.
func countCuts(t *testing.T, s *Server) (page func() string) {
	t.Helper()
	m, err := metrics.New()
	assert.NilError(t, err)
	s.o.Metrics = m.Entry()
	return func() string {
		assert.NilError(t, m.Close())
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
		return recorder.Body.String()
	}
}

// checkCut checks that one answer was cut, at this level and counted for this cause alone.
func checkCut(t *testing.T, lines, page, level, cause string) {
	t.Helper()
	assert.Equal(t, strings.Count(lines, "event=answer_cut"), 1, lines)
	assert.Assert(t, is.Contains(lines, "level="+level+" event=answer_cut"))
	assert.Assert(t, is.Contains(page, fmt.Sprintf("citronstep_answers_cut_total{cause=%q} 1\n", cause)))
	assert.Equal(t, strings.Count(page, "citronstep_answers_cut_total{"), 1)
}

// Guards against a cut of an answer that may have been sound and that a reader of warnings does not see.
func TestCutOfAnAnswerThatMayBeSoundIsAWarning(t *testing.T) {
	cut := answerWith(http.StatusOK, events("1"), true)
	once, twice := []func(backend.ForwardCall) (*backend.ForwardAnswer, error){cut}, []func(backend.ForwardCall) (*backend.ForwardAnswer, error){cut, cut}
	rich, poor := admission.Policy{RetryRatio: 1, RetryPerSecond: 100}, admission.Policy{RetryRatio: 0.001, RetryPerSecond: 0.001}
	for _, c := range []struct {
		cause, path string
		answers     []func(backend.ForwardCall) (*backend.ForwardAnswer, error)
		policy      admission.Policy
	}{
		{"not_repeatable", "/single/x", once, rich},
		{"attempts_used", "/stream/x", twice, rich},
		{"retry_budget", "/stream/x", once, poor},
	} {
		t.Run(c.cause, func(t *testing.T) {
			s, lines := loggedServer(t, c.answers...)
			s.dispatcher.setPolicy(c.policy)
			page := countCuts(t, s)
			_, _, aborted := send(s, ForwardRequest{Path: c.path})
			assert.Assert(t, aborted)
			checkCut(t, lines.String(), page(), "warn", c.cause)
		})
	}
}

// Guards against answers that their callers or their deadlines ended, and that hide the others among warnings.
func TestCutByTheCallerOrTheDeadlineIsNoWarning(t *testing.T) {
	for _, c := range []struct {
		cause string
		cut   func(s *Server)
	}{
		{"deadline", func(s *Server) { forwardStream(context.Background(), s, httptest.NewRecorder(), 50*time.Millisecond) }},
		{"caller_write", func(s *Server) {
			s.o.Forwarder = twoEvents()
			forwardStream(context.Background(), s, brokenCaller{httptest.NewRecorder()}, time.Second)
		}},
		{"caller_left", func(s *Server) {
			ctx, leave := context.WithCancel(context.Background())
			forwardStream(ctx, s, leavingCaller{httptest.NewRecorder(), leave}, time.Second)
		}},
	} {
		t.Run(c.cause, func(t *testing.T) {
			s, lines := loggedServer(t)
			s.o.Forwarder = endlessForwarder{}
			page := countCuts(t, s)
			c.cut(s)
			checkCut(t, lines.String(), page(), "info", c.cause)
		})
	}
}

// Guards against an answer that this process ended as it stopped and that counts as one whose caller was lost.
func TestWriteThatFailsAsTheEntryStopsNamesTheStop(t *testing.T) {
	s, lines := loggedServer(t)
	s.o.Forwarder = twoEvents()
	page := countCuts(t, s)
	s.NoteStopped()
	forwardStream(context.Background(), s, brokenCaller{httptest.NewRecorder()}, time.Second)
	checkCut(t, lines.String(), page(), "warn", "entry_stopped")
}

// Guards against a cause that is added and whose level or counter is forgotten.
func TestEachCauseHasItsLevelAndCounter(t *testing.T) {
	for cause, level := range map[cutCause]string{
		cutCallerLeft: "info", cutCallerWrite: "info", cutDeadline: "info", cutEntryStopped: "warn", cutNotRepeatable: "warn",
		cutAttemptsUsed: "warn", cutRetryBudget: "warn", cutNoBackendServer: "warn", cutLeaseLost: "warn", cutCrashes: "warn", cutOther: "warn",
	} {
		s, lines := loggedServer(t)
		page := countCuts(t, s)
		s.logCut(&job{arrived: time.Now(), deadline: time.Now()}, cause, failure.New(failure.TypeOutcomeUnknown, "cut"))
		checkCut(t, lines.String(), page(), level, string(cause))
	}
}

// twoEvents gives an answer of two events.
func twoEvents() backend.Forwarder {
	return &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){answerWith(http.StatusOK, events("1", "2"), false)}}
}

// leavingCaller leaves with the first part of its answer.
type leavingCaller struct {
	*httptest.ResponseRecorder
	leave func()
}

func (c leavingCaller) Write(p []byte) (int, error) {
	c.leave()
	return c.ResponseRecorder.Write(p)
}

// forwardStream sends a request for a stream and ignores how it ends.
func forwardStream(ctx context.Context, s *Server, w http.ResponseWriter, timeout time.Duration) {
	defer func() { _ = recover() }()
	_ = s.Forward(ctx, w, ForwardRequest{ID: "id", Host: "h", Method: http.MethodPost, Path: "/stream/x", Timeout: timeout})
}
