package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
)

// slowCaller is a caller that reads nothing until reads is closed.
type slowCaller struct {
	reads chan struct{}
	mu    sync.Mutex
	got   bytes.Buffer
}

func newSlowCaller() *slowCaller { return &slowCaller{reads: make(chan struct{})} }

func (c *slowCaller) Header() http.Header { return make(http.Header) }
func (c *slowCaller) WriteHeader(int)     {}
func (c *slowCaller) Flush()              {}

func (c *slowCaller) Write(p []byte) (int, error) {
	<-c.reads
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.got.Write(p)
}

// countedBody counts how much of an answer has been read.
type countedBody struct {
	from io.Reader
	mu   sync.Mutex
	read int
	end  chan struct{}
	once sync.Once
}

func newCountedBody(text string) *countedBody {
	return &countedBody{from: strings.NewReader(text), end: make(chan struct{})}
}

func (b *countedBody) Close() error { return nil }

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p[:min(len(p), 512)])
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read += n
	if err != nil {
		b.once.Do(func() { close(b.end) })
	}
	return n, err
}

func (b *countedBody) readBytes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// streamTo sends a request for a stream and relays body to the caller as its answer.
func streamTo(s *Server, caller *slowCaller, body *countedBody) (ended chan struct{}) {
	s.o.Forwarder = &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){
		func(backend.ForwardCall) (*backend.ForwardAnswer, error) {
			return &backend.ForwardAnswer{Status: 200, Header: http.Header{}, Body: body, Length: -1, Proven: true}, nil
		},
	}}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Forward(context.Background(), caller, ForwardRequest{ID: "id", Host: "h", Method: http.MethodPost, Path: "/stream/x"})
	}()
	return ended
}

func longStream(events int) string {
	var b strings.Builder
	for i := range events {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 100))
	}
	return b.String()
}

// Guards against a caller that reads nothing and so makes the backend server buffer its answer
// and cut it off.
func TestSlowCallerDoesNotBlockBackendServer(t *testing.T) {
	text := longStream(200)
	s, caller, body := configuredServer(t, &scriptedForwarder{}), newSlowCaller(), newCountedBody(text)
	ended := streamTo(s, caller, body)
	<-body.end
	assert.Assert(t, s.memory.reserved() > 0)
	close(caller.reads)
	<-ended
	assert.Equal(t, caller.got.String(), text)
	assert.Equal(t, s.memory.reserved(), int64(0))
}

// Guards against an entry that runs out of memory because callers read nothing.
func TestStreamBufferIsBounded(t *testing.T) {
	for _, limit := range []int64{4 << 10, 1 << 30} {
		text := longStream(2000)
		s, caller, body := configuredServer(t, &scriptedForwarder{}), newSlowCaller(), newCountedBody(text)
		s.memory = newMemoryBudget(limit)
		ended := streamTo(s, caller, body)
		bound := min(limit, streamBufferBytes)
		for s.memory.reserved() < bound-256 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		assert.Assert(t, s.memory.reserved() <= bound+256, "%d bytes held", s.memory.reserved())
		assert.Assert(t, body.readBytes() < int(bound)+2*eventBuffer, "%d bytes read", body.readBytes())
		close(caller.reads)
		<-ended
		assert.Equal(t, caller.got.String(), text)
		assert.Equal(t, s.memory.reserved(), int64(0))
	}
}

// Guards against reading complete answers without a limit while others wait for their callers,
// and against not delivering an answer because of the limit.
func TestCompleteAnswerWaitsForMemory(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){answerWith(200, "whole", false)}})
	s.memory = newMemoryBudget(answerChunk)
	s.memory.forceReserve(1)
	done := make(chan string)
	go func() {
		w, _, _ := send(s, ForwardRequest{Path: "/many/x"})
		done <- w.Body.String()
	}()
	select {
	case <-done:
		t.Fatal("the answer was read without free memory")
	case <-time.After(50 * time.Millisecond):
	}
	s.memory.release(1)
	assert.Equal(t, <-done, "whole")
	assert.Equal(t, s.memory.reserved(), int64(0))
}

// Guards against request bodies that use up the memory because callers send them, or backend
// servers read them, slowly.
func TestRequestBodiesShareMemoryLimit(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{})
	s.memory = newMemoryBudget(1000)
	first := s.LimitBody(strings.NewReader(strings.Repeat("a", 800)))
	_, err := io.ReadAll(first)
	assert.NilError(t, err)
	second := s.LimitBody(strings.NewReader(strings.Repeat("b", 800)))
	_, err = io.ReadAll(second)
	assert.Assert(t, IsMemoryLimit(err))
	second.Release()
	first.Release()
	assert.Equal(t, s.memory.reserved(), int64(0))
	third := s.LimitBody(strings.NewReader(strings.Repeat("c", 800)))
	_, err = io.ReadAll(third)
	assert.NilError(t, err)
}
