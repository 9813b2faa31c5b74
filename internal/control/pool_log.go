package control

import (
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// poolCounts counts the VMs of one engine pool by state.
type poolCounts struct {
	living, serving, loading, held, free, dead, leaving int
}

// logPools logs one line for each engine pool with the number of VMs in each state. An operator
// needs these counts first when a model has too few groups.
func (s *Server) logPools(board *blackboard.Board) {
	pools := make(map[string]*poolCounts)
	for _, vm := range board.VMs {
		if vm.Pool == "" {
			continue
		}
		c := pools[vm.Pool]
		if c == nil {
			c = &poolCounts{}
			pools[vm.Pool] = c
		}
		c.add(vm, board.Groups[vm.Group])
	}
	for _, name := range sortedKeys(pools) {
		c := pools[name]
		_ = level.Info(s.o.Logger).Log("event", "pool", "pool", name, "living", c.living, "serving", c.serving,
			"loading", c.loading, "held", c.held, "free", c.free, "dead", c.dead, "leaving", c.leaving)
	}
}

func (c *poolCounts) add(vm blackboard.VM, g blackboard.Group) {
	if vm.Liveness == blackboard.Dead {
		c.dead++
		return
	}
	c.living++
	current := vm.Group != "" && g.Epoch == vm.Epoch
	switch {
	case vm.Leaving:
		c.leaving++
	case vm.Group == "":
		c.free++
	case current && g.State == blackboard.Serving:
		c.serving++
	case current && (g.State == blackboard.Loading || g.State == blackboard.Forming):
		c.loading++
	default:
		c.held++
	}
}
