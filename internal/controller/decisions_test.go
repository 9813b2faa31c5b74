package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

func reportOf(vm, incarnation string, sequence uint64, phase backend.Phase, at time.Time) evidence.Report {
	return evidence.Report{
		DigestLine: evidence.DigestLine{
			Kind: backend.KindEngine, ID: vm, Incarnation: incarnation, Sequence: sequence, Phase: phase,
		},
		ReceivedAt: at, FirstSequence: 1,
	}
}

// Guards against the teardown of all groups by a leader that is cut off from most entries and
// receives no announcements. Such a leader can't distinguish its own isolation from the death of
// the VMs. It must conclude nothing until a majority of entries has been reachable for long
// enough.
func TestALeaderThatIsCutOffConcludesNothing(t *testing.T) {
	w := newWorld(t, 21, 1, 3, defaultPolicy, demoConfig(1, 3))
	w.run(20 * time.Second)
	for _, n := range w.entries[1:] {
		n.cut = true
	}
	for _, e := range w.engines {
		e.dark = true
	}
	w.run(30 * time.Second)
	for _, vm := range w.board.VMs {
		assert.Equal(t, vm.Liveness, blackboard.Alive)
	}
	for _, n := range w.entries[1:] {
		n.cut = false
	}
	w.run(deadAfter - time.Second)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Serving, "silence counts only while announcements can arrive")
	w.run(3 * time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Broken)
}

// Guards against a flapping VM that breaks group after group. With each return it must stay alive
// longer before it may join again.
func TestAFlappingVMWaitsLongerEachTime(t *testing.T) {
	now := simStart.Add(time.Hour)
	vm := blackboard.VM{Liveness: blackboard.Alive}
	waited := func(flaps int) time.Duration {
		vm.Flaps = flaps
		for d := time.Duration(0); ; d += time.Second {
			vm.SinceMillis = now.Add(-d).UnixMilli()
			if isStable(View{}, vm, now) {
				return d
			}
		}
	}
	assert.Equal(t, waited(0), time.Duration(0))
	assert.Equal(t, waited(1), 2*rejoinWait)
	assert.Equal(t, waited(3), 8*rejoinWait)
	assert.Equal(t, waited(40), maxRejoinWait)
	vm.Liveness = blackboard.Straggler
	assert.Assert(t, !isStable(View{}, vm, now))
}

// Guards against liveness that changes with each late announcement. The smoothed interval decides
// between a straggler and a healthy VM, with a gap between both thresholds.
func TestStragglerHysteresis(t *testing.T) {
	for _, c := range []struct {
		is   blackboard.Liveness
		gap  time.Duration
		want blackboard.Liveness
	}{
		{blackboard.Alive, recoveredIntervals * evidence.AnnounceInterval, blackboard.Alive},
		{blackboard.Alive, stragglerIntervals * evidence.AnnounceInterval, blackboard.Alive},
		{blackboard.Alive, stragglerIntervals*evidence.AnnounceInterval + 1, blackboard.Straggler},
		{blackboard.Straggler, recoveredIntervals*evidence.AnnounceInterval + 1, blackboard.Straggler},
		{blackboard.Straggler, recoveredIntervals * evidence.AnnounceInterval, blackboard.Alive},
		{blackboard.Paused, recoveredIntervals * evidence.AnnounceInterval, blackboard.Alive},
	} {
		assert.Equal(t, livenessByGap(c.is, evidence.Report{Gap: c.gap}, evidence.AnnounceInterval), c.want)
	}
}

// Guards against a large group that never returns because narrow groups worth less take its
// survivors one by one as they become free. The large group must return in one new epoch, on its
// survivors and one VM of a small group.
func TestSurvivorsAreHeldForTheGroupWorthMore(t *testing.T) {
	w := newWorld(t, 31, 1, 6, defaultPolicy, blackboard.ConfigChange{Groups: []blackboard.GroupSpec{
		{Name: "large", Model: "large", Replicas: 1, VMsPerReplica: 4, Worth: 100},
		{Name: "small", Model: "small", Replicas: 4, VMsPerReplica: 1, Worth: 10},
	}})
	w.run(40 * time.Second)
	g := w.board.Groups["large-0"]
	assert.Equal(t, g.State, blackboard.Serving)
	epochs := w.board.NextEpoch
	w.byID[g.Members[2].VM].kill()
	w.run(deadAfter + takeOverAfter + 30*time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, w.board.Groups["large-1"].State, blackboard.Serving, w.states())
	assert.Equal(t, w.board.NextEpoch, epochs+1)
}

