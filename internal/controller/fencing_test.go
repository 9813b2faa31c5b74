package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against a serving group that loses a member through a late order. The load order of an
// earlier leader is delayed and reaches a VM that has since been released and serves in another
// epoch. An engine that checks fencing must refuse the order. An engine that does not check will
// obey. Then the group must be unroutable within the freshness bound, the engine must receive an
// order to leave, and a new epoch must serve.
func TestAnOrderDelayedPastALeaderChange(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(map[bool]string{true: "engine checks", false: "engine ignores"}[fencing], func(t *testing.T) {
			w := newWorld(t, 11, 1, 4, defaultPolicy, demoConfig(1, 3))
			for _, e := range w.engines {
				e.fencing = fencing
			}
			w.run(20 * time.Second)
			first := w.board.Groups["demo-0"]
			late := PlannedOrder{VM: first.Members[0].VM, Deadline: w.now, Order: backend.Order{
				Kind: backend.OrderLoad, Token: backend.FencingToken{Term: 1, Epoch: first.Epoch},
				Incarnation: first.Members[0].Incarnation, Group: first.ID, Model: first.Model,
			}}
			w.lead(1)
			w.byID[first.Members[1].VM].kill()
			w.run(40 * time.Second)
			assert.Assert(t, w.allServing())
			second := w.board.VMs[late.VM]
			assert.Assert(t, second.Epoch > first.Epoch, "the VM serves in a later epoch")

			reply := backend.OrderReply{}
			w.byID[late.VM].take(late, func(r backend.OrderReply) { reply = r })
			assert.Equal(t, reply.Accepted, !fencing)
			w.run(1400 * time.Millisecond)
			routable, _ := w.entries[2].table.Routable(w.now, w.board, second.Group)
			assert.Equal(t, routable, fencing)
			w.run(40 * time.Second)
			requireNoFailure(t, w)
			assert.Assert(t, w.allServing() && w.matchesBoard(), w.states())
			assert.Equal(t, w.board.VMs[late.VM].Epoch == second.Epoch, fencing)
		})
	}
}

// Guards against two leaders that send orders to one engine at the same time. The old leader is
// cut off and still relies on its lease; the new leader must send nothing before that lease ends.
func TestANewLeaderWaitsOutTheOldLease(t *testing.T) {
	w := newWorld(t, 12, 1, 3, defaultPolicy, demoConfig(1, 3))
	w.run(1500 * time.Millisecond)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Loading)
	at := w.now
	memory := NewMemory(at, simLease)
	sent := time.Duration(-1)
	for d := time.Duration(0); d < 3*time.Second; d += 50 * time.Millisecond {
		now := at.Add(d)
		v := View{Board: w.board, Evidence: w.entries[0].table, Memory: memory, Term: 9, LeaseUntil: now.Add(simLease)}
		for rank := range w.board.Groups["demo-0"].Members {
			var a Actions
			if sendLoad(v, now, &a, w.board.Groups["demo-0"], rank) && sent < 0 {
				sent = d
			}
		}
	}
	assert.Assert(t, sent >= simLease+driftMargin, "sent after %s", sent)
}

// A leader is about to lose its lease. An order whose deadline would come after the end of the
// lease must get the shorter deadline, or not be sent at all.
func TestAnOrdersDeadlineEndsBeforeTheLease(t *testing.T) {
	now := simStart
	for _, c := range []struct {
		lease time.Duration
		ok    bool
		left  time.Duration
	}{
		{10 * time.Second, true, orderTimeout},
		{time.Second, true, time.Second - driftMargin},
		{driftMargin + minOrderTime - 1, false, minOrderTime - 1},
		{-time.Second, false, -time.Second - driftMargin},
	} {
		v := View{Memory: NewMemory(now.Add(-time.Minute), 0), LeaseUntil: now.Add(c.lease)}
		deadline, ok := orderDeadline(v, now)
		assert.Equal(t, ok, c.ok)
		assert.Equal(t, deadline.Sub(now), c.left)
	}
}

// Guards against a VM that joins a second group while the first still runs on it. Each case gives
// what the leader knows about a member of a broken group, and whether that proves the VM free.
func TestAVMIsFreedOnProofOnly(t *testing.T) {
	now := simStart.Add(time.Minute)
	released := func(change func(*orderRecord)) *orderRecord {
		o := &orderRecord{
			kind: backend.OrderRelease, target: groupEpoch{"demo-0", 5}, incarnation: "a",
			accepted: true, acceptedAt: now.Add(-3 * time.Second), firstSequence: 20,
		}
		if change != nil {
			change(o)
		}
		return o
	}
	for _, c := range []struct {
		name        string
		order       *orderRecord
		incarnation string
		sequence    uint64
		phase       backend.Phase
		want        bool
	}{
		{"accepted and idle after it", released(nil), "a", 21, backend.PhaseIdle, true},
		{"idle, nothing ordered: a load may be on its way", nil, "a", 21, backend.PhaseIdle, false},
		{"accepted, still releasing", released(nil), "a", 21, backend.PhaseReleasing, false},
		{"not answered", released(func(o *orderRecord) { o.accepted = false }), "a", 21, backend.PhaseIdle, false},
		{"the announcement may have left before", released(nil), "a", 20, backend.PhaseIdle, false},
		{"first announcement after", released(func(o *orderRecord) { o.firstSequence = 0 }), "a", 21, backend.PhaseIdle, false},
		{"release of another epoch", released(func(o *orderRecord) { o.target.epoch = 4 }), "a", 21, backend.PhaseIdle, false},
		{"a load order is on its way", released(func(o *orderRecord) { o.lastLoadDeadline = now.Add(time.Second) }), "a", 21, backend.PhaseIdle, false},
		{"a new incarnation goes on announcing", nil, "b", 21, backend.PhaseIdle, true},
		{"one announcement of a new incarnation", nil, "b", 1, backend.PhaseIdle, false},
		{"a new incarnation obeyed a late order", nil, "b", 21, backend.PhaseLoading, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := View{Memory: NewMemory(simStart, 0)}
			if c.order != nil {
				v.Memory.orders["vm"] = c.order
			}
			r := reportOf("vm", c.incarnation, c.sequence, c.phase, now)
			g := blackboard.Group{ID: "demo-0", Epoch: 5}
			got := isProvenFree(v, now, g, blackboard.GroupMember{VM: "vm", Incarnation: "a"}, r)
			assert.Equal(t, got, c.want)
		})
	}
}
