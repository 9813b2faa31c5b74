package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against requests that are refused for seconds after a standstill because their entry has suspended all groups for its silence.
func TestNewRequestIsSentOnceAStandstillIsOver(t *testing.T) {
	for name, c := range map[string]struct {
		standstill time.Duration
		groups     int
	}{
		"short": {800 * time.Millisecond, 4}, "long": {1300 * time.Millisecond, 4}, "short, three groups": {800 * time.Millisecond, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, 5000)
				x.moveGroups(allGroups[c.groups:], blackboard.Broken)
				x.apply()
				callers := x.beginMany("single", 16)
				x.pass(c.standstill)
				for _, r := range x.servers.open() {
					r.send()
				}
				x.serveOnly(allGroups, time.Second)
				late := x.call("single")
				x.finish(append(callers, late)...)
				assert.Equal(t, len(x.servers.runs), 17)
			})
		})
	}
}

// Guards against streams that outlive a suspension of their group and then wait for their deadline when the group is lost.
func TestStreamsAreWatchedAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 16)
		x.pass(1300 * time.Millisecond)
		for _, r := range x.servers.open() {
			r.send()
		}
		x.serveOnly(allGroups, time.Second)
		x.follow()
		x.moveGroups(allGroups[:1], blackboard.Broken)
		x.apply()
		x.serveOnly(allGroups[1:], 2*time.Second)
		for _, r := range x.servers.open() {
			assert.Check(t, r.group() != allGroups[0], "a stream of the lost group is still open")
		}
		x.finish(callers...)
	})
}