// A takeover shortens the downtime of one group and strands accelerators. The preset's weights
// must decide: a takeover where downtime weighs more, waiting where stranded accelerators weigh
// more.
func TestTheWeightsDecideATakeover(t *testing.T) {
	gain := func(downtime, stranded float64, worth, vms int) float64 {
		b := blackboard.New()
		b.Config.Groups["large"] = blackboard.GroupSpec{Name: "large", Worth: 100, VMsPerReplica: 4}
		b.Config.Groups["small"] = blackboard.GroupSpec{Name: "small", Worth: worth, VMsPerReplica: vms}
		b.Config.Presets["p"] = blackboard.Preset{DowntimeWeight: downtime, StrandedWeight: stranded}
		b.Config.ActivePreset = "p"
		g := blackboard.Group{Spec: "small", Members: make([]blackboard.GroupMember, vms)}
		return gainOf(View{Board: b}, []blackboard.Group{g}, b.Config.Groups["large"])
	}
	assert.Assert(t, gain(3, 1, 10, 6) > 0)
	assert.Assert(t, gain(1, 3, 10, 6) < 0)
	assert.Assert(t, gain(1, 3, 10, 2) > 0, "a small victim strands nothing")
	assert.Assert(t, gain(3, 1, 90, 4) < 0, "nearly equal worth is not worth a reload")
}

// Guards against a group that answers only now and then, because one member announces itself so
// rarely that half of the time its evidence is too old. With a spare, a replacement must load
// beside the group and then take over. Without a spare, the group must stay as it is.
func TestAGroupWithAStragglerIsReplaced(t *testing.T) {
	for _, spare := range []int{2, 1} {
		w := newWorld(t, 47, 1, 2+spare, defaultPolicy, demoConfig(1, 2))
		w.run(30 * time.Second)
		w.byID[w.board.Groups["demo-0"].Members[0].VM].slow = 6
		w.run(stragglerTimeout + 40*time.Second)
		requireNoFailure(t, w)
		if spare < 2 {
			assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Serving, w.states())
			continue
		}
		assert.Equal(t, w.board.Groups["demo-1"].State, blackboard.Serving, w.states())
		assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Released)
	}
}

// Guards against new work for a VM that has been leaving for seconds. Its group must stop being
// routable at once and be drained, and the group must return on other VMs.
func TestALeavingVMGetsNoNewWork(t *testing.T) {
	w := newWorld(t, 41, 1, 7, defaultPolicy, demoConfig(1, 3))
	w.run(30 * time.Second)
	g := w.board.Groups["demo-0"]
	w.byID[g.Members[0].VM].leaving = true
	w.run(time.Second)
	ok, _ := w.entries[1].table.Routable(w.now, w.board, g.ID)
	assert.Assert(t, !ok)
	w.run(30 * time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Released)
	assert.Assert(t, w.allServing())
}

// Guards against downtime by a planned drain. With a spare, the group must serve until its
// replacement serves; without one, it must drain all the same.
func TestADrainedVMIsReplacedFirst(t *testing.T) {
	for _, spare := range []int{3, 0} {
		w := newWorld(t, 42, 1, 3+spare, defaultPolicy, demoConfig(1, 3))
		w.run(30 * time.Second)
		before := w.score.down["demo"]
		w.change(blackboard.ConfigChange{DrainVMs: []string{w.board.Groups["demo-0"].Members[0].VM}})
		w.run(time.Minute)
		requireNoFailure(t, w)
		assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Released)
		if spare > 0 {
			assert.Equal(t, w.score.down["demo"], before, "no downtime")
			assert.Assert(t, w.allServing())
		}
	}
}

// Guards against answers cut off by a planned drain: the wait of three minutes for the
// replacement counted against the time for work in flight. The group must be released when its
// work is done and not before.
func TestADrainCutsOffNoWork(t *testing.T) {
	w := newWorld(t, 46, 1, 6, defaultPolicy, demoConfig(1, 3))
	w.run(30 * time.Second)
	w.storeSeconds = 60
	members := w.board.Groups["demo-0"].Members
	for _, m := range members {
		w.byID[m.VM].running = 1
	}
	w.change(blackboard.ConfigChange{DrainGroups: []string{"demo-0"}})
	w.run(190 * time.Second)
	assert.Equal(t, w.board.Groups["demo-1"].State, blackboard.Serving, w.states())
	w.run(30 * time.Second)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Draining)
	for _, m := range members {
		assert.Equal(t, w.byID[m.VM].phase, backend.PhaseReady)
		w.byID[m.VM].running = 0
	}
	w.run(15 * time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Released)
}

