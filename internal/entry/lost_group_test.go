package entry

import (
	"testing"
	"testing/synctest"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// outOfService are the ways in which a board takes groups out of service.
var outOfService = map[string]func(x *soundSystem, groups ...string){
	"broken":   func(x *soundSystem, groups ...string) { x.moveGroups(groups, blackboard.Broken) },
	"released": func(x *soundSystem, groups ...string) { x.moveGroups(groups, blackboard.Released) },
	"removed": func(x *soundSystem, groups ...string) {
		x.changeGroups(groups, func(b *blackboard.Board, g blackboard.Group) { delete(b.Groups, g.ID) })
	},
	"new epoch": raiseEpochs,
}

func raiseEpochs(x *soundSystem, groups ...string) {
	x.changeGroups(groups, func(b *blackboard.Board, g blackboard.Group) {
		g.Epoch++
		b.Groups[g.ID] = g
	})
}

// forEachWayOutOfService runs a test for each way in which a board takes groups out of service.
func forEachWayOutOfService(t *testing.T, test func(t *testing.T, takeOut func(x *soundSystem, groups ...string))) {
	for name, takeOut := range outOfService {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, takeOut) })
		})
	}
}

// groupOf returns the group that runs an answer.
func (r *soundRun) group() string { return r.call.Address }

// Guards against answers that are cut as their group is taken out of service, although another one takes them.
func TestAnswersGoOnWhenTheirGroupIsOutOfService(t *testing.T) {
	forEachWayOutOfService(t, func(t *testing.T, takeOut func(*soundSystem, ...string)) {
		x := newSoundSystem(t, 5000)
		callers := x.beginMany("stream", 20)
		takeOut(x, x.servers.last().group())
		x.apply()
		x.finish(callers...)
	})
}
