// Package controller holds the controllers that work on the blackboard.
//
// Each controller is a file and one function of (View, now) that adds commands
// for the blackboard and orders for engines to an Actions. Controllers know
// the tables and not each other; Run calls them in a fixed order. Nothing here
// has I/O, a goroutine or a clock: now is passed in and must be monotonic.
package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// View is what the controllers see.
type View struct {
	Board    *blackboard.Board
	Evidence *evidence.Table
	// Memory is this leader's own; a new leader starts with a new one.
	Memory *Memory
	// Term is the leader's term.
	Term uint64
	// LeaseUntil is the end of the leader's lease by this process's clock.
	LeaseUntil time.Time
	// Stalled holds when an entry last told of a group epoch that it makes no
	// progress on requests.
	Stalled map[StalledGroup]time.Time
	// Timing holds what differs from the defaults.
	Timing Timing
	// order is that of the board's rows while Run runs; nil elsewhere.
	order *order
}

// StalledGroup names one epoch of a group.
type StalledGroup struct {
	Group string
	Epoch uint64
}

func (v View) timing() Timing { return v.Timing.withDefaults() }

// Actions is what the controllers want done. Commands are proposed in their
// order; each checks its own preconditions, so one that comes twice or too late
// is refused and does no harm.
type Actions struct {
	Commands  []blackboard.Command
	Orders    []PlannedOrder
	Decisions []Decision
}

// PlannedOrder is an order for one engine. The caller sends it at once, gives
// up at Deadline, and passes the outcome to Memory.Answered.
type PlannedOrder struct {
	VM       string
	Address  string
	Order    backend.Order
	Deadline time.Time
}

// Decision is one line of the decision log.
type Decision struct {
	// Kind is pack, form, load, serve, break, release, drain, cold or vm.
	Kind     string
	Subject  string
	Choice   string
	RunnerUp string
	Reason   string
}

func (a *Actions) command(c blackboard.Command) { a.Commands = append(a.Commands, c) }

func (a *Actions) decide(d Decision) { a.Decisions = append(a.Decisions, d) }

// moveGroup asks for a change of state of one epoch of a group.
func (a *Actions) moveGroup(g blackboard.Group, to blackboard.GroupState, reason string, now time.Time) {
	a.command(&blackboard.SetGroupState{
		Group: g.ID, Epoch: g.Epoch, From: g.State, To: to,
		Reason: reason, NowMillis: now.UnixMilli(),
	})
}

// Run composes the controllers. Facts about VMs come first, then what takes
// groups out of service, then what brings groups into service, so that a
// command of one run never builds on a VM that the same run gives up.
func Run(v View, now time.Time) Actions {
	var a Actions
	v = v.sorted()
	v.Memory.window.adapt()
	v.Memory.updateCoverage(v, now)
	v.Memory.recordStates(v, now)
	v.Memory.recordModels(v)
	countLoads(v, now)
	planLayouts(v, now, &a)
	recordAnnouncements(v, now, &a)
	updateLiveness(v, now, &a)
	breaking(v, now, &a)
	straggling(v, now)
	marking(v, now, &a)
	draining(v, now, &a)
	releasing(v, now, &a)
	correcting(v, now, &a)
	loading(v, now, &a)
	formGroups(v, now, &a)
	stageStandbys(v, now, &a)
	v.Memory.removeObsolete(v)
	return a
}
