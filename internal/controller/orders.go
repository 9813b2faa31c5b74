package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/invariant"
)

const (
	// driftMargin covers clocks that run at different speeds: 100 ms is over 1% of the longest
	// lease in use, and crystals stay within 0.1%.
	driftMargin = 100 * time.Millisecond
	// orderTimeout limits one order. Engines answer when they have accepted the order, not when
	// they have completed it.
	orderTimeout = 2 * time.Second
	// minOrderTime is the shortest time left for which an order is worth sending; an answer
	// across data centres takes a few milliseconds.
	minOrderTime = 100 * time.Millisecond
	// resendAfter is the time after which an order without a visible effect is sent again: after
	// its deadline, and after an announcement could have shown the effect.
	resendAfter = 3 * time.Second
)

// orderDeadline returns the deadline of an order sent now, and whether an order may be sent.
//
// Failure: a leader that has been replaced continues to send orders, and an engine that ignores
// fencing tokens obeys the old leader after the new one. The guard holds because an order is
// cancelled before the sender's lease ends, and a new leader sends nothing before that end.
// releaseStrayEngines finds the effect of an order that is delivered even later, out of the
// buffers of a stopped engine. No group is routable on the strength of an order alone.
func orderDeadline(v View, now time.Time) (time.Time, bool) {
	if now.Before(v.Memory.ordersFrom) {
		return time.Time{}, false
	}
	deadline := now.Add(orderTimeout)
	if limit := v.LeaseUntil.Add(-driftMargin); limit.Before(deadline) {
		deadline = limit
	}
	return deadline, deadline.Sub(now) >= minOrderTime
}

// send plans an order. It plans nothing if the lease is too short, the same order was sent less
// than Timing.ResendAfter ago, the engine has asked for a back-off, too many orders are in flight,
// or the weight store has no capacity for the load that the order starts; then a later run plans
// the order.
func send(v View, now time.Time, a *Actions, vm blackboard.VM, incarnation string, o backend.Order) bool {
	deadline, ok := orderDeadline(v, now)
	if !ok {
		return false
	}
	if !v.Memory.window.hasCapacity(now) {
		return false
	}
	r := v.Memory.orders[vm.ID]
	target := groupEpoch{o.Group, o.Token.Epoch}
	if r == nil {
		r = &orderRecord{}
		v.Memory.orders[vm.ID] = r
	}
	if r.incarnation == incarnation && now.Before(r.notBefore) {
		return false
	}
	same := r.kind == o.Kind && r.target == target && r.incarnation == incarnation
	if same && now.Sub(r.sentAt) < v.timing().ResendAfter {
		return false
	}
	store := v.Memory.storeOf(vm.Pool)
	loads := vm.Pool != "" && o.Kind == backend.OrderLoad && needsFetch(v, vm, o.Model)
	if loads && !store.hasCapacity(v.Board.Config.Services[vm.Pool].Engine) {
		return false
	}
	if !same {
		*r = orderRecord{
			kind: o.Kind, target: target, incarnation: incarnation, firstSentAt: now, lastLoadDeadline: r.lastLoadDeadline,
		}
	}
	r.sentAt, r.fetches = now, loads
	v.Memory.window.recordSent(vm.ID, now)
	if loads {
		store.add(now, vm.ID)
	}
	if o.Kind == backend.OrderLoad {
		r.lastLoadDeadline = deadline
	}
	if vm.Pool != "" {
		v.Memory.addUnsettled(now, vm.ID, o, deadline)
	}
	o.Incarnation = incarnation
	a.Orders = append(a.Orders, PlannedOrder{VM: vm.ID, Address: vm.Address, Order: o, Deadline: deadline})
	return true
}

// sendLoad orders one member of a group to load.
func sendLoad(v View, now time.Time, a *Actions, g blackboard.Group, rank int) bool {
	if !v.Memory.window.hasCapacity(now) {
		return false
	}
	members := make([]backend.GroupMember, len(g.Members))
	for i, m := range g.Members {
		members[i] = backend.GroupMember{VM: m.VM, Address: m.Address, Incarnation: m.Incarnation}
	}
	member := g.Members[rank]
	r, _ := v.Evidence.Get(member.VM)
	if !invariant.Check(!headsOtherGroup(r, g.ID, g.Epoch), "no_join_while_head", "VM %s heads %s epoch %d, joins %s epoch %d",
		member.VM, r.Group, r.Epoch, g.ID, g.Epoch) {
		return false
	}
	return send(v, now, a, v.Board.VMs[member.VM], member.Incarnation, backend.Order{
		Kind:  backend.OrderLoad,
		Token: backend.FencingToken{Term: v.Term, Epoch: g.Epoch},
		Group: g.ID, Model: g.Model, Members: members, Rank: rank,
	})
}

// sendRelease orders an engine to leave one epoch of a group.
func sendRelease(v View, now time.Time, a *Actions, vm blackboard.VM, incarnation string, from groupEpoch) bool {
	return send(v, now, a, vm, incarnation, backend.Order{
		Kind:  backend.OrderRelease,
		Token: backend.FencingToken{Term: v.Term, Epoch: from.epoch},
		Group: from.group,
	})
}
