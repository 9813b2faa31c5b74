package controller

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// maxOrderDelay is the longest time from sending an order to its effect.
const maxOrderDelay = orderTimeout + lateOrderLimit

// unsettledOrder is an order to join or to open a group that the engine has not answered. The engine
// may carry it out until the given time, also after newer orders, and after a restart under its ID.
type unsettledOrder struct {
	kind   backend.OrderKind
	target groupEpoch
	until  time.Time
}

// addUnsettled records an order that is being sent.
func (m *Memory) addUnsettled(now time.Time, vm string, o backend.Order, deadline time.Time) {
	if o.Kind != backend.OrderLoad && o.Kind != backend.OrderOpen {
		return
	}
	left := slices.DeleteFunc(m.unsettled[vm], func(u unsettledOrder) bool { return now.After(u.until.Add(maxOrderDelay)) })
	m.unsettled[vm] = append(left, newUnsettled(o, deadline))
}

// settle removes an order that the engine has answered, or that has not reached it.
func (m *Memory) settle(o PlannedOrder, err error) {
	if !isSettled(err) {
		return
	}
	orders := m.unsettled[o.VM]
	if i := slices.Index(orders, newUnsettled(o.Order, o.Deadline)); i >= 0 {
		m.unsettled[o.VM] = slices.Delete(orders, i, i+1)
	}
}

func newUnsettled(o backend.Order, deadline time.Time) unsettledOrder {
	return unsettledOrder{kind: o.Kind, target: groupEpoch{o.Group, o.Token.Epoch}, until: deadline.Add(lateOrderLimit)}
}

// isSettled reports whether an order with this outcome is not carried out later.
func isSettled(err error) bool {
	if err == nil {
		return true
	}
	var call *backend.CallError
	if !errors.As(err, &call) {
		return false
	}
	refused := call.Status >= http.StatusBadRequest && call.Status < http.StatusInternalServerError
	return refused || call.Stage == backend.StageNotSent || call.Stage == backend.StageRefused
}

// isUnsettled reports whether an engine may still carry out an order. What earlier leaders sent is not
// known: their orders to join are taken as unanswered, but their orders to open are not, as no group
// that breaks after a change of leaders could be replaced for that time.
func (m *Memory) isUnsettled(now time.Time, vm string, kind backend.OrderKind, target groupEpoch) bool {
	if kind == backend.OrderLoad && target.epoch < m.firstEpoch && now.Before(m.ordersFrom.Add(lateOrderLimit)) {
		return true
	}
	return slices.ContainsFunc(m.unsettled[vm], func(u unsettledOrder) bool {
		return u.kind == kind && u.target == target && !now.After(u.until)
	})
}

// mayReopen reports whether late orders may make the head of a group that was given up open it. A
// head that has left has to join it again before.
//
// Failure: the head accepts the order to leave, or restarts, and the members are freed. It then
// carries out late orders to join and to open the group, and a member's next join finds it open.
func mayReopen(v View, now time.Time, g blackboard.Group) bool {
	epoch, head := groupEpoch{g.ID, g.Epoch}, g.Head()
	if !v.Memory.isUnsettled(now, head.VM, backend.OrderOpen, epoch) {
		return false
	}
	// A late join may have been carried out before its limit passed.
	return v.Memory.isUnsettled(now.Add(-maxOrderDelay), head.VM, backend.OrderLoad, epoch) || !hasHeadLeft(v, now, g)
}

// holdMember keeps a member in its former group, and orders it to leave if it serves again.
func holdMember(v View, now time.Time, a *Actions, g blackboard.Group, vm blackboard.VM, r evidence.Report) {
	epoch := groupEpoch{g.ID, g.Epoch}
	if v.Memory.holds[vm.ID] != epoch {
		v.Memory.holds[vm.ID] = epoch
		a.decide(Decision{Kind: "hold", Subject: vm.ID, Choice: g.ID, Reason: "late orders may make the head open the group again"})
	}
	if r.Phase == backend.PhaseOpen || r.Phase == backend.PhaseClosing {
		sendRelease(v, now, a, vm, r.Incarnation, groupEpoch{r.Group, r.Epoch})
	}
}
