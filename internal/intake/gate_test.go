package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

const maxOpenInTests = 100

// startGate serves requests of the path / at once, and those of /hold until the test ends, behind a gate.
func startGate(t *testing.T) (*Gate, string) {
	t.Helper()
	g, err := NewGate(log.NewNopLogger(), maxOpenInTests)
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	held := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/hold", func(http.ResponseWriter, *http.Request) { <-held })
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })
	server := &http.Server{Handler: mux, ConnState: g.ConnState, ReadHeaderTimeout: time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(g.Listener(l))
	}()
	t.Cleanup(func() {
		close(held)
		_ = server.Close()
		<-ended
		g.Close()
	})
	return g, l.Addr().String()
}

// hold opens a connection with a request that is not answered, and returns once it is read.
func hold(t *testing.T, g *Gate, address string) {
	t.Helper()
	activeBefore := activeOf(g)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for before := time.Now(); ; time.Sleep(time.Millisecond) {
		if activeOf(g) > activeBefore {
			return
		}
		assert.Assert(t, time.Since(before) < 10*time.Second, "the request is not read")
	}
}

func activeOf(g *Gate) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns.active)
}

func (g *Gate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.limit, g.limiter.acceptedAt = limit, time.Now().Add(time.Hour)
}

// Guards against callers with a kept connection that are refused while new connections are.
func TestKeptConnectionsAreServedWhileNewOnesAreRefused(t *testing.T) {
	t.Parallel()
	g, address := startGate(t)
	kept := &http.Client{Transport: &http.Transport{}}
	defer kept.CloseIdleConnections()
	get := func(client *http.Client) error {
		r, err := client.Get("http://" + address + "/")
		if err != nil {
			return err
		}
		defer func() { _ = r.Body.Close() }()
		_, err = io.ReadAll(r.Body)
		return err
	}
	assert.NilError(t, get(kept))
	hold(t, g, address)
	g.setLimit(1)
	assert.NilError(t, get(kept))
	assert.Assert(t, get(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}) != nil)
	sample := g.Report(time.Now())
	assert.Equal(t, sample.Refused > 0, true)
}

// Guards against connections without a request that keep callers with requests out.
func TestUnusedConnectionsDoNotCount(t *testing.T) {
	t.Parallel()
	g, address := startGate(t)
	for range 50 {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	for before := time.Now(); g.Report(time.Now()).InUse > 0; time.Sleep(window) {
		assert.Assert(t, time.Since(before) < 10*time.Second, "unused connections count as in use")
	}
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

// Guards against probes that go on while no connection is in use, and against a gate that outlives its context.
func TestProbesRestWithoutConnections(t *testing.T) {
	t.Parallel()
	g, err := NewGate(log.NewNopLogger(), maxOpenInTests)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Run(ctx)
	}()
	time.Sleep(3 * probeInterval)
	g.probe.mu.Lock()
	assert.Check(t, g.probe.ended == 0 && g.probe.sentAt.IsZero())
	g.probe.mu.Unlock()
	cancel()
	<-ended
}

// Guards against connections without a request that leave none for callers with requests.
func TestSilentConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	g, address := startGate(t)
	for range 3 * maxOpenInTests {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	for range 20 {
		hold(t, g, address)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.Equal(t, len(g.conns.active), 20)
	assert.Check(t, g.conns.open <= 2*maxOpenInTests, "%d connections are open", g.conns.open)
}
