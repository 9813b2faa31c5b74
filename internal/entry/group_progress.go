package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// defaultSilenceLimit is the silence limit of a group whose engines' figures do not state
	// how long a pass takes. Once none of a group's begun streams has delivered an event for
	// this long, this entry considers the group stalled.
	defaultSilenceLimit = 500 * time.Millisecond
	// stallMargin is added to the longest pass, as a fraction of it, for network delay and for
	// engines that are a little slow.
	//
	// The silence limit guards against a member that dies silently: the head holds all requests
	// and accepts new ones, and nothing progresses until the head gives up seconds later. A
	// limit shorter than a pass that computes prompts in each of its steps breaks healthy
	// groups in a burst of long prompts.
	stallMargin = 0.15
	// silentStreamsForLoss is the number of silent streams from which on the group itself is
	// the likely cause, and not one connection.
	silentStreamsForLoss = 3
	// packetLossAllowance is what a lost packet can add to a pause: twice TCP's least
	// retransmission time-out.
	packetLossAllowance = 400 * time.Millisecond
	// reportInterval is the time after which a silence that lasts is reported to the leader again.
	reportInterval = time.Second
)

// errGroupLost is the cause of an attempt that ends because its group makes no progress or has
// been taken out of service.
const errGroupLost = errors.ConstError("the group makes no progress or is broken")

// groupEpoch identifies one epoch of a group.
type groupEpoch struct {
	group string
	epoch uint64
}

// groupProgress tracks the streams of this entry on one epoch of a group.
type groupProgress struct {
	// silenceLimit is how long all begun streams may go without an event.
	silenceLimit time.Duration

	// retired ends when the board shows that the group is out of service.
	retired context.Context
	retire  context.CancelFunc

	mu sync.Mutex
	// ctx ends when this entry gives up the attempts that are open; those that follow get another one.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// open counts the attempts on the group.
	open int
	// begun counts the streams that have delivered an event and have not ended.
	begun int
	// last is when any of these streams last delivered an event.
	last time.Time
	// reportsSent is how many report times the current silence has passed.
	reportsSent int
	// link is the check of this entry's own link to the group's head during the current silence;
	// nil if none has begun.
	link *linkCheck
	// suspendedUntil is set once this entry considered the group stalled; zero again once a stream delivers an event.
	suspendedUntil time.Time
	// hasResumed is set when an event ends a suspension, until the route loop has seen it.
	hasResumed bool
}

func newGroupProgress(silenceLimit time.Duration) *groupProgress {
	retired, retire := context.WithCancel(context.Background())
	p := &groupProgress{silenceLimit: silenceLimit, retired: retired, retire: retire}
	p.ctx, p.cancel = context.WithCancelCause(context.Background())
	return p
}

// attach makes an attempt end with its group, and as well if the group is out of service and its
// answer has not begun. The returned function ends the attachment.
//
// Failure: the leader takes groups out of service whose backend servers still answer. All their streams
// begin anew elsewhere at once, and those for which the retry budget has nothing left are cut.
func (p *groupProgress) attach(w *watchdog) (detach func()) {
	givenUp := p.count(1)
	stopLost := context.AfterFunc(givenUp, func() { w.end(errGroupLost) })
	if p.isSuspended(time.Now()) {
		w.end(errGroupLost)
	}
	stopRetired := context.AfterFunc(p.retired, func() {
		if !w.hasBegun.Load() {
			w.end(errGroupLost)
		}
	})
	return func() {
		stopLost()
		stopRetired()
		p.count(-1)
	}
}

// count changes the number of attempts on the group, and returns the context that ends when those that are open now are
// given up.
func (p *groupProgress) count(n int) context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
	return p.ctx
}

// endAttempts ends the attempts that are open, as far as others can be made.
func (p *groupProgress) endAttempts(cause error) {
	p.mu.Lock()
	cancel := p.cancel
	p.ctx, p.cancel = context.WithCancelCause(context.Background())
	p.mu.Unlock()
	cancel(cause)
}

// hasStreams reports whether streams have begun and not ended.
func (p *groupProgress) hasStreams() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun > 0
}

// isUnused reports whether no attempt on the group is open.
func (p *groupProgress) isUnused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0
}

// silenceLimitFor returns how long the streams of a model may go without an event.
func silenceLimitFor(c *blackboard.Configuration, model string) time.Duration {
	e := c.Services[c.Groups[model].Pool].Engine
	if e == nil {
		return defaultSilenceLimit
	}
	pass := e.LongestEventGap(model)
	if pass == 0 {
		return defaultSilenceLimit
	}
	return pass + time.Duration(stallMargin*float64(pass))
}

// event records an event of a stream; first is set for the stream's first event.
func (p *groupProgress) event(now time.Time, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now, first)
	p.hasResumed = p.hasResumed || now.Before(p.suspendedUntil)
	p.suspendedUntil = time.Time{}
}

// readAgain records that a stream is read again that had waited for its caller. That tells nothing of the group.
func (p *groupProgress) readAgain(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record(now, true)
}

func (p *groupProgress) record(now time.Time, first bool) {
	if first {
		p.begun++
	}
	p.last = now
	p.reportsSent = 0
	p.link = nil
}

// takeResumed reports whether an event has ended a suspension since the last call.
func (p *groupProgress) takeResumed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	resumed := p.hasResumed
	p.hasResumed = false
	return resumed
}

// ended records the end of a stream that had begun.
func (p *groupProgress) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun--
}

// isLost reports whether this entry should give the group up without the leader. This is so if
// several of its streams are silent, or one is silent for longer than a lost packet explains.
// The leader receives the reports of all entries and is usually faster.
//
// A group is given up once in a silence. After its suspension new requests show whether it is sound, although a stream
// from before may still be silent.
func (p *groupProgress) isLost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.suspendedUntil.IsZero() {
		return false
	}
	silence := now.Sub(p.last)
	if p.begun >= silentStreamsForLoss {
		return silence > p.silenceLimit
	}
	return silence > p.silenceLimit+packetLossAllowance
}

// isReportDue reports whether the leader should receive a report: when a silence exceeds the
// limit, and again after each reportInterval.
func (p *groupProgress) isReportDue(silence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := 0
	if silence > p.silenceLimit {
		due = 1 + int(silence/reportInterval)
	}
	if due <= p.reportsSent {
		return false
	}
	p.reportsSent = due
	return true
}

// silentFor returns for how long all begun streams have delivered no event; 0 if there are
// none.
func (p *groupProgress) silentFor(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun == 0 {
		return 0
	}
	return now.Sub(p.last)
}

func (p *groupProgress) suspendUntil(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspendedUntil = until
}

func (p *groupProgress) isSuspended(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.suspendedUntil)
}

// progressByEpoch holds the progress of all groups that this entry sends to. Only the route
// loop uses it.
type progressByEpoch map[groupEpoch]*groupProgress

// getOrAdd returns the progress of a group's epoch.
func (all progressByEpoch) getOrAdd(k groupEpoch, silenceLimit time.Duration) *groupProgress {
	p := all[k]
	if p == nil {
		p = newGroupProgress(silenceLimit)
		all[k] = p
	}
	return p
}

// removeLost removes and returns the groups that are out of service for good. A draining group
// finishes its attempts.
func (all progressByEpoch) removeLost(b *blackboard.Board) []*groupProgress {
	var lost []*groupProgress
	for k, p := range all {
		g, known := b.Groups[k.group]
		if known && g.Epoch == k.epoch && (g.State == blackboard.Serving || g.State == blackboard.Draining) {
			continue
		}
		lost = append(lost, p)
		delete(all, k)
	}
	return lost
}
