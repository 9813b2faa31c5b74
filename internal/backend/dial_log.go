package backend

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
)

// DialOutcome is how an attempt to connect to a backend server ended.
type DialOutcome string

// The outcomes. A host that refuses runs; one that does not answer in time may be without
// power, or cut off from this process.
const (
	DialConnected DialOutcome = "connected"
	DialRefused   DialOutcome = "refused"
	DialTimedOut  DialOutcome = "timed_out"
	DialFailed    DialOutcome = "failed"
)

// dialOutcome returns the outcome of a dial by its error.
func dialOutcome(err error) DialOutcome {
	var timeout net.Error
	switch {
	case err == nil:
		return DialConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return DialTimedOut
	}
	return DialFailed
}

// maxFailingAddresses bounds the addresses that a dialLog remembers as failing.
const maxFailingAddresses = 4096

// dialLog logs when connections to a backend server begin to fail and when they succeed again.
type dialLog struct {
	logger log.Logger
	// observe receives the outcome of each dial; nil for none.
	observe func(DialOutcome, time.Duration)

	mu sync.Mutex
	// failingSince holds when the dials to an address began to fail.
	failingSince map[string]time.Time
}

func newDialLog(logger log.Logger, observe func(DialOutcome, time.Duration)) *dialLog {
	return &dialLog{logger: logger, observe: observe, failingSince: map[string]time.Time{}}
}

// record takes in a dial that took the given time. A dial that the call's own end interrupted
// shows nothing of the address.
func (l *dialLog) record(now time.Time, address string, took time.Duration, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	outcome := dialOutcome(err)
	if l.observe != nil {
		l.observe(outcome, took)
	}
	l.mu.Lock()
	since, failing := l.failingSince[address]
	switch {
	case err == nil:
		delete(l.failingSince, address)
	case !failing && len(l.failingSince) < maxFailingAddresses:
		l.failingSince[address] = now
	}
	l.mu.Unlock()
	switch {
	case err == nil && failing:
		_ = level.Info(l.logger).Log("event", "server_connected", "server", address, "failed_for_ms", now.Sub(since).Milliseconds())
	case err != nil && !failing:
		_ = level.Info(l.logger).Log("event", "server_not_connected", "server", address, "outcome", outcome, "took_ms", took.Milliseconds(), "err", err)
	}
}
