package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/metrics"
)

// probeInterval is the time between two measurements of the delay while connections are in use.
const probeInterval = window / 4

// Gate counts the connections of callers and measures how long this process is kept from a processor.
type Gate struct {
	logger log.Logger
	probe  *delayProbe
	// wake starts the probes, which rest while no connection is in use.
	wake chan struct{}

	mu sync.Mutex
	// windowEnd is the end of the window, maxDelay the longest delay of those since the last report.
	windowEnd time.Time
	maxDelay  time.Duration
	// active holds the connections with a request. unused holds those without one yet that were accepted in this window,
	// lastUnused those of the last window: they are likely to bring one.
	active, unused, lastUnused map[net.Conn]struct{}
	// accepted counts the connections since the last report.
	accepted int
}

// NewGate returns a gate.
func NewGate(logger log.Logger) (*Gate, error) {
	probe, err := newDelayProbe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Gate{
		logger: logger, probe: probe, wake: make(chan struct{}, 1), active: make(map[net.Conn]struct{}),
		unused: make(map[net.Conn]struct{}), lastUnused: make(map[net.Conn]struct{}),
	}, nil
}

// Run measures the delay that this process suffers until the context ends.
func (g *Gate) Run(ctx context.Context) {
	go g.probe.receive()
	defer g.probe.close()
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	for {
		select {
		case <-probes.C:
			if !g.isInUse() {
				probes.Stop()
				continue
			}
			g.probe.send(time.Now())
		case <-g.wake:
			probes.Reset(probeInterval)
		case <-ctx.Done():
			return
		}
	}
}

// Listener returns a listener that counts the connections of l. ConnState must get their states.
func (g *Gate) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next accepted connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.gate.accept(time.Now(), c)
	}
	return c, err
}

func (g *Gate) accept(now time.Time, c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endWindows(now)
	g.accepted++
	if g.inUse() == 0 {
		g.wakeProbes()
	}
	g.unused[c] = struct{}{}
}

// ConnState is the ConnState of the http.Server that serves the accepted connections.
func (g *Gate) ConnState(c net.Conn, s http.ConnState) {
	if s == http.StateNew {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unused, c)
	delete(g.lastUnused, c)
	delete(g.active, c)
	if s == http.StateActive {
		g.active[c] = struct{}{}
	}
}

func (g *Gate) wakeProbes() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// isInUse reports whether a connection is in use or the number of those is limited.
func (g *Gate) isInUse() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse() > 0
}

func (g *Gate) inUse() int { return len(g.active) + len(g.unused) + len(g.lastUnused) }

// endWindows ends the window that is over at a time.
func (g *Gate) endWindows(now time.Time) {
	if now.Before(g.windowEnd) {
		return
	}
	g.endWindow(g.probe.take(now))
	g.windowEnd = now.Add(window)
}

func (g *Gate) endWindow(delay time.Duration) {
	g.maxDelay = max(g.maxDelay, delay)
	g.lastUnused, g.unused = g.unused, make(map[net.Conn]struct{})
}

// Report returns what became of the new connections since the last report, and logs it if the process lacked processor
// time.
func (g *Gate) Report(now time.Time) metrics.IntakeSample {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endWindows(now)
	r := metrics.IntakeSample{Accepted: g.accepted, Delay: g.maxDelay, InUse: g.inUse()}
	if r.Delay >= overloadDelay {
		g.log("overloaded", "delay_ms", r.Delay.Milliseconds(), "accepted", r.Accepted, "in_use", r.InUse)
	}
	g.accepted, g.maxDelay = 0, 0
	return r
}

func (g *Gate) log(event string, keyvals ...any) {
	_ = level.Info(g.logger).Log(append([]any{"event", event}, keyvals...)...)
}
