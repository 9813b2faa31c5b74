package entry

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
)

// rawAnswer is what the server at address "a" sends: a head, and a piece after each pause for a number of times, or
// for ever if that is 0.
type rawAnswer struct {
	head, piece string
	pause       time.Duration
	times       int
}

// rawServers forwards over HTTP to the server at address "a". All others answer completely.
type rawServers struct {
	client *backend.HTTPClient
	answer rawAnswer
	asked  atomic.Int64
}

func newRawServers(t *testing.T, a rawAnswer) *rawServers {
	r := &rawServers{answer: a}
	r.client = backend.NewHTTPClient(backend.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go r.serve(far)
		return near, nil
	}})
	t.Cleanup(r.client.Close)
	return r
}

func (r *rawServers) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err = io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	r.asked.Add(1)
	_, err = io.WriteString(conn, r.answer.head)
	for n := 0; err == nil && (n < r.answer.times || r.answer.times == 0); n++ {
		time.Sleep(r.answer.pause)
		_, err = io.WriteString(conn, r.answer.piece)
	}
}

func (r *rawServers) Forward(ctx context.Context, c backend.ForwardCall) (*backend.ForwardAnswer, error) {
	if c.Address != "a" {
		return answerWith(200, "whole", false)(c)
	}
	answer, err := r.client.Call(ctx, c.Address, backend.ServiceCall{
		Method: c.Method, Path: "/", Host: c.Host, Body: c.Body, Verbatim: true, NewConnection: true,
	})
	if err != nil {
		return nil, err
	}
	return &backend.ForwardAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body, Length: answer.Length, Proven: true}, nil
}

// Guards against a server whose answers trickle until the deadline of each request, and that is asked all the time.
func TestServerWhoseAnswersTrickleIsSetAside(t *testing.T) {
	const pause = 50 * time.Millisecond
	for name, answer := range map[string]rawAnswer{
		"head":    {head: "HTTP/1.1 200 OK\r\nX-A: ", piece: "b", pause: pause},
		"body":    {head: "HTTP/1.1 200 OK\r\n\r\n", piece: "b", pause: pause},
		"chunks":  {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "1\r\nb\r\n", pause: pause},
		"trailer": {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", piece: "b", pause: pause},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRawServers(t, answer)
				s := configuredServer(t, &scriptedForwarder{})
				s.o.Forwarder, s.o.Client = f, f.client
				for i := range 400 {
					_, _, _ = send(s, ForwardRequest{ID: fmt.Sprint(i), Path: "/many/x", Body: fmt.Append(nil, i)})
					time.Sleep(pause)
				}
				// Three requests, and the probes after 4 and 8 s more.
				assert.Assert(t, f.asked.Load() <= 5, "it was asked %d times", f.asked.Load())
				time.Sleep(2 * crashWait)
			})
		})
	}
}

// Guards against a sound server that is set aside because its answers are slow.
func TestSlowAnswersSetNoServerAside(t *testing.T) {
	const pause, patience = 100 * time.Millisecond, 2 * time.Second
	text := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, row := range map[string]struct {
		answer   rawAnswer
		path     string
		patience time.Duration
	}{
		"complete": {answer: rawAnswer{head: text + "\r\n", piece: "b", pause: pause, times: 18}},
		"caller gives up": {
			answer: rawAnswer{head: text + "\r\n", piece: "b", pause: pause}, patience: patience * 3 / 4,
		},
		"begun before the deadline": {answer: rawAnswer{piece: text + "\r\nb", pause: patience - pause/2}},
		"one pause":                 {answer: rawAnswer{head: text + "\r\nb", piece: "b", pause: patience - pause/2}},
		"announced length":          {answer: rawAnswer{head: text + "Content-Length: 1000\r\n\r\n", piece: "b", pause: pause}},
		"still processing":          {answer: rawAnswer{piece: "HTTP/1.1 102 Processing\r\n\r\n", pause: pause}},
		"events":                    {path: "/stream/x", answer: rawAnswer{head: text + "\r\n", piece: "data: b\n\n", pause: pause}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRawServers(t, row.answer)
				s := configuredServer(t, &scriptedForwarder{})
				s.o.Forwarder, s.o.Client = f, f.client
				s.dispatcher.leaveOnly("a")
				for i := range 6 {
					sendFor(s, cmp.Or(row.patience, time.Hour), ForwardRequest{
						ID: fmt.Sprint(i), Path: cmp.Or(row.path, "/many/x"), Body: fmt.Append(nil, i),
					})
					assert.Assert(t, !s.dispatcher.isDistrusted(servicePool("files")), "after request %d", i)
				}
				assert.Equal(t, f.asked.Load(), int64(6))
				time.Sleep(2 * crashWait)
			})
		})
	}
}

// Guards against a sound server that is set aside for requests that were sent late in their time, or whose callers left.
func TestTrickleCountsAtTheDeadlineOfATimelyAttempt(t *testing.T) {
	arrived := time.Now()
	j := &job{arrived: arrived, deadline: arrived.Add(4 * time.Second)}
	trickled := errors.WithType(context.DeadlineExceeded, backend.ErrTrickled)
	assert.Assert(t, j.isEndless(j.deadline, arrived, trickled))
	assert.Assert(t, !j.isEndless(j.deadline, arrived, context.DeadlineExceeded))
	assert.Assert(t, !j.isEndless(j.deadline, arrived.Add(2100*time.Millisecond), trickled))
	assert.Assert(t, !j.isEndless(arrived.Add(3700*time.Millisecond), arrived, trickled))
}

// sendFor sends a request whose caller leaves after a time.
func sendFor(s *Server, patience time.Duration, f ForwardRequest) {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	defer time.AfterFunc(patience, leave).Stop()
	defer func() { _ = recover() }()
	f.Host, f.Method = "h", http.MethodPost
	_ = s.Forward(ctx, httptest.NewRecorder(), f)
}

// isDistrusted reports whether a backend server of a pool is set aside.
func (d *dispatcher) isDistrusted(pool string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.IsDistrusted(time.Now(), pool, nil)
}
