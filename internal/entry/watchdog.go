package entry

import (
	"context"
	"math"
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
	// mayEnd reports whether the attempt may end before its backend server ends it; nil if it always
	// may.
	mayEnd func() bool
	// isReplaced is set once another attempt has taken the place of this one, which ends it in any case.
	isReplaced atomic.Bool
	// isPaused is set while the attempt waits for its caller.
	isPaused atomic.Bool
	// reads counts the reads of the answer's body.
	reads atomic.Int64
	// hasBegun is set once there was a token.
	hasBegun atomic.Bool
	fired    atomic.Bool
	// due is when the timer is to fire, in nanoseconds since began; each reset changes it.
	began time.Time
	due   atomic.Int64
}

func newWatchdog(parent context.Context, p progressTimeouts) *watchdog {
	w := prepareWatchdog(parent, p)
	w.start()
	return w
}

// prepareWatchdog returns a watchdog that cancels nothing until start is called.
func prepareWatchdog(parent context.Context, p progressTimeouts) *watchdog {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel, timeouts: p, began: time.Now()}
	w.timer = time.AfterFunc(math.MaxInt64, w.fire)
	return w
}

// start starts the wait for the header.
func (w *watchdog) start() { w.reset(w.timeouts.header) }

// fire ends the attempt. What came in while the process stood still is read first: a stream that has begun may
// have been sent its next event by then, however short the standstill was.
func (w *watchdog) fire() {
	due := w.due.Load()
	if w.hasBegun.Load() || isAfterStandstill(w.began.Add(time.Duration(due))) {
		time.Sleep(readyAnswerTime)
		if w.due.Load() != due {
			return
		}
	}
	w.end(errStalled)
}

// endRetryInterval is the time until an attempt that may not end is looked at again.
const endRetryInterval = 200 * time.Millisecond

// end ends the attempt for a cause, if it may. Otherwise it tries again later. It does neither if there is
// progress while it finds out.
func (w *watchdog) end(cause error) {
	if w.ctx.Err() != nil {
		return
	}
	due := w.due.Load()
	mayEnd := !w.isPaused.Load() && (w.mayEnd == nil || w.mayEnd())
	if w.due.Load() != due && !w.isReplaced.Load() {
		return
	}
	if !mayEnd {
		w.reset(endRetryInterval)
		return
	}
	w.fired.Store(cause == errStalled)
	w.cancel(cause)
}

// reset starts the timer again.
func (w *watchdog) reset(d time.Duration) {
	w.due.Store(int64(time.Since(w.began) + d))
	w.timer.Reset(d)
}

// headerReceived starts the wait for the first token.
func (w *watchdog) headerReceived() { w.reset(w.timeouts.firstToken) }

// progress records an event; token is set for a token and not for a keep-alive. Keep-alives
// before the first token extend the wait by the first token's time limit, since the engine's
// own queue may be long.
func (w *watchdog) progress(token bool) {
	if token {
		w.hasBegun.Store(true)
	}
	if w.hasBegun.Load() {
		w.reset(w.timeouts.gap)
		return
	}
	w.reset(w.timeouts.firstToken)
}

// stalled reports whether the watchdog ended the attempt.
func (w *watchdog) stalled() bool { return w.fired.Load() }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
