// Package controller holds the controllers that reconcile the blackboard with what backend
// servers report.
//
// Each controller is one function of (View, now) that adds commands for the blackboard and orders
// for engines to an Actions. Controllers read the tables of the blackboard and do not depend on
// each other; Run calls them in a fixed order. Nothing in this package does I/O, starts a
// goroutine or reads a clock: the caller passes now, which must be monotonic.
package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// View is the input of the controllers.
type View struct {
	Board    *blackboard.Board
	Evidence *evidence.Table
	// Memory belongs to this leader; a new leader starts with an empty one.
	Memory *Memory
	// Term is the leader's term.
	Term uint64
	// LeaseUntil is the end of the leader's lease by this process's clock.
	LeaseUntil time.Time
	// ConfirmedStalls holds when entries last confirmed that a group epoch makes no progress on
	// requests.
	ConfirmedStalls map[GroupEpoch]time.Time
	// Demand is what callers ask of the models.
	Demand Demand
	// Timing holds the times that differ from the defaults.
	Timing Timing
	// rows holds the sorted rows of the board while Run runs; nil otherwise.
	rows *sortedRows
}

// GroupEpoch identifies one epoch of a group.
type GroupEpoch struct {
	Group string
	Epoch uint64
}

func (v View) timing() Timing { return v.Timing.withDefaults() }

// Actions is the output of the controllers. Commands are proposed in their order. Each command
// checks its own preconditions, so a duplicate or late command is refused and does no harm.
type Actions struct {
	Commands  []blackboard.Command
	Orders    []PlannedOrder
	Decisions []Decision
}

// PlannedOrder is an order for one engine. The caller sends it immediately, cancels it at
// Deadline, and passes the outcome to Memory.RecordAnswer.
type PlannedOrder struct {
	VM       string
	Address  string
	Order    backend.Order
	Deadline time.Time
}

// Decision is one line of the decision log.
type Decision struct {
	// Kind is pack, turn, form, load, stage, serve, break, release, drain, cold or vm.
	Kind     string
	Subject  string
	Choice   string
	RunnerUp string
	Reason   string
}

func (a *Actions) command(c blackboard.Command) { a.Commands = append(a.Commands, c) }

func (a *Actions) decide(d Decision) { a.Decisions = append(a.Decisions, d) }

// moveGroup requests a state change of one epoch of a group.
func (a *Actions) moveGroup(g blackboard.Group, to blackboard.GroupState, reason string, now time.Time) {
	a.command(&blackboard.SetGroupState{
		Group: g.ID, Epoch: g.Epoch, From: g.State, To: to,
		Reason: reason, NowMillis: now.UnixMilli(),
	})
}

// Run runs all controllers. Controllers that record facts about VMs come first, then those that
// take groups out of service, then those that bring groups into service. A command therefore
// never builds on a VM that the same run gives up.
func Run(v View, now time.Time) Actions {
	var a Actions
	v = v.withRows()
	v.Memory.window.adapt()
	v.Memory.updateCoverage(v, now)
	v.Memory.recordFirstEpoch(v)
	v.Memory.recordStates(v, now)
	v.Memory.recordModels(v)
	countLoads(v, now)
	planLayouts(v, now, &a)
	recordAnnouncements(v, now, &a)
	updateLiveness(v, now, &a)
	breakGroups(v, now, &a)
	markStragglers(v, now)
	updateColdMarks(v, now, &a)
	drainGroups(v, now, &a)
	releaseGroups(v, now, &a)
	releaseStrayEngines(v, now, &a)
	loadGroups(v, now, &a)
	formGroups(v, now, &a)
	stageStandbys(v, now, &a)
	stageWeights(v, now, &a)
	v.Memory.removeObsolete(v)
	return a
}
