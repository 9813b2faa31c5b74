package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// reportedView returns a view in which the VM "1" has just announced a and is the only member of
// the group demo-0, epoch 7, in the given state.
func reportedView(state blackboard.GroupState, change func(*backend.Announcement)) (View, time.Time) {
	now := simStart
	a := backend.Announcement{
		ID: "1", Kind: backend.KindEngine, Incarnation: "a", Sequence: 5, Address: "x:1", FabricDomain: "d",
		Group: "demo-0", Epoch: 7, Phase: backend.PhaseReady,
	}
	if change != nil {
		change(&a)
	}
	table := evidence.NewTable("entry", 1)
	table.Digest(now, evidence.Cursor{})
	table.Record(now, "entry", a)
	b := blackboard.New()
	b.Entries["entry"] = blackboard.Entry{ID: "entry"}
	b.VMs["1"] = blackboard.VM{
		ID: "1", Incarnation: "a", Address: "x:1", FabricDomain: "d", Liveness: blackboard.Alive,
		Group: "demo-0", Epoch: 7,
	}
	b.Groups["demo-0"] = blackboard.Group{
		ID: "demo-0", Spec: "demo", Model: "demo", Epoch: 7, State: state, FabricDomain: "d",
		Members: []blackboard.GroupMember{{VM: "1", Incarnation: "a", Address: "x:1"}},
	}
	b.Config.Groups["demo"] = blackboard.GroupSpec{Name: "demo", Model: "demo", Replicas: 1, VMsPerReplica: 1}
	return View{
		Board: b, Evidence: table, Memory: NewMemory(now.Add(-time.Minute), 0),
		Term: 3, LeaseUntil: now.Add(10 * time.Second),
	}, now
}

// Guards against a faulty group that continues to receive work, and against a needless teardown.
// Each case gives the announcement of a member of a serving group, and how long the fault must
// last.
func TestFaultsOfAServingGroup(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		change  func(*backend.Announcement)
		text    string
		timeout time.Duration
	}{
		{"ready", nil, "", 0},
		{"failed", func(a *backend.Announcement) { a.Phase = backend.PhaseFailed }, "member 1 failed", 0},
		{"loads again", func(a *backend.Announcement) { a.Phase = backend.PhaseLoading }, "member 1 is loading", faultTimeout},
		{"idle", func(a *backend.Announcement) { a.Group, a.Epoch = "", 0 }, "member 1 left the epoch", faultTimeout},
		{"another epoch", func(a *backend.Announcement) { a.Epoch = 6 }, "member 1 left the epoch", faultTimeout},
		{"lost another", func(a *backend.Announcement) { a.Unreachable = []string{"2"} }, "member 1 has lost 2, which is silent", lostMemberTimeout},
		{"one announcement of another incarnation", func(a *backend.Announcement) { a.Incarnation = "b" }, "member 1 restarted", faultTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, now := reportedView(blackboard.Serving, c.change)
			faults := groupFaults(v, now, v.Board.Groups["demo-0"])
			if c.text == "" {
				assert.Equal(t, len(faults), 0)
				return
			}
			assert.DeepEqual(t, faults[0].text, c.text)
			assert.Equal(t, faults[0].timeout, c.timeout)
		})
	}
	v, now := reportedView(blackboard.Serving, nil)
	row := v.Board.VMs["1"]
	row.Incarnation = "b"
	v.Board.VMs["1"] = row
	assert.Equal(t, groupFaults(v, now, v.Board.Groups["demo-0"])[0], fault{"member 1 restarted", 0})
}

// Guards against an order to load a group for an engine that still runs another: the board
// assigns a new epoch to the engine, which reports an old one. The engine must receive the order
// to leave first, and the order to load only once it reports idle.
func TestAnEngineInAnotherEpochLeavesFirst(t *testing.T) {
	t.Parallel()
	v, now := reportedView(blackboard.Loading, func(a *backend.Announcement) { a.Group, a.Epoch = "demo-4", 5 })
	a := Run(v, now)
	assert.Equal(t, len(a.Orders), 1)
	assert.Equal(t, a.Orders[0].Order.Kind, backend.OrderRelease)
	assert.Equal(t, a.Orders[0].Order.Group, "demo-4")
	assert.Equal(t, a.Orders[0].Order.Token, backend.FencingToken{Term: 3, Epoch: 5})

	v, now = reportedView(blackboard.Broken, func(a *backend.Announcement) { a.Group, a.Epoch = "demo-4", 5 })
	a = Run(v, now)
	assert.Equal(t, len(a.Orders), 1, "one order at a time")
	assert.Equal(t, a.Orders[0].Order.Group, "demo-4")

	v, now = reportedView(blackboard.Loading, func(a *backend.Announcement) { a.Group, a.Epoch, a.Phase = "", 0, backend.PhaseIdle })
	a = Run(v, now)
	assert.Equal(t, len(a.Orders), 1)
	assert.Equal(t, a.Orders[0].Order.Kind, backend.OrderLoad)
	assert.Equal(t, a.Orders[0].Order.Incarnation, "a")
	a = Run(v, now.Add(200*time.Millisecond))
	assert.Equal(t, len(a.Orders), 0, "not again before resendAfter")
}

