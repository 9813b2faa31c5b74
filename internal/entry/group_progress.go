package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const (
	// stallAfter is how long none of a group's begun streams may bring an event
	// before this entry takes the group for stalled, if the engines' figures do
	// not say how long a pass takes.
	defaultSilenceLimit = 500 * time.Millisecond
	// stallMargin is added to the longest pass, as a part of it, for the way and
	// for engines that are a little slow.
	//
	// Load: a member dies silently; the head holds all requests and takes new
	// ones, and nothing moves until it gives up seconds later. Harm of less than
	// a pass that computes prompts in each of its steps: groups in order are
	// broken in a burst of long prompts. With 230 ms for all, where such a pass
	// takes 330, the score of a day fell from 0.9 to 0.4.
	stallMargin = 0.15
	// stallHold is how long such a group gets nothing new from this entry if the
	// leader does not break it.
	stallSuspension = 3 * time.Second
	// severalStreams is from how many silent streams on the group itself is the
	// likely cause, and not one connection.
	silentStreamsForLoss = 3
	// lossAllowance is what a lost packet adds to a pause: the least time after
	// which TCP sends it again, twice.
	packetLossAllowance = 400 * time.Millisecond
	// tellAgain and tellLast are when the leader hears of a silence again.
	secondReportAfter = time.Second
	lastReportAfter   = 2 * time.Second
	// suspectTimeout bounds the call that tells the leader.
	stallReportTimeout = time.Second
)

// errGroupLost is the cause of an attempt that is given up because its group
// makes no progress or has been taken out of service.
const errGroupLost = errors.ConstError("the group makes no progress or is broken")

// groupEpoch names one epoch of a group.
type groupEpoch struct {
	group string
	epoch uint64
}

// groupProgress follows the streams of this entry on one epoch of a group.
type groupProgress struct {
	// patience is how long all begun streams may bring nothing.
	silenceLimit time.Duration

	// ctx ends when the group is lost; attempts on it then end too.
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// begun counts the streams that have brought an event and not ended.
	begun int
	// last is when any of them last brought one.
	last time.Time
	// told is how many of tellAt this silence has passed.
	reportsSent int
	// heldUntil is set once the group was taken for stalled.
	suspendedUntil time.Time
}

func newGroupProgress(silenceLimit time.Duration) *groupProgress {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &groupProgress{silenceLimit: silenceLimit, ctx: ctx, cancel: cancel}
}

// patienceWith returns how long the streams of a model may bring nothing.
func silenceLimitFor(c *blackboard.Configuration, model string) time.Duration {
	e := c.Services[c.Groups[model].Pool].Engine
	if e == nil {
		return defaultSilenceLimit
	}
	pass := e.LongestPass(model)
	if pass == 0 {
		return defaultSilenceLimit
	}
	return pass + time.Duration(stallMargin*float64(pass))
}

// event notes an event of a stream; first is set for the stream's first.
func (p *groupProgress) event(now time.Time, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if first {
		p.begun++
	}
	p.last = now
	p.reportsSent = 0
}

// ended notes the end of a stream that had begun.
func (p *groupProgress) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun--
}

// lost tells whether this entry should give the group up by itself: several of
// its streams are silent, or one for longer than a lost packet takes to come
// again. The leader, which hears all entries, is mostly quicker.
func (p *groupProgress) isLost(silence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun >= silentStreamsForLoss {
		return silence > p.silenceLimit
	}
	return silence > p.silenceLimit+packetLossAllowance
}

// due tells whether the leader should hear of a silence, which is when it
// begins to count, and again when it has lasted.
func (p *groupProgress) isReportDue(silence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	passed := 0
	for _, at := range []time.Duration{p.silenceLimit, secondReportAfter, lastReportAfter} {
		if silence > at {
			passed++
		}
	}
	if passed <= p.reportsSent {
		return false
	}
	p.reportsSent = passed
	return true
}

// silent returns for how long all begun streams have brought nothing, 0 if
// there are none.
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

// progressOf holds the progress of all groups that this entry sends to. It is
// used by the routes' loop alone.
type progressByEpoch map[groupEpoch]*groupProgress

// of returns the progress of a group's epoch, a new one if there is none or the
// last was given up and its time is over.
func (all progressByEpoch) getOrAdd(now time.Time, k groupEpoch, silenceLimit time.Duration) *groupProgress {
	p := all[k]
	if p == nil || (p.ctx.Err() != nil && !p.isSuspended(now)) {
		p = newGroupProgress(silenceLimit)
		all[k] = p
	}
	return p
}

// follow ends the attempts on groups that are out of service for good. A group
// that drains finishes what it has.
func (all progressByEpoch) update(b *blackboard.Board) {
	for k, p := range all {
		g, known := b.Groups[k.group]
		if known && g.Epoch == k.epoch && (g.State == blackboard.Serving || g.State == blackboard.Draining) {
			continue
		}
		p.cancel(errGroupLost)
		delete(all, k)
	}
}

// checkProgress tells the leader of groups whose streams have all ceased, and
// gives up those that are surely lost.
func (s *Server) checkProgress(now time.Time) {
	var silent []*noderpc.SuspectGroup
	for k, p := range s.progress {
		silence := p.silentFor(now)
		if silence <= p.silenceLimit {
			continue
		}
		if p.isReportDue(silence) {
			silent = append(silent, &noderpc.SuspectGroup{Group: k.group, Epoch: k.epoch, SilentMs: silence.Milliseconds()})
		}
		if p.ctx.Err() == nil && p.isLost(silence) {
			s.suspendGroup(now, k, p, silence)
		}
	}
	if len(silent) > 0 && s.o.Suspects != nil {
		go s.reportStalls(silent)
	}
}

// giveUpGroup ends this entry's attempts on a group and sends it nothing more for
// a while.
func (s *Server) suspendGroup(now time.Time, k groupEpoch, p *groupProgress, silence time.Duration) {
	p.suspendUntil(now.Add(stallSuspension))
	p.cancel(errGroupLost)
	_ = level.Info(s.o.Logger).Log("event", "group_stalled", "group", k.group, "epoch", k.epoch, "silent_ms", silence.Milliseconds())
	s.updateRoutes()
}

// suspectGroups tells the leader once; if the call is lost, the leader finds
// the member's silence, only later.
func (s *Server) reportStalls(groups []*noderpc.SuspectGroup) {
	ctx, cancel := context.WithTimeout(context.Background(), stallReportTimeout)
	defer cancel()
	err := s.o.Suspects.Suspect(ctx, &noderpc.SuspectRequest{
		ClusterId: s.o.Follower.Board().ClusterID, EntryId: s.o.ID, Groups: groups,
	})
	if err != nil {
		_ = level.Warn(s.o.Logger).Log("event", "suspicion_not_told", "err", err)
	}
}
