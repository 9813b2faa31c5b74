package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// A member of a group dies silently and all its streams stop. The group counts as silent from
// the last event of any of its streams, and only while a stream is open: an unused group is not
// stalled.
func TestGroupIsSilentWhenAllItsStreamsAre(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress(defaultSilenceLimit)
	assert.Equal(t, p.silentFor(at.Add(time.Hour)), time.Duration(0))
	p.event(at, true)
	p.event(at.Add(100*time.Millisecond), true)
	assert.Equal(t, p.silentFor(at.Add(500*time.Millisecond)), 400*time.Millisecond)
	p.event(at.Add(500*time.Millisecond), false)
	assert.Equal(t, p.silentFor(at.Add(600*time.Millisecond)), 100*time.Millisecond)
	p.ended()
	p.ended()
	assert.Equal(t, p.silentFor(at.Add(time.Hour)), time.Duration(0))
}

// The leader breaks a group. Attempts on it must end at once, so that their streams resume
// elsewhere. Attempts on a draining group must not end.
func TestAttemptsEndWithTheirGroup(t *testing.T) {
	all := make(progressByEpoch)
	groups := map[string]blackboard.Group{}
	for _, state := range []blackboard.GroupState{blackboard.Serving, blackboard.Draining, blackboard.Broken, blackboard.Released} {
		all.getOrAdd(groupEpoch{string(state), 1}, defaultSilenceLimit)
		groups[string(state)] = blackboard.Group{ID: string(state), Epoch: 1, State: state}
	}
	replaced := all.getOrAdd(groupEpoch{"replaced", 1}, defaultSilenceLimit)
	groups["replaced"] = blackboard.Group{ID: "replaced", Epoch: 2, State: blackboard.Serving}
	lost := all.removeLost(&blackboard.Board{Groups: groups})
	assert.Equal(t, len(all), 2)
	assert.Assert(t, all[groupEpoch{"serving", 1}] != nil && all[groupEpoch{"draining", 1}] != nil)
	assert.Equal(t, len(lost), 3)
	assert.Assert(t, slices.Contains(lost, replaced))
}

// Guards against a group that was given up wrongly and gets no new attempts when its suspension is over.
func TestSuspendedGroupReturns(t *testing.T) {
	at := time.Unix(0, 0)
	all := make(progressByEpoch)
	k := groupEpoch{"g", 1}
	p := all.getOrAdd(k, defaultSilenceLimit)
	p.event(at, true)
	open := p.count(1)
	p.suspendUntil(at.Add(stallSuspension))
	p.endAttempts(errGroupLost)
	assert.ErrorIs(t, context.Cause(open), errGroupLost)
	assert.Assert(t, all.getOrAdd(k, defaultSilenceLimit).isSuspended(at.Add(stallSuspension-1)))
	assert.Assert(t, !all.getOrAdd(k, defaultSilenceLimit).isSuspended(at.Add(stallSuspension)))
	assert.NilError(t, p.count(1).Err())
}

// Guards against a sound group that is suspended again at once because a stream from before its suspension is still silent.
func TestSuspensionInterruptsSilence(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress(defaultSilenceLimit)
	p.event(at, true)
	limit := defaultSilenceLimit + packetLossAllowance
	assert.Assert(t, !p.isLost(at.Add(limit)) && p.isLost(at.Add(limit+1)))
	end := at.Add(limit + stallSuspension)
	p.suspendUntil(end)
	assert.Assert(t, !p.isLost(end) && !p.isLost(end.Add(time.Minute)), "given up once in a silence")
	assert.Equal(t, p.silentFor(end), limit+stallSuspension, "the leader is told of the whole silence")
	p.event(end, false)
	assert.Assert(t, !p.isLost(end.Add(limit)) && p.isLost(end.Add(limit+1)), "a new silence")
}

