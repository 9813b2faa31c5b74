package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// patience are the deadlines of progress on one attempt.
type progressTimeouts struct {
	header, firstToken, gap time.Duration
}

// errStalled is the cause of a context that a watchdog cancelled.
const errStalled = errors.ConstError("no progress in time")

// watchdog cancels an attempt that makes no progress.
//
// It guards against connections that have gone silent for good, because
// something between the two ends has lost track of them: no error ever comes,
// and the caller would wait until its deadline. An engine that is only slow
// sends keep-alives, so silence past the gap means that the connection or the
// engine is stuck.
type watchdog struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	timeouts progressTimeouts
	sawToken bool
	fired    atomic.Bool
}

func newWatchdog(parent context.Context, p progressTimeouts) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, timeouts: p}
	w.timer = time.AfterFunc(p.header, w.fire)
	return w
}

func (w *watchdog) fire() {
	w.fired.Store(true)
	w.cancel(errStalled)
}

// headerSeen starts the wait for the first token.
func (w *watchdog) headerReceived() { w.timer.Reset(w.timeouts.firstToken) }

// progress notes an event; token tells a token from a keep-alive. Keep-alives
// before the first token extend the wait by the first token's deadline, since
// the engine's own queue may be long.
func (w *watchdog) progress(token bool) {
	w.sawToken = w.sawToken || token
	if w.sawToken {
		w.timer.Reset(w.timeouts.gap)
		return
	}
	w.timer.Reset(w.timeouts.firstToken)
}

// stalled tells whether the watchdog ended the attempt.
func (w *watchdog) stalled() bool { return w.fired.Load() }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
