package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
)

// silentForwarder passes each request on, and gets no answer until the request ends.
type silentForwarder struct{ sent chan struct{} }

func (f silentForwarder) Forward(ctx context.Context, _ backend.ForwardCall) (*backend.ForwardAnswer, error) {
	close(f.sent)
	<-ctx.Done()
	return nil, ctx.Err()
}

// sendInBackground sends one request and returns a channel with its failure.
func sendInBackground(s *Server, path string) <-chan *failure.Error {
	failed := make(chan *failure.Error, 1)
	go func() {
		_, e, _ := send(s, ForwardRequest{Path: path})
		failed <- e
	}()
	return failed
}

// Guards against a stop whose time is over and that closes connections without an answer.
func TestStopAnswersWhatIsOpenAtItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, lines := loggedServer(t)
		f := silentForwarder{make(chan struct{})}
		s.o.Forwarder = f
		failed := sendInBackground(s, "/once/x")
		<-f.sent
		ctx, cancel := context.WithTimeout(context.Background(), 2*stopAnswerTime)
		defer cancel()
		assert.Assert(t, s.Drain(ctx, func() {}), "all requests are answered before the limit")
		e := <-failed
		assert.Equal(t, e.Type, failure.TypeDraining)
		assert.Equal(t, e.Ran, failure.RanUnknown)
		assert.Assert(t, e.RetryAfter > 0)
		assert.Assert(t, is.Contains(lines.String(), "event=refuse"))
	})
}

// Guards against a request that waits while its entry stops and is said to have run.
func TestStopRefusesWhatWaitsAsNotRun(t *testing.T) {
	s, _ := loggedServer(t)
	s.dispatcher.setRoutes(time.Now(), nil, nil, map[string]bool{servicePool("files"): true})
	failed := sendInBackground(s, "/once/x")
	for {
		if _, waiting := s.dispatcher.counts(); waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.EndOpen()
	e := <-failed
	assert.Equal(t, e.Type, failure.TypeDraining)
	assert.Equal(t, e.Ran, failure.RanNo)
}

// Guards against a stop that cuts answers which have begun before its limit.
func TestStopLeavesBegunAnswersOpen(t *testing.T) {
	s, _ := loggedServer(t)
	s.o.Forwarder = endlessForwarder{}
	began, ended := make(chan struct{}), make(chan struct{})
	ctx, disconnect := context.WithCancel(context.Background())
	go func() {
		defer close(ended)
		defer func() { _ = recover() }()
		w := &signallingWriter{ResponseRecorder: httptest.NewRecorder(), wrote: began}
		_ = s.Forward(ctx, w, ForwardRequest{ID: "id", Host: "h", Method: "POST", Path: "/stream/x"})
	}()
	<-began
	s.EndOpen()
	s.AwaitEnded(20 * time.Millisecond)
	select {
	case <-ended:
		t.Fatal("the answer was cut")
	default:
	}
	disconnect()
	<-ended
}
