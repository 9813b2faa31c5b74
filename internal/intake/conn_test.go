package intake

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/metrics"
)

// testBudget has room for one large header.
const testBudget = 1 << 20

// protectedServer serves requests behind a header budget. Requests of /hold are served until the test ends.
type protectedServer struct {
	headers *HeaderBudget
	limit   *ConnLimit
	address string
	served  atomic.Int64
}

func startProtected(t *testing.T, maxOpen int) *protectedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &protectedServer{
		headers: NewHeaderBudget(log.NewNopLogger(), testBudget), limit: NewConnLimit(log.NewNopLogger(), maxOpen), address: l.Addr().String(),
	}
	testEnds := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) {
		s.served.Add(1)
		<-testEnds
	})
	mux.HandleFunc("/upgrade", func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		s.served.Add(1)
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.served.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Trailer != nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	protected := Protect(server, l, s.limit.For("test"), s.headers)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(protected)
	}()
	t.Cleanup(func() {
		close(testEnds)
		_ = server.Close()
		<-ended
	})
	return s
}

// open sends a text on a new connection, which is closed when the test ends.
func (s *protectedServer) open(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

// readAnswer reads an answer and its body.
func readAnswer(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	answer, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	return answer, string(body)
}

// used returns the memory that is reserved for headers.
func (s *protectedServer) used() int64 { return s.headers.memory.Sample().Used }

const request = "GET / HTTP/1.1\r\nHost: h\r\n"

// manyLines is a part of a header that takes more than a quarter and less than a half of testBudget.
var manyLines = strings.Repeat("a:\n", 1000)

// Guards against requests that are refused without an answer that says so, or that run although they are refused.
func TestRequestWithoutRoomForItsHeaderIsRefused(t *testing.T) {
	t.Parallel()
	s := startProtected(t, 100)
	s.open(t, request+manyLines)
	await(t, "a header that is read", func() bool { return s.used() > testBudget/4 })
	answer, body := readAnswer(t, bufio.NewReader(s.open(t, request+manyLines+"\r\n")))
	assert.Equal(t, answer.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, answer.Header.Get("Retry-After"), "1")
	assert.Assert(t, answer.Close)
	assert.Assert(t, strings.Contains(body, `"ran":"no"`), body)
	assert.Equal(t, s.served.Load(), int64(0))
	answer, _ = readAnswer(t, bufio.NewReader(s.open(t, request+"\r\n")))
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}

// Guards against refusals that nobody sees.
func TestRefusedHeadersAreReported(t *testing.T) {
	t.Parallel()
	var lines bytes.Buffer
	b := NewHeaderBudget(log.NewLogfmtLogger(&lines), testBudget)
	assert.Assert(t, b.memory.Grow(0, testBudget/4))
	assert.Assert(t, !b.memory.Grow(0, testBudget/2))
	assert.Equal(t, b.Report(), metrics.HeaderSample{Used: testBudget / 4, Refused: 1})
	assert.Assert(t, strings.Contains(lines.String(), "event=headers_refused refused=1"), lines.String())
	assert.Equal(t, b.Report().Refused, 0)
}

// Guards against memory that stays reserved once requests have ended, however they end.
func TestMemoryIsReleasedWithItsRequest(t *testing.T) {
	t.Parallel()
	s := startProtected(t, 100)
	for range 10 {
		c := s.open(t, request+manyLines+"\r\n")
		r := bufio.NewReader(c)
		answer, _ := readAnswer(t, r)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n"+manyLines+"\r\n,\n,\n,\n")
		assert.NilError(t, err)
		answer, _ = readAnswer(t, r)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
		await(t, "memory that is released", func() bool { return s.used() == 0 })
		unfinished := s.open(t, request+manyLines)
		await(t, "a header that is read", func() bool { return s.used() > testBudget/4 })
		_ = unfinished.Close()
		await(t, "memory that is released", func() bool { return s.used() == 0 })
	}
}

// Guards against headers that arrive behind a request and are not counted.
func TestHeaderBehindARequestIsCounted(t *testing.T) {
	t.Parallel()
	s := startProtected(t, 100)
	c := s.open(t, request+"\r\n"+request+manyLines)
	readAnswer(t, bufio.NewReader(c))
	await(t, "a header that is read", func() bool { return s.used() > testBudget/4 })
}

// Guards against requests that run although the header that has arrived behind another request is refused.
func TestHeaderBehindARequestIsRefused(t *testing.T) {
	t.Parallel()
	s := startProtected(t, 100)
	s.open(t, request+manyLines)
	await(t, "a header that is read", func() bool { return s.used() > testBudget/4 })
	r := bufio.NewReader(s.open(t, request+"\r\n"+request+manyLines+"\r\n"))
	answer, _ := readAnswer(t, r)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	answer, _ = readAnswer(t, r)
	assert.Equal(t, answer.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, s.served.Load(), int64(1))
}

// Guards against trailers that take memory until their requests end.
func TestTrailersAreDropped(t *testing.T) {
	t.Parallel()
	s := startProtected(t, 100)
	for _, trailer := range []string{"", "Trailer: a, b\r\n"} {
		c := s.open(t, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"+trailer+"\r\n1\r\nx\r\n0\r\na: 1\r\nb: 2\r\n\r\n")
		answer, _ := readAnswer(t, bufio.NewReader(c))
		assert.Equal(t, answer.StatusCode, http.StatusOK)
	}
}

// Guards against connections that are kept after a request and leave no place for others.
func TestIdleConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	const maxOpen = 20
	s := startProtected(t, maxOpen)
	for range 3 * maxOpen {
		answer, _ := readAnswer(t, bufio.NewReader(s.open(t, request+"\r\n")))
		assert.Equal(t, answer.StatusCode, http.StatusOK)
	}
	r := s.limit.Report()
	assert.Equal(t, r.Refused, 0)
	assert.Assert(t, r.Closed > 0)
}

// Guards against requests whose bodies do not end and that leave no place for others, and against requests that give
// way although their bodies have arrived.
func TestUnfinishedBodiesGiveWay(t *testing.T) {
	t.Parallel()
	const maxOpen = 8
	s := startProtected(t, maxOpen)
	s.open(t, "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	for n := range 2 * maxOpen {
		s.open(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
		await(t, "a request that is served", func() bool { return s.served.Load() == int64(n)+2 })
	}
	answer, _ := readAnswer(t, bufio.NewReader(s.open(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxx")))
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	r := s.limit.Report()
	assert.Equal(t, r.Refused, 0)
	assert.Assert(t, r.Closed > 0)
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	assert.Assert(t, len(s.limit.listeners[0].conns.active) > 0)
}

// Guards against connections in use that give way to new ones.
func TestConnectionsInUseDoNotGiveWay(t *testing.T) {
	t.Parallel()
	const maxOpen = 4
	s := startProtected(t, maxOpen)
	for n := range maxOpen {
		s.open(t, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		await(t, "a request that is served", func() bool { return s.served.Load() == int64(n)+1 })
	}
	refused, err := net.Dial("tcp", s.address)
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
		_ = refused.Close()
	}
	assert.Assert(t, err != nil)
	assert.Equal(t, s.limit.Report().Refused, 1)
}

// Guards against connections that no longer carry HTTP and are not counted, or are counted for good.
func TestUpgradedConnectionsCountUntilTheyEnd(t *testing.T) {
	t.Parallel()
	s := startProtected(t, 10)
	c := s.open(t, "GET /upgrade HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, "an upgraded connection", func() bool { return s.served.Load() == 1 })
	assert.Equal(t, s.limit.Report().Open["test"], 1)
	_ = c.Close()
	await(t, "the end of the connection", func() bool { return s.limit.Report().Open["test"] == 0 && s.used() == 0 })
}
