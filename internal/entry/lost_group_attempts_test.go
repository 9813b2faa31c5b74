package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against a sound answer that is cut because its group is taken out of service and it may not go on elsewhere.
func TestAnswerThatMayNotResumeOutlivesItsGroup(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("single", 4)
		takeOut(x, x.servers.last().group())
		x.apply()
		x.finish(callers...)
	})
}

// Guards against a sound answer that is cut because its groups are taken out of service as often as its route allows attempts.
func TestAnswerOutlivesAsManyGroupsAsAttempts(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		caller := x.begin("stream")
		for range 2 {
			takeOut(x, x.servers.last().group())
			x.apply()
			x.servers.last().send()
			synctest.Wait()
		}
		x.finish(caller)
	})
}

// Guards against sound answers that are cut because no group of their model is in service for a while.
func TestAnswersOutliveAllGroupsOfTheirModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		x.moveGroups(allGroups, blackboard.Broken)
		x.apply()
		x.pass(failoverWait + time.Second)
		x.finish(callers...)
	})
}

// Guards against answers that wait for a group that is out of service and has gone silent.
func TestAnswersOfASilentGroupOutOfServiceGoOnElsewhere(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		lost := x.servers.last().group()
		takeOut(x, lost)
		x.apply()
		x.pass(defaultSilenceLimit + 2*dispatchInterval)
		for _, r := range x.servers.open() {
			assert.Assert(t, r.group() != lost, "a silent answer is still open on a group out of service")
		}
		x.finish(callers...)
	})
}

// Guards against a request that waits for its first event at a group that is out of service.
func TestRequestWithoutAnAnswerLeavesAGroupOutOfService(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		caller := x.call("stream")
		takeOut(x, x.servers.last().group())
		x.apply()
		assert.Equal(t, len(x.servers.runs), 2)
		x.finish(caller)
	})
}

// Guards against a sound answer that is cut because the lease ends and its group is taken out of service, although it began under the lease.
func TestAnswerOutlivesItsGroupAndTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 4)
		x.loseLease()
		x.moveGroups([]string{x.servers.last().group()}, blackboard.Broken)
		x.apply()
		x.finish(callers...)
	})
}
