package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// stragglerTimeout is how long a member of a serving group must have been unhealthy before the
// group is replaced. A VM that only pauses is back or dead by then.
const stragglerTimeout = 20 * time.Second

// markStragglers marks serving groups for replacement in which one member straggles.
//
// Failure: a member announces itself only every few seconds. It never counts as dead, but half of
// the time its evidence is too old for routing, and the group answers only now and then. The
// group is replaced only if free VMs allow it now, because a group that answers now and then is
// better than none. One replacement at a time per spec keeps a slow network, which slows down all
// groups, from moving everything.
func markStragglers(v View, now time.Time) {
	busy := make(map[string]bool)
	for _, g := range v.Board.Groups {
		if v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] {
			busy[g.Spec] = true
		}
	}
	for _, g := range groupsByWorth(v) {
		k := groupEpoch{g.ID, g.Epoch}
		if g.State != blackboard.Serving || !hasUnhealthyMember(v, g) {
			delete(v.Memory.unhealthySince, k)
			delete(v.Memory.beingReplaced, k)
			continue
		}
		if now.Sub(firstSeen(v.Memory.unhealthySince, k, now)) < stragglerTimeout || busy[g.Spec] {
			continue
		}
		spec, ok := v.Board.Config.Groups[g.Spec]
		if ok && len(candidates(v, now, spec, newAllocation(v))) > 0 {
			v.Memory.beingReplaced[k] = true
			busy[g.Spec] = true
		}
	}
}

func hasUnhealthyMember(v View, g blackboard.Group) bool {
	for _, m := range g.Members {
		if v.Board.VMs[m.VM].Liveness != blackboard.Alive {
			return true
		}
	}
	return false
}

// countReplacing returns how many groups of a spec continue to serve while their replacement
// loads. No other group is broken up for their replacement.
func countReplacing(v View, spec string) int {
	n := 0
	for _, g := range v.Board.Groups {
		if g.Spec == spec && v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] {
			n++
		}
	}
	return n
}