// A preset lowers the replicas. The surplus group must be drained, but not if the operator
// switches back at once.
func TestASurplusIsDrainedAfterAWhile(t *testing.T) {
	c := demoConfig(2, 2)
	c.Presets = []blackboard.Preset{{Name: "day"}, {Name: "night", GroupReplicas: map[string]int{"demo": 1}}}
	c.UsePreset = "day"
	w := newWorld(t, 43, 2, 2, defaultPolicy, c)
	w.run(30 * time.Second)
	w.change(blackboard.ConfigChange{UsePreset: "night"})
	w.run(surplusDelay / 2)
	w.change(blackboard.ConfigChange{UsePreset: "day"})
	w.run(surplusDelay)
	assert.Assert(t, w.allServing())
	assert.Equal(t, w.board.NextEpoch, uint64(3), "nothing was reloaded")
	w.change(blackboard.ConfigChange{UsePreset: "night"})
	w.run(30 * time.Second)
	requireNoFailure(t, w)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Serving)
	assert.Equal(t, w.board.Groups["demo-1"].State, blackboard.Released)
}

// Guards against calls to an instance of a plain service that has ended. The liveness of its row
// must become alive, paused and dead with its announcements, and the row must be removed later.
func TestPlainServiceInstanceLiveness(t *testing.T) {
	w := newWorld(t, 44, 1, 1, defaultPolicy, blackboard.ConfigChange{})
	announce := func(sequence uint64) {
		n := w.entries[0]
		n.table.Record(w.now, n.id, backend.Announcement{
			ID: "files-1", Kind: backend.KindService, Service: "files", Incarnation: "a", Sequence: sequence, Address: "x:1",
		})
	}
	announce(1)
	w.run(time.Second)
	announce(2)
	assert.Equal(t, w.board.Services["files-1"].Liveness, blackboard.Alive)
	for _, c := range []struct {
		after time.Duration
		want  blackboard.Liveness
	}{{pausedAfter + time.Second, blackboard.Paused}, {deadAfter, blackboard.Dead}, {removeServiceAfter, ""}} {
		w.run(c.after)
		assert.Equal(t, w.board.Services["files-1"].Liveness, c.want)
	}
	requireNoFailure(t, w)
}

// Guards against the row of a VM that was replaced under a new name: the row would stay, and the
// group that the VM held would stay broken.
func TestALongDeadVMIsRemoved(t *testing.T) {
	w := newWorld(t, 45, 1, 3, defaultPolicy, demoConfig(1, 2))
	w.run(30 * time.Second)
	id := w.board.Groups["demo-0"].Members[0].VM
	w.byID[id].kill()
	w.run(time.Minute)
	row := w.board.VMs[id]
	assert.Equal(t, row.Liveness, blackboard.Dead)
	var a Actions
	l := w.leader()
	updateLiveness(View{Board: w.board, Evidence: w.entries[0].table, Memory: l.memory}, w.now.Add(removeVMAfter), &a)
	for _, c := range a.Commands {
		if remove, ok := c.(*blackboard.RemoveVM); ok {
			w.propose(remove)
		}
	}
	w.run(time.Second)
	requireNoFailure(t, w)
	_, known := w.board.VMs[id]
	assert.Assert(t, !known)
	assert.Equal(t, w.board.Groups["demo-0"].State, blackboard.Released)
}

// Guards against the teardown of all groups when the path from all backend servers to the entries
// fails for half a minute. The silence of nearly all VMs was taken for their death, and all
// weights were loaded again through the store, for hours.
func TestTheSilenceOfMostVMsTearsDownNoGroup(t *testing.T) {
	w := newWorld(t, 3, 2, 4, defaultPolicy, demoConfig(2, 3))
	w.run(time.Minute)
	before := map[string]uint64{}
	for id, g := range w.board.Groups {
		assert.Equal(t, g.State, blackboard.Serving)
		before[id] = g.Epoch
	}
	for _, e := range w.byID {
		e.pause(30 * time.Second)
	}
	w.run(2 * time.Minute)
	requireNoFailure(t, w)
	for id, epoch := range before {
		g := w.board.Groups[id]
		assert.Equal(t, g.State, blackboard.Serving, g.Reason)
		assert.Equal(t, g.Epoch, epoch)
	}
}

// Most backend servers have ended for good. The controllers must still put the rest to use, after
// a longer wait.
func TestTheLossOfMostVMsIsConcludedEventually(t *testing.T) {
	w := newWorld(t, 4, 2, 4, defaultPolicy, demoConfig(2, 3))
	w.run(time.Minute)
	dead := 0
	for _, id := range sortedKeys(w.byID) {
		if dead < 5 {
			w.byID[id].kill()
			dead++
		}
	}
	w.run(massDeadAfter + 30*time.Second)
	requireNoFailure(t, w)
	count := 0
	for _, v := range w.board.VMs {
		if v.Liveness == blackboard.Dead {
			count++
		}
	}
	assert.Equal(t, count, 5)
}
