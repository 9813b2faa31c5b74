package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// progressTimeouts are the time limits of progress on one attempt: until the response header,
// from there to the first token, and between tokens.
type progressTimeouts struct {
	header, firstToken, gap time.Duration
}

// errStalled is the cause of a context that a watchdog cancelled.
const errStalled = errors.ConstError("no progress in time")

// watchdog cancels an attempt that makes no progress.
//
// It guards against connections that have gone silent for good because a device between the two
// ends has lost its connection state. No error ever arrives, and the caller would wait until
// its deadline. An engine that is only slow sends keep-alives, so silence past the gap means
// that the connection or the engine is stuck.
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

// headerReceived starts the wait for the first token.
func (w *watchdog) headerReceived() { w.timer.Reset(w.timeouts.firstToken) }

// progress records an event; token is set for a token and not for a keep-alive. Keep-alives
// before the first token extend the wait by the first token's time limit, since the engine's
// own queue may be long.
func (w *watchdog) progress(token bool) {
	w.sawToken = w.sawToken || token
	if w.sawToken {
		w.timer.Reset(w.timeouts.gap)
		return
	}
	w.timer.Reset(w.timeouts.firstToken)
}

// stalled reports whether the watchdog ended the attempt.
func (w *watchdog) stalled() bool { return w.fired.Load() }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
