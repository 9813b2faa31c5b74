package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

const maxOpenInTests = 100

// gatedServer serves requests of the path / at once, and those of /hold until the test ends, behind a gate.
type gatedServer struct {
	*Gate
	address string
	// held counts the requests of /hold that are being served.
	held atomic.Int64
}

func startGate(t *testing.T) *gatedServer {
	t.Helper()
	g, err := NewGate(log.NewNopLogger(), maxOpenInTests)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &gatedServer{Gate: g, address: l.Addr().String()}
	testEnds := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) {
		s.held.Add(1)
		<-testEnds
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	protected := Protect(server, l, g, NewHeaderBudget(log.NewNopLogger(), 1<<30))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(protected)
	}()
	t.Cleanup(func() {
		close(testEnds)
		_ = server.Close()
		<-ended
		g.Close()
	})
	return s
}

// hold opens a connection with a request that is not answered, and returns once it is read.
func (s *gatedServer) hold(t *testing.T) {
	t.Helper()
	held := s.held.Load()
	c := s.dial(t)
	_, err := io.WriteString(c, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	await(t, "a request that is read", func() bool { return s.held.Load() > held })
}

// dial opens a connection until the test ends.
func (s *gatedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (s *gatedServer) get(client *http.Client) error {
	r, err := client.Get("http://" + s.address + "/")
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	_, err = io.ReadAll(r.Body)
	return err
}

func (g *Gate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter = limiter{limit: limit, acceptedAt: time.Now().Add(time.Hour)}
}

// Guards against callers with a kept connection that are refused while new connections are.
func TestKeptConnectionsAreServedWhileNewOnesAreRefused(t *testing.T) {
	t.Parallel()
	s := startGate(t)
	kept := &http.Client{Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	assert.NilError(t, s.get(kept))
	s.hold(t)
	s.setLimit(1)
	assert.NilError(t, s.get(kept))
	assert.Assert(t, s.get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}) != nil)
	assert.Assert(t, s.Report(time.Now()).Refused > 0)
}

// Guards against connections without a request that keep callers with requests out.
func TestUnusedConnectionsDoNotCount(t *testing.T) {
	t.Parallel()
	s := startGate(t)
	for range 50 {
		s.dial(t)
	}
	await(t, "unused connections that do not count", func() bool { return s.Report(time.Now()).InUse == 0 })
}

// Guards against a process that is always kept from its processor and does not see it.
func TestOpenProbeCounts(t *testing.T) {
	t.Parallel()
	p, err := newDelayProbe()
	assert.NilError(t, err)
	defer p.close()
	now := time.Now()
	p.send(now)
	assert.Equal(t, p.take(now.Add(time.Second)), time.Second)
	p.end(now.Add(2 * time.Second))
	p.send(now.Add(3 * time.Second))
	p.end(now.Add(3*time.Second + time.Millisecond))
	assert.Equal(t, p.take(now.Add(4*time.Second)), time.Millisecond)
	assert.Equal(t, p.take(now.Add(5*time.Second)), time.Duration(0))
}

// runGate runs a gate until the test ends.
func runGate(t *testing.T) *Gate {
	t.Helper()
	g, err := NewGate(log.NewNopLogger(), maxOpenInTests)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return g
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "timed out waiting for %s", what)
	}
}

func (g *Gate) isProbing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.isIdle
}

func (p *delayProbe) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Guards against probes that go on while no connection is in use, and against a gate that outlives its context.
func TestProbesEndWithoutConnections(t *testing.T) {
	t.Parallel()
	g := runGate(t)
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	assert.Assert(t, !g.isProbing())
	assert.Assert(t, g.accept(time.Now(), near))
	await(t, "a probe", func() bool { return g.probe.count() > 0 })
	g.ConnState(near, http.StateClosed)
	await(t, "the end of the probes", func() bool { return !g.isProbing() })
}

// Guards against a flood that is not seen because a request of a kept connection runs beside it.
func TestProbesBeginWithARequestOfAKeptConnection(t *testing.T) {
	t.Parallel()
	g := runGate(t)
	kept, far := net.Pipe()
	defer func() { _, _ = kept.Close(), far.Close() }()
	assert.Assert(t, g.accept(time.Now(), kept))
	g.ConnState(kept, http.StateActive)
	g.ConnState(kept, http.StateIdle)
	await(t, "the end of the probes", func() bool { return !g.isProbing() })
	g.probe.take(time.Now())
	g.ConnState(kept, http.StateActive)
	await(t, "a probe beside the request", func() bool { return g.probe.count() > 0 })
}

// Guards against connections without a request that leave none for callers with requests.
func TestSilentConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	s := startGate(t)
	for range 3 * maxOpenInTests {
		s.dial(t)
	}
	const requests = 20
	for range requests {
		s.hold(t)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.conns.active), requests)
	assert.Check(t, s.conns.open <= 2*maxOpenInTests, "%d connections are open", s.conns.open)
}