// Guards against a suspension that ends because a slow caller reads again, though nothing came from the group.
func TestSlowCallerEndsNoSuspension(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress(defaultSilenceLimit)
	p.event(at, true)
	w := newWatchdog(t.Context(), progressTimeouts{header: time.Minute, firstToken: time.Minute, gap: time.Minute})
	defer w.stop()
	resume := waitForCaller(w, p)
	p.suspendUntil(time.Now().Add(stallSuspension))
	resume()
	assert.Assert(t, p.isSuspended(time.Now()) && !p.takeResumed())
	assert.Assert(t, p.hasStreams())
}

// Guards against a group that stays suspended although its streams go on.
func TestEventEndsSuspension(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress(defaultSilenceLimit)
	p.event(at, true)
	assert.Assert(t, !p.takeResumed())
	p.suspendUntil(at.Add(time.Second + stallSuspension))
	p.event(at.Add(2*time.Second), false)
	assert.Assert(t, !p.isSuspended(at.Add(2*time.Second)))
	assert.Assert(t, p.takeResumed() && !p.takeResumed())
}

// Engines publish how long a pass takes. The silence limit of a group is its model's longest
// pass and a margin; without figures, it is the default.
func TestSilenceLimitFollowsEngineFigures(t *testing.T) {
	c := &blackboard.Configuration{
		Groups: map[string]blackboard.GroupSpec{"slow": {Pool: "p"}, "fast": {Pool: "p"}, "other": {Pool: "q"}},
		Services: map[string]blackboard.ServiceSpec{"p": {Engine: &blackboard.EngineSpec{
			Slots: 26, TokensPerEvent: 7, StepMillis: 5.95, PerRequestMillis: 0.0445, ChunkTokens: 2048, PromptTokensPerSecond: 50700,
			Models: []blackboard.ModelSpec{{Name: "slow", Pace: 1}, {Name: "fast", Pace: 0.6}},
		}}, "q": {Engine: &blackboard.EngineSpec{}}},
	}
	assert.Equal(t, silenceLimitFor(c, "slow").Round(time.Millisecond), 382*time.Millisecond)
	assert.Equal(t, silenceLimitFor(c, "fast").Round(time.Millisecond), 229*time.Millisecond)
	assert.Equal(t, silenceLimitFor(c, "other"), defaultSilenceLimit)
	assert.Equal(t, silenceLimitFor(c, "none"), defaultSilenceLimit)
}

// A link loses packets, and an entry's one stream pauses for longer than a pass. The entry
// reports the pause to the leader once and keeps waiting. With several streams silent, or one
// for long, it gives the group up.
func TestOneSilentStreamIsNotALostGroup(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress(250 * time.Millisecond)
	p.event(at, true)
	assert.Assert(t, p.isReportDue(300*time.Millisecond))
	assert.Assert(t, !p.isReportDue(400*time.Millisecond), "reported once")
	assert.Assert(t, !p.isLost(at.Add(400*time.Millisecond)))
	assert.Assert(t, p.isLost(at.Add(700*time.Millisecond)))
	assert.Assert(t, p.isReportDue(1100*time.Millisecond), "reported again")
	p.event(at, true)
	p.event(at, true)
	assert.Assert(t, p.isLost(at.Add(300*time.Millisecond)))
	assert.Assert(t, p.isReportDue(300*time.Millisecond), "a new silence")
}

// Guards against a lost group that is reported for the last time in a standstill of all groups, when its report has no effect.
func TestSilenceThatLastsIsReportedAgain(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress(defaultSilenceLimit)
	p.event(at, true)
	for _, silence := range []time.Duration{600 * time.Millisecond, 1100 * time.Millisecond, 2100 * time.Millisecond} {
		assert.Assert(t, p.isReportDue(silence))
	}
	isReported := false
	for silence := 2200 * time.Millisecond; silence < 5*time.Second; silence += 20 * time.Millisecond {
		isReported = isReported || p.isReportDue(silence)
	}
	assert.Assert(t, isReported, "the group is silent for five seconds and was last reported after two")
}
