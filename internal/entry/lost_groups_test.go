package entry

import (
	"testing"
	"testing/synctest"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
)

// heldUpdate is a follower that holds up an update of the routes: after the attempts on lost groups have ended, and before
// the new routes are in force.
type heldUpdate struct {
	*boardControl
	goesOn chan struct{}
}

func (h heldUpdate) EvacuationStart(string) clock.Boot {
	<-h.goesOn
	return 0
}

// applyHeldUp makes the entry follow the board. meanwhile runs while the update of the routes is held up.
func (x *soundSystem) applyHeldUp(meanwhile func()) {
	x.change(func(b *blackboard.Board) { b.Evacuations["elsewhere"] = blackboard.Evacuation{Revision: 1} })
	goesOn, done := make(chan struct{}), make(chan struct{})
	x.s.o.Follower = heldUpdate{x.control, goesOn}
	go func() {
		defer close(done)
		x.follow()
	}()
	synctest.Wait()
	meanwhile()
	synctest.Wait()
	close(goesOn)
	<-done
	synctest.Wait()
}

// Guards against answers that are cut because a board takes several groups out of service, and they go on at another of these.
func TestAnswersDoNotGoOnAtAGroupThatIsLostAtTheSameMoment(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 20)
		takeOut(x, "m-0", "m-1", "m-2")
		x.applyHeldUp(func() {})
		x.finish(callers...)
	})
}

// Guards against a request that is sent to a group after its attempts have ended, and fails without having been sent.
func TestNewRequestDoesNotFailWithAGroupThatIsLost(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		takeOut(x, "m-0", "m-1", "m-2")
		var callers []*soundCaller
		x.applyHeldUp(func() {
			for range 8 {
				callers = append(callers, x.call("single"))
			}
		})
		x.finish(callers...)
	})
}
