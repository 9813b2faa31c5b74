package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/requestlog"
)

// loggedServer returns an entry whose lines about requests are written to a buffer.
func loggedServer(t *testing.T, answers ...func(backend.ForwardCall) (*backend.ForwardAnswer, error)) (*Server, *lockedBuffer) {
	t.Helper()
	s := configuredServer(t, &scriptedForwarder{answers: answers})
	lines := &lockedBuffer{}
	s.requests = requestlog.New(log.NewLogfmtLogger(lines), 0)
	return s, lines
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// brokenCaller is a caller whose connection fails each write.
type brokenCaller struct{ *httptest.ResponseRecorder }

func (brokenCaller) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// endlessBody delivers an event, and then nothing until its request ends.
type endlessBody struct {
	io.Reader
	ctx context.Context
}

func (b endlessBody) Read(p []byte) (int, error) {
	if n, err := b.Reader.Read(p); err == nil {
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// endlessForwarder gives answers that never end.
type endlessForwarder struct{}

func (endlessForwarder) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	a, err := answerWith(http.StatusOK, "", false)(c)
	a.Body = io.NopCloser(endlessBody{strings.NewReader(events("1")), ctx})
	return a, err
}

// Guards against an answer that ends early and whose line looks like that of a request that was never sent.
func TestCutAnswerIsLoggedWithItsCause(t *testing.T) {
	cut := answerWith(http.StatusOK, events("1"), true)
	for _, c := range []struct {
		name, path, want string
		answers          []func(backend.ForwardCall) (*backend.ForwardAnswer, error)
		policy           admission.Policy
	}{
		{"not repeatable", "/single/x", "cause=not_repeatable", []func(backend.ForwardCall) (*backend.ForwardAnswer, error){cut}, admission.Policy{RetryRatio: 1, RetryPerSecond: 100}},
		{"attempts used", "/stream/x", "cause=attempts_used", []func(backend.ForwardCall) (*backend.ForwardAnswer, error){cut, cut}, admission.Policy{RetryRatio: 1, RetryPerSecond: 100}},
		{"retry budget", "/stream/x", "cause=retry_budget", []func(backend.ForwardCall) (*backend.ForwardAnswer, error){cut}, admission.Policy{RetryRatio: 0.001, RetryPerSecond: 0.001}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, lines := loggedServer(t, c.answers...)
			s.dispatcher.setPolicy(c.policy)
			_, _, aborted := send(s, ForwardRequest{Path: c.path})
			assert.Assert(t, aborted)
			for _, want := range []string{"event=answer_cut request=id.", c.want, "up_ms=", "lease_ms=", "arrival_config=1", "config=1"} {
				assert.Assert(t, is.Contains(lines.String(), want))
			}
			assert.Assert(t, !strings.Contains(lines.String(), "event=refuse"))
		})
	}
}

// Guards against a refusal before the first byte that is logged as a cut answer.
func TestRefusalBeforeTheAnswerIsNoCut(t *testing.T) {
	s, lines := loggedServer(t)
	_, e, _ := send(s, ForwardRequest{Path: "/stream/x"})
	assert.Assert(t, e != nil)
	assert.Assert(t, is.Contains(lines.String(), "event=refuse"))
	assert.Assert(t, !strings.Contains(lines.String(), "event=answer_cut"))
}

// Guards against an answer that its caller never gets and that leaves no line and counts as answered.
func TestAnswerThatCannotBeWrittenIsLogged(t *testing.T) {
	for name, path := range map[string]string{"stream": "/stream/x", "whole body": "/many/x"} {
		t.Run(name, func(t *testing.T) {
			s, lines := loggedServer(t, answerWith(http.StatusOK, events("1", "2"), false))
			func() {
				defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
				_ = s.Forward(context.Background(), brokenCaller{httptest.NewRecorder()}, ForwardRequest{ID: "id", Host: "h", Method: http.MethodPost, Path: path})
			}()
			assert.Assert(t, is.Contains(lines.String(), "event=answer_cut request=id."))
			assert.Assert(t, is.Contains(lines.String(), "cause=caller_write"))
		})
	}
}

// Guards against open answers that end with their process and leave no line.
func TestAnswersThatEndWithTheProcessAreLogged(t *testing.T) {
	for _, stopped := range []bool{true, false} {
		s, lines := loggedServer(t)
		s.o.Forwarder = endlessForwarder{}
		ctx, disconnect := context.WithCancel(context.Background())
		began, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(ended)
			defer func() { _ = recover() }()
			w := &signallingWriter{ResponseRecorder: httptest.NewRecorder(), wrote: began}
			_ = s.Forward(ctx, w, ForwardRequest{ID: "id", Host: "h", Method: http.MethodPost, Path: "/stream/x"})
		}()
		<-began
		if stopped {
			s.NoteStopped()
		}
		disconnect()
		s.AwaitEnded(time.Second)
		<-ended
		want := map[bool]string{true: "cause=entry_stopped", false: "cause=caller_left"}[stopped]
		assert.Assert(t, is.Contains(lines.String(), want))
	}
}

// signallingWriter closes wrote with the first write.
type signallingWriter struct {
	*httptest.ResponseRecorder
	wrote chan struct{}
	once  sync.Once
}

func (w *signallingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() { close(w.wrote) })
	return w.ResponseRecorder.Write(p)
}

// Guards against a cut at the deadline that is taken for a caller who left.
func TestAnswerCutAtItsDeadlineNamesIt(t *testing.T) {
	s, lines := loggedServer(t)
	s.o.Forwarder = endlessForwarder{}
	func() {
		defer func() { _ = recover() }()
		_ = s.Forward(context.Background(), httptest.NewRecorder(), ForwardRequest{ID: "id", Host: "h", Method: http.MethodPost, Path: "/stream/x", Timeout: 50 * time.Millisecond})
	}()
	assert.Assert(t, is.Contains(lines.String(), "cause=deadline"))
}
