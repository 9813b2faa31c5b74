package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// CurrentMeasures returns the present values of the two measures, groups down and stranded
// accelerators; the caller adds them up over time.
//
// A wanted replica is down unless a group of its spec is routable by the evidence of this
// process: a group with a paused member does not work although the blackboard still states
// serving. A draining group works until it is released, but does not count for its spec. Stranded
// accelerators are those of VMs that are neither paused nor dead and whose group does not work.
// While this process does not receive evidence from a majority of the entries, its evidence
// is insufficient and it uses the blackboard instead.
func CurrentMeasures(board *blackboard.Board, table *evidence.Table, now time.Time) adminapi.Measures {
	var m adminapi.Measures
	hasMajority := table.HasMajority(now, board)
	working := make(map[string]bool)
	serving := make(map[string]int)
	for id, g := range board.Groups {
		if !isWorking(board, table, now, g, hasMajority) {
			continue
		}
		working[id] = true
		if g.State == blackboard.Serving {
			serving[g.Spec]++
		}
	}
	for spec := range board.Config.Groups {
		m.GroupsDown += max(0, board.Config.GroupReplicas(spec)-serving[spec])
	}
	for _, vm := range board.VMs {
		if vm.Liveness == blackboard.Dead || vm.Liveness == blackboard.Paused {
			continue
		}
		if g := board.Groups[vm.Group]; !working[vm.Group] || g.Epoch != vm.Epoch {
			m.StrandedAccelerators += vm.Accelerators
		}
	}
	return m
}

func isWorking(board *blackboard.Board, table *evidence.Table, now time.Time, g blackboard.Group, hasMajority bool) bool {
	if g.State == blackboard.Draining {
		return true
	}
	if !hasMajority {
		return g.State.Routable()
	}
	ok, _ := table.Routable(now, board, g.ID)
	return ok
}
