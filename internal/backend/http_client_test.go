package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newClient(t *testing.T, o Options) *HTTPClient {
	t.Helper()
	c := NewHTTPClient(o)
	t.Cleanup(c.Close)
	return c
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// rawServer accepts connections and passes each to f with its number.
func rawServer(t *testing.T, f func(conn net.Conn, number int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for number := 0; ; number++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f(conn, number)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

func sentOf(t *testing.T, err error) Stage {
	t.Helper()
	var e *CallError
	assert.Assert(t, errors.As(err, &e), "%v", err)
	return e.Stage
}

func TestNothingSentWithoutConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = newClient(t, Options{}).Generate(t.Context(), address, Generation{})
	assert.Equal(t, sentOf(t, err), StageNotSent)
}

// Failure: a service reads a call and closes the reused connection without an answer.
// net/http itself would resend a bodyless GET on a new connection, and the service would
// run the call twice. The client must send the call once and report StageUnknown.
func TestBrokenReusedConnectionIsUnknownAndNotRepeated(t *testing.T) {
	var requests atomic.Int64
	address := rawServer(t, func(conn net.Conn, _ int) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) > 1 {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := newClient(t, Options{})
	call := ServiceCall{Method: http.MethodGet, Path: "/", Header: http.Header{"Idempotency-Key": {"k"}}}
	answer, err := c.Call(t.Context(), address, call)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())

	_, err = c.Call(t.Context(), address, call)
	assert.Equal(t, sentOf(t, err), StageUnknown)
	assert.Equal(t, requests.Load(), int64(2))
}

// Failure: a call fails before a byte is written and is reported as not run, and the
// caller repeats it. net/http's writing goroutine then sends the first call after all.
// A sealed connection must refuse that write.
func TestSealedConnectionWritesNothingMore(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	conn := newSealedConn(local)
	before := conn.writeCount()
	assert.Assert(t, !conn.seal(before))
	_, err := conn.Write([]byte("late"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestOnlyStartedFalseIsARefusal(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want Stage
	}{
		"not started":       {`{"started":false,"busy":true,"retry_after_ms":200}`, StageRefused},
		"started":           {`{"started":true}`, StageUnknown},
		"no started field":  {`{"message":"boom"}`, StageUnknown},
		"not JSON":          {`oops`, StageUnknown},
		"far over a limit":  {strings.Repeat(" ", 100<<10) + `{"started":false}`, StageUnknown},
		"empty":             {``, StageUnknown},
		"started is a null": {`{"started":null}`, StageUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusTooManyRequests)
				_, _ = io.WriteString(w, test.body)
			})
			_, err := newClient(t, Options{}).Generate(t.Context(), address, Generation{})
			assert.Equal(t, sentOf(t, err), test.want)
		})
	}
}

func TestServiceReportsNotStarted(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderStarted, StartedNo)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, err := newClient(t, Options{}).Call(t.Context(), address, ServiceCall{Method: "PUT", Path: "/x"})
	assert.Equal(t, sentOf(t, err), StageRefused)
}

// stream serves the given text as one token stream and reads it to its end.
func stream(t *testing.T, o Options, text string) ([]Token, error) {
	t.Helper()
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	s, err := newClient(t, o).Generate(t.Context(), address, Generation{})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, s.Close()) }()
	var tokens []Token
	for {
		token, err := s.Next()
		if err != nil {
			return tokens, err
		}
		tokens = append(tokens, token)
	}
}

func TestStreamEvents(t *testing.T) {
	const good = ": keep-alive\n\nevent: token\ndata: {\"attempt\":\"a\",\"text\":\"hi\"}\r\n\r\n"
	const end = "data: {\"attempt\":\"a\",\"end\":true,\"offset\":1,\"total\":1}\n\n"
	tokens, err := stream(t, Options{}, good+end+good)
	assert.Equal(t, err, io.EOF)
	assert.DeepEqual(t, tokens, []Token{
		{KeepAlive: true},
		{Attempt: "a", Text: "hi"},
		{Attempt: "a", Offset: 1, Total: 1, End: true},
	})

	for name, test := range map[string]struct {
		text string
		want error
	}{
		"cut before the end mark": {good, ErrCut},
		"cut within the end mark": {good + end[:len(end)-8], ErrCut},
		"malformed":               {good + "data: {no json\n\n", ErrMalformed},
		"overlong":                {good + "data: " + strings.Repeat("x", 5000), ErrLineTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			tokens, err := stream(t, Options{MaxLine: 4096}, test.text)
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, len(tokens), 2)
		})
	}
}

func TestLineLongerThanTheBufferIsRead(t *testing.T) {
	text := strings.Repeat("y", 3*streamBuffer)
	tokens, err := stream(t, Options{}, `data: {"end":true,"text":"`+text+"\"}\n\n")
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, tokens[0].Text, text)
}

// Failure: an engine accepts the connection and never answers, and the request hangs.
// The header timeout must end the attempt with an unknown outcome.
func TestNoHeaderInTime(t *testing.T) {
	address := rawServer(t, func(conn net.Conn, _ int) {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	})
	c := newClient(t, Options{HeaderTimeout: 20 * time.Millisecond})
	_, err := c.Generate(t.Context(), address, Generation{})
	assert.Equal(t, sentOf(t, err), StageUnknown)
	assert.ErrorIs(t, err, errHeaderTimeout)
}