// Guards against new work for a leaving VM after a leader change: an entry that the VM left long
// ago forwarded an old announcement of it. Only recent announcements may change a row.
func TestOldAnnouncementsChangeNoRow(t *testing.T) {
	t.Parallel()
	v, now := reportedView(blackboard.Serving, func(a *backend.Announcement) { a.Weights = []string{"demo"} })
	puts := func(at time.Time) (n int) {
		var a Actions
		recordAnnouncements(v, at, &a)
		return len(a.Commands)
	}
	assert.Equal(t, puts(now.Add(pausedAfter+1)), 0)
	assert.Equal(t, puts(now.Add(pausedAfter)), 1)
}

// Guards against a new group that breaks at once because it includes a VM that can't take part.
func TestOnlyAHealthyVMIsUsable(t *testing.T) {
	t.Parallel()
	idle := func(a *backend.Announcement) { a.Group, a.Epoch, a.Phase = "", 0, backend.PhaseIdle }
	for _, c := range []struct {
		name     string
		announce func(*backend.Announcement)
		change   func(*View, *blackboard.VM)
		want     bool
	}{
		{"idle", idle, nil, true},
		{"still runs a group", nil, nil, false},
		{"another incarnation", func(a *backend.Announcement) { idle(a); a.Incarnation = "b" }, nil, false},
		{"held by a group", idle, func(_ *View, vm *blackboard.VM) { vm.Group = "demo-1" }, false},
		{"paused", idle, func(_ *View, vm *blackboard.VM) { vm.Liveness = blackboard.Paused }, false},
		{"leaving", idle, func(_ *View, vm *blackboard.VM) { vm.Leaving = true }, false},
		{"too few accelerators", idle, func(_ *View, vm *blackboard.VM) { vm.Accelerators = 2 }, false},
		{"drained", idle, func(v *View, _ *blackboard.VM) { v.Board.Config.DrainedVMs["1"] = true }, false},
		{"failed its load", idle, func(v *View, _ *blackboard.VM) { v.Memory.avoidUntil["1"] = simStart.Add(time.Second) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, now := reportedView(blackboard.Released, c.announce)
			vm := v.Board.VMs["1"]
			vm.Group, vm.Epoch, vm.Accelerators = "", 0, 4
			if c.change != nil {
				c.change(&v, &vm)
			}
			assert.Equal(t, isUsable(v, now, vm, blackboard.GroupSpec{Accelerators: 4}), c.want)
		})
	}
}

// Guards against two faults: all groups load at once from a store of fixed rate and all finish
// last, or the group with the highest worth waits behind a load that does not end.
func TestLoadsBeginInOrderOfWorth(t *testing.T) {
	t.Parallel()
	config := func(worths ...int) blackboard.ConfigChange {
		var c blackboard.ConfigChange
		for i, w := range worths {
			name := string(rune('a' + i))
			c.Groups = append(c.Groups, blackboard.GroupSpec{Name: name, Model: name, Replicas: 1, VMsPerReplica: 1, Worth: w})
		}
		return c
	}
	states := func(w *world) string {
		text := ""
		for _, id := range sortedKeys(w.board.Groups) {
			text += id + " " + string(w.board.Groups[id].State) + ", "
		}
		return text
	}
	w := newWorld(t, 61, 1, 5, defaultPolicy, config(1, 4, 3, 2))
	w.storeSeconds = 1000
	w.run(10 * time.Second)
	assert.Equal(t, states(w), "a-0 forming, b-0 loading, c-0 loading, d-0 forming, ")
	w.change(config(1, 4, 3, 2, 9))
	w.run(5 * time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, states(w), "a-0 forming, b-0 loading, c-0 loading, d-0 forming, e-0 loading, ")
}
