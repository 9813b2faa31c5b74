package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// An entry checks its routes ten times a second and skips the update if it would change
// nothing. A group whose streams stalled is suspended for a time, and no change of the board
// marks the end of that. So the entry must keep updating, and route to the group again.
func TestRoutesAreUpdatedWhileTheyChangeWithTime(t *testing.T) {
	s := deafServer(servingPool(1, 4, 1, 2))
	assert.Assert(t, !s.areRoutesCurrent(), "no update yet")
	s.updateRoutes()
	assert.Assert(t, s.areRoutesCurrent())
	assert.Equal(t, len(s.loggedRoutes), 2)

	k := groupEpoch{"wide-0", 1}
	s.progress[k].suspendUntil(time.Now().Add(30 * time.Millisecond))
	s.updateRoutes()
	assert.Equal(t, len(s.loggedRoutes), 1)
	for len(s.loggedRoutes) == 1 {
		assert.Assert(t, !s.areRoutesCurrent(), "a group is suspended and updates have stopped")
		s.updateRoutes()
	}
	assert.Assert(t, s.areRoutesCurrent())
}

// A quarantine for a suspect request ends at a time that only its row on the board shows. A
// group that breaks comes with a new board.
func TestRoutesFollowBoardAndQuarantines(t *testing.T) {
	s := deafServer(servingPool(1, 4, 1, 2))
	s.updateRoutes()
	next := *s.o.Follower.Board()
	s.o.Follower = fixedBoard{board: &next, lease: time.Minute}
	assert.Assert(t, !s.areRoutesCurrent(), "another board")
	s.updateRoutes()
	assert.Assert(t, s.areRoutesCurrent())
	next.Quarantines = map[string]blackboard.Quarantine{"wide": {Pool: "wide", Target: "wide-0", UntilMillis: 1}}
	assert.Assert(t, !s.areRoutesCurrent(), "a quarantine ends with time")
}
