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

// Gate accepts the connections of callers, or closes them unread.
type Gate struct {
	logger log.Logger
	probe  *delayProbe
	// wake starts the probes.
	wake chan struct{}

	mu sync.Mutex
	// isIdle is set while no probes are sent, as no connection is in use.
	isIdle  bool
	limiter limiter
	// windowEnd is the end of the window, maxDelay the longest delay of those since the last report.
	windowEnd time.Time
	maxDelay  time.Duration
	conns     connections
	// maxOpen bounds the open connections.
	maxOpen int
	// accepted, refused, silentClosed, idleClosed and receivingClosed count the connections since the last report.
	accepted, refused, silentClosed, idleClosed, receivingClosed int
	// limitedAt is when the limit was set.
	limitedAt time.Time
}

// NewGate returns a gate that keeps maxOpen connections open at most. It limits those in use once Run runs.
func NewGate(logger log.Logger, maxOpen int) (*Gate, error) {
	probe, err := newDelayProbe()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Gate{logger: logger, probe: probe, wake: make(chan struct{}, 1), isIdle: true, conns: newConnections(), maxOpen: maxOpen}, nil
}

// Close releases what the gate has opened.
func (g *Gate) Close() { g.probe.close() }

// Run measures the delay that this process suffers until the context ends. Then it closes the gate.
func (g *Gate) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(g.probe.receive)
	defer receiver.Wait()
	defer g.Close()
	probes := time.NewTicker(probeInterval)
	defer probes.Stop()
	for {
		select {
		case <-probes.C:
			if g.becomesIdle() {
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

func (g *Gate) accept(now time.Time, c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endWindows(now)
	inUse := g.conns.inUse(now)
	if !g.limiter.accept(now, inUse) || !g.makeRoom() {
		g.refused++
		return false
	}
	g.accepted++
	g.wakeProbes()
	g.conns.add(now, c)
	return true
}

// makeRoom closes an unused connection if no more may be open. It returns false if there is none.
//
// Failure: callers open connections and send nothing on them, or leave them idle after a request. The entry has no
// descriptor left for connections to backend servers, and accepts nobody until the unused ones have timed out. The same
// holds for requests whose bodies do not end.
func (g *Gate) makeRoom() bool {
	if g.conns.open < g.maxOpen {
		return true
	}
	switch g.conns.closeUnused() {
	case silentUnused:
		g.silentClosed++
	case idleUnused:
		g.idleClosed++
	case receivingUnused:
		g.receivingClosed++
	case noneUnused:
		return false
	}
	return true
}

// ConnState is the ConnState of the http.Server that serves the accepted connections.
func (g *Gate) ConnState(c net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.setState(time.Now(), c, s)
	if s == http.StateActive {
		g.wakeProbes()
	}
}

// setReceiving records whether the body of a connection's request is yet to arrive.
func (g *Gate) setReceiving(c net.Conn, is bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns.setReceiving(time.Now(), c, is)
}

// wakeProbes starts the probes if they are off. The caller holds the lock.
func (g *Gate) wakeProbes() {
	if !g.isIdle {
		return
	}
	g.isIdle = false
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// becomesIdle reports whether no probes are needed any more: no connection is in use and their number is not limited.
func (g *Gate) becomesIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isIdle = g.conns.inUse(time.Now()) == 0 && g.limiter.limit == 0
	return g.isIdle
}

// endWindows ends the windows that are over at a time. Windows that have passed without a look at the time count as
// one if they were overloaded: a process that was paused looks like that.
func (g *Gate) endWindows(now time.Time) {
	if now.Before(g.windowEnd) {
		return
	}
	delay := g.probe.take(now)
	g.endWindow(now, delay)
	if delay < overloadDelay {
		for range min(endWindows, int(now.Sub(g.windowEnd)/window)) {
			g.endWindow(now, delay)
		}
	}
	g.windowEnd = now.Add(window)
}

func (g *Gate) endWindow(now time.Time, delay time.Duration) {
	before, inUse := g.limiter.limit, g.conns.inUse(now)
	g.limiter.endWindow(delay, inUse)
	g.maxDelay = max(g.maxDelay, delay)
	switch {
	case before == 0 && g.limiter.limit > 0:
		g.limitedAt = now
		g.log("connections_limited", "delay_ms", delay.Milliseconds(), "in_use", inUse, "limit", g.limiter.limit)
	case before > 0 && g.limiter.limit == 0:
		g.log("connections_unlimited", "lasted_ms", now.Sub(g.limitedAt).Milliseconds(), "delay_ms", delay.Milliseconds(), "in_use", inUse)
	}
}

// Report returns what became of the new connections since the last report, and logs it if the process lacked processor
// time or descriptors, or refused connections.
func (g *Gate) Report(now time.Time) metrics.IntakeSample {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endWindows(now)
	r := metrics.IntakeSample{Accepted: g.accepted, Refused: g.refused, Delay: g.maxDelay, Limit: g.limiter.limit, InUse: g.conns.inUse(now)}
	if r.Refused > 0 || g.silentClosed+g.idleClosed+g.receivingClosed > 0 || r.Delay >= overloadDelay {
		g.log("overloaded", "delay_ms", r.Delay.Milliseconds(), "accepted", r.Accepted, "refused", r.Refused,
			"in_use", r.InUse, "limit", r.Limit, "open", g.conns.open, "max_open", g.maxOpen, "silent_closed", g.silentClosed,
			"idle_closed", g.idleClosed, "receiving_closed", g.receivingClosed)
	}
	g.accepted, g.refused, g.silentClosed, g.idleClosed, g.receivingClosed, g.maxDelay = 0, 0, 0, 0, 0, 0
	return r
}

func (g *Gate) log(event string, keyvals ...any) {
	_ = level.Info(g.logger).Log(append([]any{"event", event}, keyvals...)...)
}
