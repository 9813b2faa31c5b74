package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// unrepeatable are routes and retry budgets with which an answer can't go on elsewhere.
var unrepeatable = map[string]struct {
	route   string
	retries float64
}{
	"may not resume": {"single", 5000},
	"no retry left":  {"stream", 0},
}

// passWithEvents lets time pass in which runs send events, but not their last one.
func (x *soundSystem) passWithEvents(runs []*soundRun, d time.Duration) {
	for range streamEvents - 1 {
		x.pass(d / (streamEvents - 1))
		for _, r := range runs {
			if r.sent < streamEvents-1 {
				r.send()
			}
		}
	}
	synctest.Wait()
}

// Guards against an answer that can't go on elsewhere and is cut because its backend server pauses, as one does that puts a request back.
func TestPauseOfOneAnswerDoesNotEndIt(t *testing.T) {
	for name, c := range unrepeatable {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newSoundSystem(t, c.retries)
				callers := x.beginMany(c.route, 8)
				x.passWithEvents(x.servers.open()[1:], 1350*time.Millisecond)
				x.finish(callers...)
			})
		})
	}
}

// Guards against answers that can't go on elsewhere and are cut because their group pauses.
func TestPauseOfAGroupEndsNoAnswerThatCannotGoOnElsewhere(t *testing.T) {
	for name, c := range unrepeatable {
		for _, state := range []backend.ListenState{backend.Listening, backend.ListeningToPeers} {
			t.Run(fmt.Sprint(name, ", probe ", state), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newSoundSystem(t, c.retries)
					x.s.o.Prober = &fixedProber{state: state}
					callers := x.beginMany(c.route, 4)
					x.pass(1100 * time.Millisecond)
					x.finish(callers...)
				})
			})
		}
	}
}

// Guards against answers that are cut because all groups pause, and they go on at another one that is given up a moment later.
func TestPauseOfAllGroupsEndsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 8)
		x.pass(1100 * time.Millisecond)
		x.finish(callers...)
	})
}
