package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// An entry looks at its routes ten times a second, and most times finds what it found
// before. A group whose streams stood still gets nothing for a while: no change of
// the board says when that ends, so the entry must go on looking, and route to the
// group again.
func TestRoutesAreUpdatedWhileTheyChangeWithTime(t *testing.T) {
	s := deafServer(servingPool(1, 4, 1, 2))
	assert.Assert(t, !s.areRoutesCurrent(), "never looked")
	s.updateRoutes()
	assert.Assert(t, s.areRoutesCurrent())
	assert.Equal(t, len(s.loggedRoutes), 2)

	k := groupEpoch{"wide-0", 1}
	s.progress[k].suspendUntil(time.Now().Add(30 * time.Millisecond))
	s.updateRoutes()
	assert.Equal(t, len(s.loggedRoutes), 1)
	for len(s.loggedRoutes) == 1 {
		assert.Assert(t, !s.areRoutesCurrent(), "held, and not looked at any more")
		s.updateRoutes()
	}
	assert.Assert(t, s.areRoutesCurrent())
}

// A group is kept for a suspect request until a time that only the quarantine's row
// tells; a group that breaks is on a new board.
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
