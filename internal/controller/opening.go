package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/invariant"
)

// This file handles the groups that open. The engines of a pool form the group among themselves.
// The group's first member, the head, takes requests from its order to open until its order to
// close, or until it has lost a member for Timing.Stall. The engines check neither that all
// members have joined nor that a member is in one group only. The orders of this package have to
// ensure both.

const (
	// stallMargin is added to Timing.Stall for the delay of an order's answer and the inaccuracy
	// of the head's own clock.
	stallMargin = 500 * time.Millisecond
	// closeDelay is how long a draining group stays open after its state on the blackboard
	// changes, so that entries stop sending first.
	closeDelay = 400 * time.Millisecond
	// finishTimeout ends a drain whose head does not finish its requests: engines let a leaving
	// member go after this time anyway.
	finishTimeout = 10 * time.Second
)

// continuePoolLoading sends the joins of a loading group. It opens the group once each member has
// reported ready in this epoch, and takes the group into service once its head reports that it is
// open.
//
// Failure: a group opens with a member that never joined, and half a model produces the answers.
// The engines do not check this. The order to open is therefore sent only on each member's own
// report, under the incarnation that received the order to join.
func continuePoolLoading(v View, now time.Time, a *Actions, g blackboard.Group) {
	ready, open := 0, false
	for rank, m := range g.Members {
		r, hasReport := v.Evidence.Get(m.VM)
		if !hasReport || r.Incarnation != m.Incarnation || now.Sub(r.ReceivedAt) > v.Evidence.RoutableAge() {
			continue
		}
		switch {
		case headsOtherGroup(r, g.ID, g.Epoch):
			// A late order has made the member serve again; releaseStrayEngines orders it to
			// leave.
		case r.Group != g.ID || r.Epoch != g.Epoch:
			sendLoad(v, now, a, g, rank)
		case r.Phase == backend.PhaseReady:
			ready++
		case r.Phase == backend.PhaseOpen:
			ready++
			open = true
		}
	}
	if ready < len(g.Members) {
		return
	}
	if !open {
		sendOpen(v, now, a, g)
		return
	}
	a.moveGroup(g, blackboard.Serving, "all members ready and the head open", now)
	a.decide(Decision{Kind: "serve", Subject: g.ID, Choice: "serving", Reason: "all members ready in this epoch and the head open"})
}

func sendOpen(v View, now time.Time, a *Actions, g blackboard.Group) {
	if !invariant.Check(isComplete(v, g), "opened_group_is_whole", "group %s epoch %d", g.ID, g.Epoch) {
		return
	}
	head := g.Head()
	send(v, now, a, v.Board.VMs[head.VM], head.Incarnation, backend.Order{
		Kind: backend.OrderOpen, Group: g.ID, Token: backend.FencingToken{Term: v.Term, Epoch: g.Epoch},
	})
}

// isComplete reports whether a group has as many members as its model needs, and each member has
// reported ready in this epoch, under the incarnation that received the order to join.
func isComplete(v View, g blackboard.Group) bool {
	if spec, known := v.Board.Config.Groups[g.Spec]; known && len(g.Members) != spec.VMsPerReplica {
		return false
	}
	for _, m := range g.Members {
		r, hasReport := v.Evidence.Get(m.VM)
		if !hasReport || r.Incarnation != m.Incarnation || r.Group != g.ID || r.Epoch != g.Epoch || r.Phase != backend.PhaseReady {
			return false
		}
	}
	return true
}

// headsOtherGroup reports whether a VM states that it heads another group that takes requests or
// is closing. It must leave that group before it joins any other.
func headsOtherGroup(r evidence.Report, group string, epoch uint64) bool {
	serving := r.Phase == backend.PhaseOpen || r.Phase == backend.PhaseClosing
	return serving && (r.Group != group || r.Epoch != epoch)
}

