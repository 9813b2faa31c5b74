package entry

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// answerFrom answers with a status and a body.
func answerFrom(status int, body io.ReadCloser) func(backend.ForwardCall) (*backend.ForwardAnswer, error) {
	return func(backend.ForwardCall) (*backend.ForwardAnswer, error) {
		return &backend.ForwardAnswer{Status: status, Header: http.Header{}, Body: body, Length: -1, Proven: true}, nil
	}
}

// silentBody sends nothing until it is closed.
type silentBody struct {
	closed chan struct{}
	once   sync.Once
}

func newSilentBody() *silentBody { return &silentBody{closed: make(chan struct{})} }

func (b *silentBody) Read([]byte) (int, error) {
	<-b.closed
	return 0, io.ErrClosedPipe
}

func (b *silentBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// Guards against a request that waits to its deadline for another server, although the only one has answered beyond a limit.
func TestUnreadableAnswerOfTheOnlyServerIsReportedAtOnce(t *testing.T) {
	bodies := map[string]func() *backend.ForwardAnswer{
		"success":   func() *backend.ForwardAnswer { return endlessAnswer("a", -1) },
		"announced": func() *backend.ForwardAnswer { return endlessAnswer("a", maxServiceAnswer+1) },
		"failure": func() *backend.ForwardAnswer {
			a := endlessAnswer("a", -1)
			a.Status = http.StatusInternalServerError
			return a
		},
	}
	for name, answer := range bodies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &scriptedForwarder{}
				for range 3 {
					f.answers = append(f.answers, func(backend.ForwardCall) (*backend.ForwardAnswer, error) { return answer(), nil })
				}
				s := configuredServer(t, f)
				s.dispatcher.leaveOnly("a")
				began := time.Now()
				_, e, _ := send(s, ForwardRequest{Path: "/many/x"})
				assert.Equal(t, e.Type, failure.TypeBackendFailed)
				assert.Equal(t, e.Ran, failure.RanUnknown)
				assert.Equal(t, len(f.calls), 1)
				assert.Equal(t, time.Since(began), time.Duration(0))
				time.Sleep(2 * crashWait)
			})
		})
	}
}

// endlessAnswer returns a proven answer without end that announces a length, or none if it is -1.
func endlessAnswer(text string, length int64) *backend.ForwardAnswer {
	body := &repeatedBody{text: text, failsAfter: 4 * maxServiceAnswer}
	return &backend.ForwardAnswer{Status: http.StatusOK, Header: http.Header{}, Body: body, Length: length, Proven: true}
}

// leaveOnly removes all targets but one, which takes one request at a time.
func (d *dispatcher) leaveOnly(address string) {
	routes, targets := make(map[string]route), []placement.Target{}
	for id, r := range d.routes {
		if r.address == address {
			routes[id] = r
			targets = append(targets, placement.Target{ID: id, Server: r.incarnation, Model: r.pool, Plain: true, Capacity: 1})
		}
	}
	d.setRoutes(time.Now(), routes, targets, map[string]bool{})
}

// Guards against a failure's body without end that takes the caller's time and the entry's memory.
func TestFailuresBodyIsBounded(t *testing.T) {
	body := &repeatedBody{text: "a", failsAfter: maxServiceAnswer}
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
		answerFrom(500, body), answerWith(200, "whole", false),
	}}
	w, e, _ := send(configuredServer(t, f), ForwardRequest{Path: "/many/x"})
	assert.Assert(t, e == nil)
	assert.Equal(t, w.Body.String(), "whole")
	assert.Assert(t, body.read <= 2*maxFailureAnswer, "%d bytes were read", body.read)
}

// Guards against a request that is held to its deadline by the body of a failure.
func TestFailuresSlowBodyIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
			answerFrom(500, newSilentBody()), answerWith(200, "whole", false),
		}}
		began := time.Now()
		w, e, _ := send(configuredServer(t, f), ForwardRequest{Path: "/many/x"})
		assert.Assert(t, e == nil)
		assert.Equal(t, w.Body.String(), "whole")
		assert.Equal(t, time.Since(began), failureAnswerTime)
	})
}

// Guards against a server's own failure that is dropped although it is within the bound.
func TestFailureWithinTheBoundIsPassedOn(t *testing.T) {
	text := strings.Repeat("a", maxFailureAnswer)
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
		answerWith(500, text, false), answerWith(500, text, false),
	}}
	w, e, _ := send(configuredServer(t, f), ForwardRequest{Path: "/many/x"})
	assert.Assert(t, e == nil)
	assert.Equal(t, w.Code, 500)
	assert.Equal(t, w.Body.String(), text)
}

// Guards against a cut or oversized failure that reaches the caller as the server's own answer.
func TestFailureBeyondTheBoundIsNotPassedOn(t *testing.T) {
	long := strings.Repeat("a", maxFailureAnswer+1)
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
		answerWith(500, long, false), answerWith(500, long, false),
	}}
	w, e, _ := send(configuredServer(t, f), ForwardRequest{Path: "/many/x"})
	assert.Equal(t, e.Type, failure.TypeBackendFailed)
	assert.Equal(t, e.Ran, failure.RanUnknown)
	assert.Equal(t, w.Body.Len(), 0)
}