func TestCutServiceAnswerReturnsErrCut(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
	})
	answer, err := newClient(t, Options{}).Call(t.Context(), address, ServiceCall{Method: "GET", Path: "/"})
	assert.NilError(t, err)
	_, err = io.ReadAll(answer.Body)
	assert.ErrorIs(t, err, ErrCut)
	assert.NilError(t, answer.Body.Close())
}

func TestServiceAnswerWithoutAnnouncedEndIsMalformed(t *testing.T) {
	address := rawServer(t, func(conn net.Conn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf or whole?")
		_ = conn.Close()
	})
	_, err := newClient(t, Options{}).Call(t.Context(), address, ServiceCall{Method: "GET", Path: "/"})
	assert.Equal(t, sentOf(t, err), StageUnknown)
	assert.ErrorIs(t, err, ErrMalformed)
}

func TestHeadAnswerNeedsNoLength(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { _ = http.NewResponseController(w).Flush() })
	answer, err := newClient(t, Options{}).Call(t.Context(), address, ServiceCall{Method: "HEAD", Path: "/"})
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
}

func TestCallCarriesClientSecretAndNoHopHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=5")
	})
	header := http.Header{"Authorization": {"Bearer caller"}, "Connection": {"close"}, "X-Own": {"1"}}
	call := ServiceCall{Attempt: "a1", Method: "POST", Path: "/p?q=1", Header: header, Body: []byte("b")}
	answer, err := newClient(t, Options{Secret: "client"}).Call(t.Context(), address, call)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, answer.Header.Get("Keep-Alive"), "")
	sent := <-got
	assert.Equal(t, sent.Get("Authorization"), "Bearer client")
	assert.Equal(t, sent.Get("X-Own"), "1")
	assert.Equal(t, sent.Get("Connection"), "")
	assert.Equal(t, sent.Get(HeaderAttempt), "a1")
	assert.Equal(t, header.Get("Authorization"), "Bearer caller")
}

// Failure: after one connection has gone silent, each further request waits for a
// timeout, because the other idle connections pass through the same middlebox. RetireConnections
// must make later calls to the address use new connections and affect no other address.
func TestRetireDropsTheConnectionsOfOneAddress(t *testing.T) {
	var first, second atomic.Int64
	count := func(n *atomic.Int64) string {
		s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				n.Add(1)
			}
		}
		s.Start()
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	a, b := count(&first), count(&second)
	c := newClient(t, Options{})
	call := func(address string) {
		answer, err := c.Call(context.Background(), address, ServiceCall{Method: "GET", Path: "/"})
		assert.NilError(t, err)
		_, err = io.ReadAll(answer.Body)
		assert.NilError(t, err)
		assert.NilError(t, answer.Body.Close())
	}
	for range 2 {
		call(a)
		call(b)
	}
	assert.Equal(t, first.Load(), int64(1))
	c.RetireConnections(a)
	call(a)
	call(b)
	assert.Equal(t, first.Load(), int64(2))
	assert.Equal(t, second.Load(), int64(1))
}

// Failure: a call hangs until its deadline on a pooled connection that has gone silent.
// The next call must not hang on the next idle connection, and a call with NewConnection set
// must not use the pool at all.
func TestDeadlineOnAPooledConnectionRetiresIdleOnes(t *testing.T) {
	const pooled = 4
	var conns, hang, requests atomic.Int64
	var together sync.WaitGroup
	together.Add(pooled)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if requests.Add(1) <= pooled {
			together.Done()
			together.Wait()
		}
		if hang.Load() > 0 {
			<-r.Context().Done()
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	c := newClient(t, Options{SuspectAfter: time.Millisecond})
	call := func(fresh bool) error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if hang.Load() > 0 {
			ctx, cancel = context.WithTimeout(t.Context(), 20*time.Millisecond)
		}
		defer cancel()
		request := ServiceCall{Method: "GET", Path: "/", NewConnection: fresh}
		answer, err := c.Call(ctx, s.Listener.Addr().String(), request)
		if err != nil {
			return err
		}
		_, _ = io.ReadAll(answer.Body)
		return answer.Body.Close()
	}
	var wg sync.WaitGroup
	for range pooled {
		wg.Add(1)
		go func() {
			defer wg.Done()
			assert.Check(t, call(false) == nil)
		}()
	}
	wg.Wait()
	hang.Store(1)
	assert.ErrorIs(t, call(false), context.DeadlineExceeded)
	hang.Store(0)
	before := conns.Load()
	assert.NilError(t, call(false))
	assert.NilError(t, call(false))
	assert.Equal(t, conns.Load(), before+1)
	assert.NilError(t, call(true))
	assert.Equal(t, conns.Load(), before+2)
}

func TestPrefixBlocks(t *testing.T) {
	text := strings.Repeat("a", PrefixBlockBytes)
	one := PrefixBlocks(text + "tail")
	two := PrefixBlocks(text + text)
	assert.Equal(t, len(one), 1)
	assert.Equal(t, len(two), 2)
	assert.Equal(t, one[0], two[0])
	assert.Assert(t, two[0] != two[1])
}
