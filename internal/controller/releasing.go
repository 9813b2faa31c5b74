package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// releaseGroups orders the members of broken and drained groups to leave their epoch, frees each
// VM on proof, and closes the group when all its VMs are free.
func releaseGroups(v View, now time.Time, a *Actions) {
	for _, g := range groupsByWorth(v) {
		if !prepareRelease(v, now, a, g) {
			continue
		}
		if g.RequiresOpenHead {
			if releasePoolGroup(v, now, a, g) == 0 {
				a.moveGroup(g, blackboard.Released, g.Reason, now)
			}
			continue
		}
		held := 0
		for _, m := range g.Members {
			vm, ok := v.Board.VMs[m.VM]
			if !ok || vm.Group != g.ID || vm.Epoch != g.Epoch {
				continue
			}
			held++
			releaseMember(v, now, a, g, m, vm)
		}
		if held == 0 {
			a.moveGroup(g, blackboard.Released, g.Reason, now)
		}
	}
}

func prepareRelease(v View, now time.Time, a *Actions, g blackboard.Group) bool {
	if g.State == blackboard.Broken {
		return true
	}
	if g.RequiresOpenHead {
		return g.State == blackboard.Draining && finishRequests(v, now, a, g)
	}
	return g.State == blackboard.Draining && isDrained(v, now, g)
}

func releaseMember(v View, now time.Time, a *Actions, g blackboard.Group, m blackboard.GroupMember, vm blackboard.VM) {
	r, hasReport := v.Evidence.Get(m.VM)
	if !hasReport || r.Incarnation != vm.Incarnation || now.Sub(r.ReceivedAt) > v.timing().PausedAfter {
		return
	}
	if r.Group != "" && (r.Group != g.ID || r.Epoch != g.Epoch) {
		// The engine runs another epoch, which releaseStrayEngines first orders it to leave.
		return
	}
	if isProvenFree(v, now, g, m, r) {
		a.command(&blackboard.FreeVM{VM: m.VM, Group: g.ID, Epoch: g.Epoch, Incarnation: vm.Incarnation})
		return
	}
	sendRelease(v, now, a, vm, vm.Incarnation, groupEpoch{g.ID, g.Epoch})
}

// isSuperseded reports whether the incarnation of a member has ended: the blackboard holds the
// incarnation of the report, or will hold it.
func isSuperseded(v View, m blackboard.GroupMember, r evidence.Report) bool {
	vm := v.Board.VMs[m.VM]
	return vm.Incarnation == r.Incarnation || supersedes(r, vm.StartedMillis)
}

// isProvenFree reports whether a VM has proved that the epoch no longer runs on it.
//
// Failure: a VM counts as free while its old group still runs, or will run once a late order
// arrives, and the VM ends up in two groups. Silence proves nothing. Proof is one of the
// following two facts, together with an idle engine:
//
//   - The engine accepted this leader's release order and announced that it is
//     idle after that. The first announcement received after the acceptance may
//     have been sent before it, so the proof is a later one; engines send one
//     announcement at a time.
//   - The process that ran the epoch has ended: a new incarnation announces.
//
// In addition, no load order of this leader may still be in transit. Load orders of earlier
// leaders ended with their leases, before this leader's first order.
func isProvenFree(v View, now time.Time, g blackboard.Group, m blackboard.GroupMember, r evidence.Report) bool {
	if r.Phase != backend.PhaseIdle || r.Group != "" {
		return false
	}
	if now.Before(v.Memory.ordersFrom) {
		return false
	}
	o := v.Memory.orders[m.VM]
	if o != nil && !now.After(o.lastLoadDeadline) {
		return false
	}
	if r.Incarnation != m.Incarnation {
		return supersedes(r, 0)
	}
	if o == nil || o.kind != backend.OrderRelease || o.target != (groupEpoch{g.ID, g.Epoch}) {
		return false
	}
	if !o.accepted || o.incarnation != r.Incarnation || !r.ReceivedAt.After(o.acceptedAt) {
		return false
	}
	if o.firstSequence == 0 {
		o.firstSequence = r.Sequence
		return false
	}
	return r.Sequence > o.firstSequence
}

// releaseStrayEngines orders engines to leave an epoch that the blackboard does not assign to
// them.
//
// Failure: an order is delivered long after it was sent, or an engine that ignores fencing obeys
// a leader that was replaced. The engine then runs a group to which nobody routes and keeps its
// accelerators busy. The controller compares the engines' reports with the blackboard and orders
// such engines to leave.
func releaseStrayEngines(v View, now time.Time, a *Actions) {
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		r, hasReport := v.Evidence.Get(id)
		if !hasReport || r.Group == "" || now.Sub(r.ReceivedAt) > v.timing().PausedAfter {
			continue
		}
		if r.Incarnation != vm.Incarnation || r.Phase == backend.PhaseReleasing {
			continue
		}
		if r.Group == vm.Group && r.Epoch == vm.Epoch {
			continue
		}
		if vm.Pool != "" && r.Phase != backend.PhaseOpen && r.Phase != backend.PhaseClosing {
			// A member of a pool that does not serve harms nobody, and its next join ends its old
			// group.
			continue
		}
		if sendRelease(v, now, a, vm, r.Incarnation, groupEpoch{r.Group, r.Epoch}) {
			a.decide(Decision{Kind: "release", Subject: id, Choice: r.Group, Reason: "the blackboard assigns another epoch to the VM"})
		}
	}
}
