package entry

import (
	"testing"
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
