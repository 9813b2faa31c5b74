package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/invariant"
)

// The controllers' part for groups that open: engines of a pool form the group
// among themselves, and its first member, the head, takes requests from when it
// is told to open until it is told to close or has lost a member for
// Timing.Stall. The engines check neither that all members are there nor that a
// member is in one group only; what this package sends has to see to both.

const (
	// stallMargin is added to Timing.Stall for the time that an order's answer
	// and the head's own clock may be off.
	stallMargin = 500 * time.Millisecond
	// closeAfter is how long a draining group stays open after the blackboard
	// says so, for entries to stop sending first.
	closeAfter = 400 * time.Millisecond
	// finishLimit ends a drain whose head does not come to an end: engines let
	// a leaving member go after this time anyway.
	finishLimit = 10 * time.Second
)

// continueOpening sends the joins of a loading group, opens it once each member
// has been heard ready in this epoch, and takes it into service once its head
// says that it is open.
//
// Failure: a group opens with a member that never joined, and answers are made
// by half a model. The engines do not look, so the order to open is sent only
// on each member's own report, under the incarnation that was asked to join.
func continueOpening(v View, now time.Time, a *Actions, g blackboard.Group) {
	ready, open := 0, false
	for rank, m := range g.Members {
		r, hasReport := v.Evidence.Get(m.VM)
		if !hasReport || r.Incarnation != m.Incarnation || now.Sub(r.HeardAt) > v.Evidence.RoutableAge() {
			continue
		}
		switch {
		case headElsewhere(r, g.ID, g.Epoch):
			// A late order has made it serve again; correcting tells it to leave.
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
	if !invariant.Check(whole(v, g), "opened_group_is_whole", "group %s epoch %d", g.ID, g.Epoch) {
		return
	}
	head := g.Head()
	send(v, now, a, v.Board.VMs[head.VM], head.Incarnation, backend.Order{
		Kind: backend.OrderOpen, Group: g.ID, Token: backend.FencingToken{Term: v.Term, Epoch: g.Epoch},
	})
}

// whole tells whether a group has as many members as its model needs, and each
// has said in this epoch and under the incarnation that was asked to join that it
// is ready.
func whole(v View, g blackboard.Group) bool {
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

// headElsewhere tells whether a VM says that it heads another group that takes
// requests or is about to end. It must leave that one before it joins any other.
func headElsewhere(r evidence.Report, group string, epoch uint64) bool {
	serving := r.Phase == backend.PhaseOpen || r.Phase == backend.PhaseClosing
	return serving && (r.Group != group || r.Epoch != epoch)
}

// finishOpened lets the head of a draining group finish its requests, and tells
// whether it has.
func finishOpened(v View, now time.Time, a *Actions, g blackboard.Group) bool {
	draining := v.Memory.timeInState(g, now)
	if draining < closeAfter {
		return false
	}
	head := g.Head()
	r, hasReport := v.Evidence.Get(head.VM)
	inEpoch := hasReport && r.Incarnation == head.Incarnation && r.Group == g.ID && r.Epoch == g.Epoch
	switch {
	case draining > finishLimit, hasReport && r.Incarnation != head.Incarnation && succeeded(v, head, r):
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

// releaseOpened tells all members to leave and frees each that has done so, once
// the head surely serves no more. The answer to the order also tells who of the
// members is alive, seconds before silence would.
//
// Failure: a member joins another group while the head of its old one still
// takes requests, and the VM works for two groups. Proof that the head has
// stopped is one of three: its own report, a new incarnation of it, or, while it
// is silent, that another member has left it for longer than Timing.Stall,
// after which it gives up by itself wherever it is.
func releaseOpened(v View, now time.Time, a *Actions, g blackboard.Group) (held int) {
	ended := headEnded(v, now, g) || abandoned(v, now, g)
	for _, m := range g.Members {
		vm, ok := v.Board.VMs[m.VM]
		if !ok || vm.Group != g.ID || vm.Epoch != g.Epoch {
			continue
		}
		held++
		r, hasReport := v.Evidence.Get(m.VM)
		if !hasReport || r.Incarnation != vm.Incarnation || now.Sub(r.HeardAt) > v.timing().Paused {
			continue
		}
		if r.Incarnation != m.Incarnation || (ended && (released(v, g, m) || r.Group != g.ID || r.Epoch != g.Epoch)) {
			a.command(&blackboard.FreeVM{VM: m.VM, Group: g.ID, Epoch: g.Epoch, Incarnation: vm.Incarnation})
			continue
		}
		sendRelease(v, now, a, vm, vm.Incarnation, groupEpoch{g.ID, g.Epoch})
	}
	return held
}

// headEnded tells whether the head has left the epoch by its own report. A late
// order to open this epoch does nothing on a head that has left it.
func headEnded(v View, now time.Time, g blackboard.Group) bool {
	head := g.Head()
	r, hasReport := v.Evidence.Get(head.VM)
	if hasReport && r.Incarnation != head.Incarnation {
		return succeeded(v, head, r)
	}
	if now.Before(v.Memory.ordersFrom) {
		return false
	}
	if released(v, g, head) {
		return true
	}
	// Before any order went out the head can't have been told to open.
	return hasReport && g.State == blackboard.Broken && (r.Group != g.ID || r.Epoch != g.Epoch) && r.Epoch > g.Epoch
}

// released tells whether a member has accepted this leader's order to leave.
func released(v View, g blackboard.Group, m blackboard.GroupMember) bool {
	o := v.Memory.orders[m.VM]
	return o != nil && o.kind == backend.OrderRelease && o.accepted &&
		o.target == (groupEpoch{g.ID, g.Epoch}) && o.incarnation == m.Incarnation
}

// abandoned tells whether a member left so long ago that the head has given up.
func abandoned(v View, now time.Time, g blackboard.Group) bool {
	for _, m := range g.Members[1:] {
		if !released(v, g, m) {
			continue
		}
		if now.Sub(v.Memory.orders[m.VM].acceptedAt) > v.timing().Stall+stallMargin {
			return true
		}
	}
	return false
}
