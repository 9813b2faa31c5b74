package controller

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against a freed VM whose next join meets an open head, as late orders have reopened its former group.
func TestNoLateOrderReopensTheGroupOfAFreedVM(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		restarted int
		// rejoin holds the ranks that join the group again, and next the rank that joins another.
		rejoin []int
		next   int
		// otherLeader is true if the orders to join are an earlier leader's.
		otherLeader bool
		// early is true if the head joins again seconds before it opens, and the leader works meanwhile.
		early bool
	}{
		{"the head has left", 3, []int{0}, 0, false, false},
		{"the head has restarted", 0, []int{0}, 0, false, false},
		{"a member has left, then joined again", 3, []int{0, 1}, 1, false, false},
		{"a member has restarted, then joined again", 1, []int{0, 1}, 1, false, false},
		{"a member has left", 3, []int{0}, 1, false, false},
		{"the head has left, then joined again early", 3, []int{0}, 0, false, true},
		{"the head has left, another leader", 3, []int{0}, 0, true, false},
		{"the head has restarted, another leader", 0, []int{0}, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newPoolWorldOf(t, 3, 1, 4, true)
			w.load = 3 * time.Second
			held := w.holdBackFirstOrders()
			for step := 0; step < 200 && w.board.Groups["wide-0"].State != blackboard.Serving; step++ {
				w.run(simStep)
				if e := w.engines[0]; c.otherLeader && w.term == 1 && e.group == "wide-0" && e.phase == backend.PhaseLoading {
					w.term++
					w.memory = NewMemory(w.now, 0)
				}
			}
			g := w.board.Groups["wide-0"]
			assert.Equal(t, g.State, blackboard.Serving)
			w.engine(g.Members[c.restarted].Incarnation).start(w.now)
			next := g.Members[c.next]
			rejoin := func() {
				for _, rank := range c.rejoin {
					w.carryOut(held.find(g.Members[rank].VM, backend.OrderLoad, g.Epoch))
				}
				w.advanceEngines(2 * time.Second)
			}
			until := w.now.Add(3 * time.Second)
			if c.early {
				w.run(500 * time.Millisecond)
				rejoin()
				until = held.find(g.Head().VM, backend.OrderOpen, g.Epoch)[0].Deadline.Add(lateOrderLimit - orderTimeout)
			}
			for w.now.Before(until) && len(held.find(next.VM, backend.OrderLoad, g.Epoch+1)) == 0 {
				w.run(simStep)
			}
			if !c.early {
				rejoin()
			}
			w.carryOut(held.find(g.Head().VM, backend.OrderOpen, g.Epoch))
			assert.Equal(t, w.engine(g.Head().Incarnation).phase, backend.PhaseOpen)
			w.carryOut(held.find(next.VM, backend.OrderLoad, g.Epoch+1))

			w.holdBack = nil
			w.run(25 * time.Second)
			assert.Equal(t, len(w.serving()), 1)
		})
	}
}

// heldOrders are orders that the network holds back.
type heldOrders struct{ orders []PlannedOrder }

// find returns the orders of a kind to a VM for an epoch.
func (h *heldOrders) find(vm string, kind backend.OrderKind, epoch uint64) []PlannedOrder {
	var found []PlannedOrder
	for _, p := range h.orders {
		if p.VM == vm && p.Order.Kind == kind && p.Order.Token.Epoch == epoch {
			found = append(found, p)
		}
	}
	return found
}

// holdBackFirstOrders holds back the first order of each kind to each VM for each epoch.
func (w *poolWorld) holdBackFirstOrders() *heldOrders {
	held := &heldOrders{}
	w.holdBack = func(p PlannedOrder) bool {
		if p.Order.Kind != backend.OrderLoad && p.Order.Kind != backend.OrderOpen {
			return false
		}
		if len(held.find(p.VM, p.Order.Kind, p.Order.Token.Epoch)) > 0 {
			return false
		}
		held.orders = append(held.orders, p)
		return true
	}
	return held
}

// carryOut delivers orders to the engines that have the VMs' IDs now.
func (w *poolWorld) carryOut(orders []PlannedOrder) {
	for _, p := range orders {
		i := slices.IndexFunc(w.engines, func(e *poolEngine) bool { return e.address == p.VM })
		w.take(w.engines[i], p.Order)
	}
}

// advanceEngines lets time pass in which nothing reaches the leader.
func (w *poolWorld) advanceEngines(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(simStep) {
		for _, e := range w.engines {
			w.step(e)
		}
	}
}
