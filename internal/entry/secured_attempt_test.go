package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// pauseOfOne is a pause of a stream after which its entry looks for another attempt.
const pauseOfOne = 1350 * time.Millisecond

// pauseFirst lets the first run pause while all others go on.
func (x *soundSystem) pauseFirst() { x.passWithEvents(x.servers.open()[1:], pauseOfOne) }

// Guards against a sound answer that is cut for a pause as its entry has lost the lease and may send no other attempt.
func TestPauseWithoutALeaseEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		x.loseLease()
		x.pauseFirst()
		x.finish(callers...)
	})
}

// Guards against a sound answer that is cut for a pause as all other backend servers are in a back-off.
func TestPauseWithAllOthersInABackoffEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		for _, id := range allGroups {
			x.s.dispatcher.recordBackoff(time.Now(), "i-"+id, time.Now().Add(time.Minute))
		}
		x.pauseFirst()
		x.finish(callers...)
	})
}
