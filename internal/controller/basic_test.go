package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	m.Run()
}

func demoConfig(replicas, vms int) blackboard.ConfigChange {
	return blackboard.ConfigChange{Groups: []blackboard.GroupSpec{
		{Name: "demo", Model: "demo", Replicas: replicas, VMsPerReplica: vms, Worth: 10},
	}}
}

func requireNoFailure(t *testing.T, w *world) {
	t.Helper()
	assert.Assert(t, w.failed == "", w.failed)
}

func TestGroupsAreFormedLoadedAndServing(t *testing.T) {
	w := newWorld(t, 1, 2, 4, defaultPolicy, demoConfig(2, 3))
	w.run(time.Minute)
	requireNoFailure(t, w)
	assert.Assert(t, w.allServing())
	a, b := w.board.Groups["demo-0"], w.board.Groups["demo-1"]
	assert.Assert(t, a.FabricDomain != b.FabricDomain, "both groups in one domain")
}

// Guards against callers' requests that hang after the loss of one VM, which ends its group. The
// group must be unroutable within the freshness bound, be torn down once the VM counts as dead,
// and return on the spare VM.
func TestADeadMemberBreaksTheGroupAndASpareRepairsIt(t *testing.T) {
	w := newWorld(t, 2, 1, 4, defaultPolicy, demoConfig(1, 3))
	w.run(time.Minute)
	g := w.board.Groups["demo-0"]
	assert.Equal(t, g.State, blackboard.Serving)
	dead := g.Members[0].VM
	w.byID[dead].kill()
	w.run(1500 * time.Millisecond)
	for _, n := range w.entries {
		ok, _ := n.table.Routable(w.now, n.board, g.ID)
		assert.Assert(t, !ok)
	}
	w.run(deadAfter + 30*time.Second)
	requireNoFailure(t, w)
	assert.Assert(t, w.allServing())
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Broken, "its dead member proves nothing")
	assert.Equal(t, w.board.VMs[dead].Group, "demo-0")
	w.byID[dead].start()
	w.run(20 * time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Released)
	assert.Equal(t, w.board.VMs[dead].Group, "")
}

// Guards against a reload for a member that only pauses. The member pauses for six seconds. The
// group must be unroutable meanwhile and then serve again in the same epoch, at whatever point of
// the announcement interval the pause begins.
func TestAPausedMemberStopsRoutingButKeepsTheEpoch(t *testing.T) {
	for offset := range 16 {
		w := newWorld(t, int64(offset), 1, 4, defaultPolicy, demoConfig(1, 3))
		w.run(time.Minute + time.Duration(offset)*30*time.Millisecond)
		g := w.board.Groups["demo-0"]
		w.byID[g.Members[1].VM].pause(6 * time.Second)
		w.run(4 * time.Second)
		assert.Equal(t, w.board.VMs[g.Members[1].VM].Liveness, blackboard.Paused)
		ok, _ := w.entries[0].table.Routable(w.now, w.board, g.ID)
		assert.Assert(t, !ok)
		w.run(10 * time.Second)
		requireNoFailure(t, w)
		assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Serving, "offset %d: %s", offset, w.states())
		assert.Equal(t, w.board.NextEpoch, g.Epoch+1)
		assert.Assert(t, w.allServing())
	}
}
