package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// rejecting returns an answer that rejects a request and asks for a back-off.
func rejecting(retryAfter time.Duration) func(backend.ForwardCall) (*backend.ForwardAnswer, error) {
	return func(backend.ForwardCall) (*backend.ForwardAnswer, error) {
		return &backend.ForwardAnswer{
			Status: http.StatusServiceUnavailable, NotRun: true, Body: io.NopCloser(strings.NewReader("")),
			Notice: backend.Notice{RetryAfter: retryAfter},
		}, nil
	}
}

// Guards against a rejected request that is tried again on the backend server that asked for a
// back-off, and against later requests that go there.
func TestBackoffOfOneInstanceIsObeyed(t *testing.T) {
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){rejecting(time.Minute)}}
	for range 20 {
		f.answers = append(f.answers, answerWith(200, "x", false))
	}
	s := configuredServer(t, f)
	for range 20 {
		w, e, _ := send(s, ForwardRequest{Path: "/many/x"})
		assert.Assert(t, e == nil)
		assert.Equal(t, w.Code, http.StatusOK)
	}
	for _, c := range f.calls[1:] {
		assert.Assert(t, c.Address != f.calls[0].Address)
	}
}

// Guards against a request that is sent, or held to its deadline, after each instance of its
// service has asked for a back-off, and against a caller that is not told when to come back.
func TestRequestIsRefusedAtOnceIfAllInstancesAreInBackoff(t *testing.T) {
	const wait = 4 * time.Second
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){rejecting(wait)}}
	s := configuredServer(t, f)
	began := time.Now()
	s.dispatcher.recordBackoff(began, "i-a", began.Add(2*wait))
	s.dispatcher.recordBackoff(began, "i-b", began.Add(2*wait))
	checkRefused := func() {
		t.Helper()
		_, e, _ := send(s, ForwardRequest{Path: "/many/x"})
		assert.Equal(t, len(f.calls), 1)
		assert.Equal(t, e.Type, failure.TypeOverloaded)
		assert.Equal(t, e.Ran, failure.RanNo)
		assert.Assert(t, e.RetryAfter > wait-time.Second && e.RetryAfter <= wait+wait/4, "%s", e.RetryAfter)
	}
	checkRefused()
	checkRefused()
	assert.Assert(t, time.Since(began) < time.Second)
}

// Guards against a request that is refused although an instance of its service is free again
// before its deadline.
func TestRequestWaitsForAShortBackoff(t *testing.T) {
	const wait = 300 * time.Millisecond
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){answerWith(200, "x", false)}}
	s := configuredServer(t, f)
	began := time.Now()
	for _, incarnation := range []string{"i-a", "i-b", "i-c"} {
		s.dispatcher.recordBackoff(began, incarnation, began.Add(wait))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	_, e, _ := send(s, ForwardRequest{Path: "/many/x"})
	assert.Assert(t, e == nil)
	assert.Assert(t, time.Since(began) >= wait)
}

// Guards against a notice that is obeyed for one kind of answer only.
func TestBackoffIsObservedInEachKindOfAnswer(t *testing.T) {
	notice := backend.Notice{RetryAfter: time.Minute}
	s := configuredServer(t, &scriptedForwarder{})
	s.observeForwarded(route{incarnation: "forwarded"}, &backend.ForwardAnswer{Status: 503, Notice: notice}, time.Now())
	s.observeForwarded(route{incarnation: "late"}, &backend.ForwardAnswer{Status: 503, IsOtherRequest: true, Notice: notice}, time.Now())
	s.observeRefusal(route{incarnation: "refused"}, &backend.CallError{Stage: backend.StageRefused, Notice: notice}, time.Now())
	s.observeRefusal(route{incarnation: "failed"}, &backend.CallError{Stage: backend.StageUnknown, Status: 503, Notice: notice}, time.Now())
	for _, incarnation := range []string{"forwarded", "late", "refused", "failed"} {
		assert.Assert(t, s.dispatcher.isBackedOff(time.Now(), incarnation), incarnation)
	}
	s.observeForwarded(route{incarnation: "replaced"}, &backend.ForwardAnswer{Status: 421, OtherServer: true, Notice: notice}, time.Now())
	assert.Assert(t, !s.dispatcher.isBackedOff(time.Now(), "replaced"), "another backend server answered at the address")
}

// Guards against a request that is sent to a backend server which asked for a back-off between the
// choice and the send, and against the loss of an attempt by it.
func TestAttemptIsWithheldAfterALateBackoff(t *testing.T) {
	withheld := func(c backend.ForwardCall) (*backend.ForwardAnswer, error) {
		assert.Assert(t, c.Permit())
		return nil, &backend.CallError{Address: c.Address, Stage: backend.StageNotSent, Cause: backend.ErrWithheld}
	}
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){withheld, withheld, answerWith(200, "x", false)}}
	s := configuredServer(t, f)
	w, e, _ := send(s, ForwardRequest{Path: "/once/x"})
	assert.Assert(t, e == nil, "max_attempts is 2, and nothing was sent twice")
	assert.Equal(t, w.Body.String(), "x")

	permit := s.permit(&job{}, route{incarnation: "i-a"})
	s.dispatcher.recordBackoff(time.Now(), "i-a", time.Now().Add(time.Minute))
	assert.Assert(t, !permit())
}

// Guards against a suspect request that runs alone on a target in its back-off.
func TestSuspectDoesNotRunOnATargetInBackoff(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{})
	pool, now := servicePool("files"), time.Now()
	r, ok := s.dispatcher.leastBusy(pool, nil)
	assert.Assert(t, ok)
	queue := &suspectQueue{target: &r, reuseUntil: now.Add(time.Minute)}
	s.dispatcher.recordBackoff(now, r.incarnation, now.Add(time.Minute))
	assert.Assert(t, !s.canReuseTarget(queue))
	other, ok := s.dispatcher.leastBusy(pool, nil)
	assert.Assert(t, ok)
	assert.Assert(t, other.target != r.target)
}
