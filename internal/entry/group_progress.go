package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
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
	// groups in a burst of long prompts. With 230 ms for all groups, where such a pass takes
	// 330 ms, the score of a day fell from 0.9 to 0.4.
	stallMargin = 0.15
	// stallSuspension is how long this entry sends nothing new to a stalled group if the leader
	// does not break the group.
	stallSuspension = 3 * time.Second
	// silentStreamsForLoss is the number of silent streams from which on the group itself is
	// the likely cause, and not one connection.
	silentStreamsForLoss = 3
	// packetLossAllowance is what a lost packet can add to a pause: twice TCP's least
	// retransmission time-out.
	packetLossAllowance = 400 * time.Millisecond
	// reportInterval is the time after which a silence that lasts is reported to the leader again.
	reportInterval = time.Second
	// stallReportTimeout is the time limit of a call that reports stalled groups to the leader.
	stallReportTimeout = time.Second
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
	if first {
		p.begun++
	}
	p.last = now
	p.reportsSent = 0
	p.link = nil
	p.hasResumed = p.hasResumed || now.Before(p.suspendedUntil)
	p.suspendedUntil = time.Time{}
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
// A suspension interrupts the silence: new requests must get a chance to show that the group is sound although a stream
// from before is still silent.
func (p *groupProgress) isLost(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silence := now.Sub(later(p.last, p.suspendedUntil))
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

// retireGroups ends the attempts on groups that are out of service, except those whose answers have
// begun. These go on while their group makes progress.
func (s *Server) retireGroups(groups []*groupProgress) {
	for _, p := range groups {
		p.retire()
	}
	s.retiredGroups = append(s.retiredGroups, groups...)
}

// checkRetired ends the attempts on groups that are out of service and have gone silent.
func (s *Server) checkRetired(now time.Time) {
	s.retiredGroups = slices.DeleteFunc(s.retiredGroups, (*groupProgress).isUnused)
	for _, p := range s.retiredGroups {
		if p.silentFor(now) > p.silenceLimit {
			p.endAttempts(errGroupLost)
		}
	}
}

// checkProgress reports groups to the leader whose streams have all gone silent, and suspends
// those that are certainly lost.
func (s *Server) checkProgress(now time.Time) {
	s.checkRetired(now)
	s.resumeGroups()
	silences, begun, silentCount := s.silentGroups(now)
	if s.noteCommonSilence(silentCount, begun, longest(silences)) {
		return
	}
	var silent []*noderpc.SuspectGroup
	var lost []groupEpoch
	for k, silence := range silences {
		p := s.progress[k]
		if p.isReportDue(silence) {
			silent = append(silent, &noderpc.SuspectGroup{Group: k.group, Epoch: k.epoch, SilentMs: silence.Milliseconds()})
		}
		if p.isLost(now) {
			lost = append(lost, k)
		}
	}
	s.suspendGroups(now, lost, silences)
	if len(silent) > 0 && s.o.StallReporter != nil {
		go s.reportStalls(silent, isCommonSilence(silentCount, begun))
	}
}

// silentGroups returns the groups whose streams have all been silent for longer than the limit although
// the link to them is up, with the lengths of their silences. begun is the number of groups with streams, count that
// of all silent ones. It ends the attempts on groups whose link is down.
func (s *Server) silentGroups(now time.Time) (silences map[groupEpoch]time.Duration, begun, count int) {
	silences = make(map[groupEpoch]time.Duration)
	for k, p := range s.progress {
		if !p.hasStreams() {
			continue
		}
		begun++
		silence := p.silentFor(now)
		if silence <= p.silenceLimit {
			continue
		}
		count++
		switch s.linkDuringSilence(now, k, p) {
		case linkUnchecked:
		case linkDown:
			s.endAttemptsOnLink(k, p, silence)
		case linkUp:
			silences[k] = silence
		}
	}
	return silences, begun, count
}

const (
	// leastComparedGroups is the number of groups with streams from which their silences are compared.
	leastComparedGroups = 4
	// commonSilenceShare is the part of them whose silence at the same time probably has another cause than the
	// groups: this VM, the network, or the VMs of all groups stand still.
	commonSilenceShare = 0.75
	// commonSilenceLimit is how long a silence may last to be taken for such a standstill. The groups may be lost
	// after all.
	commonSilenceLimit = time.Second
)

// isCommonSilence reports whether nearly all groups with streams are silent.
func isCommonSilence(silent, begun int) bool {
	return begun >= leastComparedGroups && float64(silent) >= commonSilenceShare*float64(begun)
}

// noteCommonSilence reports whether nearly all groups with streams have just become silent, and logs when that
// begins and ends. length is the length of the longest silence.
//
// Load: all streams of an entry stop for a moment. Harm of holding that against the groups: the leader breaks
// all of them, and all answers begin anew at the same time.
func (s *Server) noteCommonSilence(silent, begun int, length time.Duration) bool {
	isCommon := isCommonSilence(silent, begun) && length < commonSilenceLimit
	if isCommon != s.isSilenceCommon {
		s.isSilenceCommon = isCommon
		_ = level.Info(s.o.Logger).Log("event", "common_silence", "is_common", isCommon, "silent", silent, "groups", begun)
	}
	return isCommon
}

// longest returns the longest silence.
func longest(silences map[groupEpoch]time.Duration) time.Duration {
	var length time.Duration
	for _, silence := range silences {
		length = max(length, silence)
	}
	return length
}

// suspendGroups ends this entry's attempts on groups, as far as others can be made, and sends these groups
// nothing new for stallSuspension.
func (s *Server) suspendGroups(now time.Time, groups []groupEpoch, silences map[groupEpoch]time.Duration) {
	if len(groups) == 0 {
		return
	}
	suspended := make([]*groupProgress, 0, len(groups))
	for _, k := range groups {
		p := s.progress[k]
		p.suspendUntil(now.Add(stallSuspension))
		suspended = append(suspended, p)
		_ = level.Info(s.o.Logger).Log("event", "group_stalled", "group", k.group, "epoch", k.epoch, "silent_ms", silences[k].Milliseconds())
	}
	s.updateRoutes()
	for _, p := range suspended {
		p.endAttempts(errGroupLost)
	}
}

// resumeGroups sends new requests again to groups whose streams have gone on during their suspension.
func (s *Server) resumeGroups() {
	isAny := false
	for k, p := range s.progress {
		if p.takeResumed() {
			isAny = true
			_ = level.Info(s.o.Logger).Log("event", "group_resumed", "group", k.group, "epoch", k.epoch)
		}
	}
	if isAny {
		s.updateRoutes()
	}
}

// reportStalls reports stalled groups to the leader once, and whether nearly all groups here are. If the call is lost,
// the leader notices the member's silence itself, only later.
func (s *Server) reportStalls(groups []*noderpc.SuspectGroup, isCommon bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stallReportTimeout)
	defer cancel()
	err := s.o.StallReporter.Suspect(ctx, &noderpc.SuspectRequest{
		ClusterId: s.o.Follower.Board().ClusterID, EntryId: s.o.ID, Groups: groups, IsCommon: isCommon,
	})
	if err != nil {
		_ = level.Warn(s.o.Logger).Log("event", "stall_report_failed", "err", err)
	}
}
