package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// releasing gets the members of broken and drained groups out of their epoch,
// frees each VM on proof, and closes the group when all are free.
func releasing(v View, now time.Time, a *Actions) {
	for _, g := range groupsByWorth(v) {
		if !toRelease(v, now, a, g) {
			continue
		}
		if g.Opens {
			if releaseOpened(v, now, a, g) == 0 {
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

func toRelease(v View, now time.Time, a *Actions, g blackboard.Group) bool {
	if g.State == blackboard.Broken {
		return true
	}
	if g.Opens {
		return g.State == blackboard.Draining && finishRequests(v, now, a, g)
	}
	return g.State == blackboard.Draining && isDrained(v, now, g)
}

func releaseMember(v View, now time.Time, a *Actions, g blackboard.Group, m blackboard.GroupMember, vm blackboard.VM) {
	r, hasReport := v.Evidence.Get(m.VM)
	if !hasReport || r.Incarnation != vm.Incarnation || now.Sub(r.HeardAt) > v.timing().Paused {
		return
	}
	if r.Group != "" && (r.Group != g.ID || r.Epoch != g.Epoch) {
		// It runs something else, which correcting tells it to leave first.
		return
	}
	if freed(v, now, g, m, r) {
		a.command(&blackboard.FreeVM{VM: m.VM, Group: g.ID, Epoch: g.Epoch, Incarnation: vm.Incarnation})
		return
	}
	sendRelease(v, now, a, vm, vm.Incarnation, groupEpoch{g.ID, g.Epoch})
}

// succeeded tells whether the incarnation that a member had is gone: the
// blackboard holds the one of the report, or will.
func succeeded(v View, m blackboard.GroupMember, r evidence.Report) bool {
	vm := v.Board.VMs[m.VM]
	return vm.Incarnation == r.Incarnation || supersedes(r, vm.StartedMillis)
}

// freed tells whether a VM has proved that the epoch no longer runs on it.
//
// Failure: a VM is thought free while its old group still runs, or will run
// once a late order arrives, and it ends up in two groups. Silence proves
// nothing. Proof is one of two, and an idle engine in both:
//
//   - The engine accepted this leader's release order and announced that it is
//     idle after that. The first announcement heard after the acceptance may
//     have left before it, so the proof is a later one; engines announce one
//     at a time.
//   - The process that held the epoch is gone: a new incarnation announces.
//
// And no load order of this leader may still be on its way; those of earlier
// leaders ended with their leases, before this leader's first order.
func freed(v View, now time.Time, g blackboard.Group, m blackboard.GroupMember, r evidence.Report) bool {
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
	if !o.accepted || o.incarnation != r.Incarnation || !r.HeardAt.After(o.acceptedAt) {
		return false
	}
	if o.firstSequence == 0 {
		o.firstSequence = r.Sequence
		return false
	}
	return r.Sequence > o.firstSequence
}

// correcting tells engines to leave an epoch that the blackboard does not give
// them.
//
// Failure: an order is delivered long after it was sent, or an engine that
// ignores fencing obeys a leader that was replaced, and the engine runs what
// nobody routes to, holding its accelerators. What engines report is compared
// with the blackboard, and they are told to leave.
func correcting(v View, now time.Time, a *Actions) {
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		r, hasReport := v.Evidence.Get(id)
		if !hasReport || r.Group == "" || now.Sub(r.HeardAt) > v.timing().Paused {
			continue
		}
		if r.Incarnation != vm.Incarnation || r.Phase == backend.PhaseReleasing {
			continue
		}
		if r.Group == vm.Group && r.Epoch == vm.Epoch {
			continue
		}
		if vm.Pool != "" && r.Phase != backend.PhaseOpen && r.Phase != backend.PhaseClosing {
			// A member of a pool that does not serve harms nobody, and the next
			// join takes it out.
			continue
		}
		if sendRelease(v, now, a, vm, r.Incarnation, groupEpoch{r.Group, r.Epoch}) {
			a.decide(Decision{Kind: "release", Subject: id, Choice: r.Group, Reason: "the blackboard gives the VM another epoch"})
		}
	}
}
