package entry

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against sound answers that are cut because more of them lose their group at once than the retry budget allows.
func TestMoreAnswersThanRetriesOutliveTheirGroup(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 50)
		callers := x.beginMany("stream", 80)
		takeOut(x, x.servers.last().group())
		x.apply()
		x.finish(callers...)
	})
}

// Guards against sound answers that are cut because an entry of a large fleet has just started and has earned no retries.
func TestAnswersOutliveTheirGroupRightAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 136)
		x.s.o.Settings.RetryRatio = 0.13
		x.change(func(b *blackboard.Board) {
			for i := range 89 {
				id := fmt.Sprint("e", i)
				b.Entries[id] = blackboard.Entry{ID: id, Address: id, PeerAddress: id}
			}
		})
		x.apply()
		callers := x.beginMany("stream", 18)
		x.moveGroups([]string{x.servers.last().group()}, blackboard.Broken)
		x.apply()
		x.finish(callers...)
	})
}