// finishRequests lets the head of a draining group finish its requests, and reports whether it
// has finished.
func finishRequests(v View, now time.Time, a *Actions, g blackboard.Group) bool {
	draining := v.Memory.timeInState(g, now)
	if draining < closeDelay {
		return false
	}
	head := g.Head()
	r, hasReport := v.Evidence.Get(head.VM)
	inEpoch := hasReport && r.Incarnation == head.Incarnation && r.Group == g.ID && r.Epoch == g.Epoch
	switch {
	case acceptedRelease(v, g, head):
		// The head has left, so its report no longer names the group.
		return true
	case draining > finishTimeout, hasReport && r.Incarnation != head.Incarnation && isSuperseded(v, head, r):
		return true
	case inEpoch && r.Phase != backend.PhaseOpen && r.Phase != backend.PhaseClosing:
		return true
	case inEpoch:
		send(v, now, a, v.Board.VMs[head.VM], head.Incarnation, backend.Order{
			Kind: backend.OrderClose, Group: g.ID, Finish: true,
			Token: backend.FencingToken{Term: v.Term, Epoch: g.Epoch},
		})
	}
	return false
}

// releasePoolGroup orders all members to leave and frees each member that has left, once the head
// has certainly stopped serving. The answer to the order also shows which members are alive,
// seconds before their silence would.
//
// Failure: a member joins another group while the head of its old group still takes requests, and
// the VM works for two groups. Each of three facts proves that the head has stopped: its own
// report; a new incarnation of it; or, while it is silent, that another member left it longer
// than Timing.Stall ago. After that time the head stops serving by itself wherever it is. The
// members are held while late orders may make the head open the group again.
func releasePoolGroup(v View, now time.Time, a *Actions, g blackboard.Group) (held int) {
	ended := hasHeadLeft(v, now, g) || hasHeadTimedOut(v, now, g)
	reopens := mayReopen(v, now, g)
	for _, m := range g.Members {
		vm, ok := v.Board.VMs[m.VM]
		if !ok || vm.Group != g.ID || vm.Epoch != g.Epoch {
			continue
		}
		held++
		r, hasReport := v.Evidence.Get(m.VM)
		if !hasReport || r.Incarnation != vm.Incarnation || now.Sub(r.ReceivedAt) > v.timing().PausedAfter {
			continue
		}
		if r.Incarnation != m.Incarnation || (ended && (acceptedRelease(v, g, m) || r.Group != g.ID || r.Epoch != g.Epoch)) {
			if reopens {
				holdMember(v, now, a, g, vm, r)
				continue
			}
			a.command(&blackboard.FreeVM{VM: m.VM, Group: g.ID, Epoch: g.Epoch, Incarnation: vm.Incarnation})
			continue
		}
		sendRelease(v, now, a, vm, vm.Incarnation, groupEpoch{g.ID, g.Epoch})
	}
	return held
}

// hasHeadLeft reports whether the head has left the epoch by its own report. A late order to open
// this epoch has no effect on a head that has left it, unless a late order to join comes first.
func hasHeadLeft(v View, now time.Time, g blackboard.Group) bool {
	head := g.Head()
	r, hasReport := v.Evidence.Get(head.VM)
	if hasReport && r.Incarnation != head.Incarnation {
		return isSuperseded(v, head, r)
	}
	if now.Before(v.Memory.ordersFrom) {
		return false
	}
	if acceptedRelease(v, g, head) {
		return true
	}
	// Before any order was sent, the head cannot have received an order to open.
	return hasReport && g.State == blackboard.Broken && (r.Group != g.ID || r.Epoch != g.Epoch) && r.Epoch > g.Epoch
}

// acceptedRelease reports whether a member has accepted this leader's order to leave.
func acceptedRelease(v View, g blackboard.Group, m blackboard.GroupMember) bool {
	o := v.Memory.orders[m.VM]
	return o != nil && o.kind == backend.OrderRelease && o.accepted &&
		o.target == (groupEpoch{g.ID, g.Epoch}) && o.incarnation == m.Incarnation
}

// hasHeadTimedOut reports whether a member left so long ago that the head has stopped serving by
// itself.
func hasHeadTimedOut(v View, now time.Time, g blackboard.Group) bool {
	for _, m := range g.Members[1:] {
		if !acceptedRelease(v, g, m) {
			continue
		}
		if now.Sub(v.Memory.orders[m.VM].acceptedAt) > v.timing().Stall+stallMargin {
			return true
		}
	}
	return false
}
