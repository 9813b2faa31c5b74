package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// stragglerPatience is how long a member of a serving group must have been out
// of order before the group is replaced. A VM that only pauses is back or dead
// by then.
const stragglerPatience = 20 * time.Second

// straggling marks serving groups for replacement in which one member straggles.
//
// Failure: a member announces itself every few seconds. It never counts as
// dead, but its evidence is too old to route by half of the time, and the group
// answers now and then. The group is replaced only when free VMs allow it now:
// one that answers now and then is better than none, and one replacement at a
// time per spec keeps a slow network, which slows all, from moving everything.
func straggling(v View, now time.Time) {
	busy := make(map[string]bool)
	for _, g := range v.Board.Groups {
		if v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] {
			busy[g.Spec] = true
		}
	}
	for _, g := range groupsByWorth(v) {
		k := groupEpoch{g.ID, g.Epoch}
		if g.State != blackboard.Serving || !outOfOrder(v, g) {
			delete(v.Memory.unhealthySince, k)
			delete(v.Memory.beingReplaced, k)
			continue
		}
		if now.Sub(firstSeen(v.Memory.unhealthySince, k, now)) < stragglerPatience || busy[g.Spec] {
			continue
		}
		spec, ok := v.Board.Config.Groups[g.Spec]
		if ok && len(candidates(v, now, spec, newAllocation(v))) > 0 {
			v.Memory.beingReplaced[k] = true
			busy[g.Spec] = true
		}
	}
}

func outOfOrder(v View, g blackboard.Group) bool {
	for _, m := range g.Members {
		if v.Board.VMs[m.VM].Liveness != blackboard.Alive {
			return true
		}
	}
	return false
}

// replacing returns how many groups of a spec serve on while their replacement
// loads. No other group is broken up for these.
func replacing(v View, spec string) int {
	n := 0
	for _, g := range v.Board.Groups {
		if g.Spec == spec && v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] {
			n++
		}
	}
	return n
}
