package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// A member of a group dies silently and all its streams stop. The group counts
// as silent from the last event of any of them, and only while one is open: a
// group that nobody uses is not stalled.
func TestAGroupIsSilentWhenAllItsStreamsAre(t *testing.T) {
	at := time.Unix(0, 0)
	p := newGroupProgress()
	assert.Equal(t, p.silent(at.Add(time.Hour)), time.Duration(0))
	p.event(at, true)
	p.event(at.Add(100*time.Millisecond), true)
	assert.Equal(t, p.silent(at.Add(500*time.Millisecond)), 400*time.Millisecond)
	p.event(at.Add(500*time.Millisecond), false)
	assert.Equal(t, p.silent(at.Add(600*time.Millisecond)), 100*time.Millisecond)
	p.ended()
	p.ended()
	assert.Equal(t, p.silent(at.Add(time.Hour)), time.Duration(0))
}

// The leader breaks a group. Attempts on it must end at once, so that their
// streams go on elsewhere; those of a group that drains must not.
func TestAttemptsEndWithTheirGroup(t *testing.T) {
	at := time.Unix(0, 0)
	all := make(progressOf)
	groups := map[string]blackboard.Group{}
	for _, state := range []blackboard.GroupState{blackboard.Serving, blackboard.Draining, blackboard.Broken, blackboard.Released} {
		all.of(at, groupEpoch{string(state), 1})
		groups[string(state)] = blackboard.Group{ID: string(state), Epoch: 1, State: state}
	}
	replaced := all.of(at, groupEpoch{"replaced", 1})
	groups["replaced"] = blackboard.Group{ID: "replaced", Epoch: 2, State: blackboard.Serving}
	all.follow(&blackboard.Board{Groups: groups})
	assert.Equal(t, len(all), 2)
	assert.NilError(t, all[groupEpoch{"serving", 1}].ctx.Err())
	assert.NilError(t, all[groupEpoch{"draining", 1}].ctx.Err())
	assert.ErrorContains(t, replaced.ctx.Err(), "canceled")
}

// A group that was given up wrongly gets new work again after a while.
func TestAGroupGivenUpWronglyComesBack(t *testing.T) {
	at := time.Unix(0, 0)
	all := make(progressOf)
	k := groupEpoch{"g", 1}
	first := all.of(at, k)
	first.hold(at.Add(stallHold))
	first.cancel(errGroupLost)
	assert.Assert(t, all.of(at, k) == first)
	second := all.of(at.Add(stallHold), k)
	assert.Assert(t, second != first)
	assert.NilError(t, second.ctx.Err())
}
