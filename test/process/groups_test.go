package process

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// startTwoVMGroups starts a bootstrapped cluster with the given number of groups of two VMs for
// the model "demo". domains maps each fabric domain to its number of engines. The returned
// map holds the engines by id.
func startTwoVMGroups(t *testing.T, groups int, domains map[string]int, flags ...string) (*harness.Cluster, map[string]*harness.Standin) {
	t.Helper()
	c := startFoundedCluster(t, blackboard.GroupSpec{Name: "memos", Model: "demo", Replicas: groups, VMsPerReplica: 2, Worth: 10})
	engines := map[string]*harness.Standin{}
	for domain, count := range domains {
		for _, e := range c.StartEngines(count, domain+"-vm", domain, flags...) {
			engines[e.ID] = e
		}
	}
	c.AwaitGroups("demo", groups)
	return c, engines
}

// awaitGroup waits until the group with this id exists and returns it.
func awaitGroup(t *testing.T, c *harness.Cluster, id string) blackboard.Group {
	t.Helper()
	var found blackboard.Group
	harness.Await(t, "group "+id, func() bool {
		s, err := c.Status()
		for _, g := range s.Groups {
			if g.ID == id {
				found = g
			}
		}
		return err == nil && found.ID == id
	})
	return found
}

// awaitServingAfter waits until a group with an epoch later than the given one serves. A group
// whose lost member stays silent keeps its slot until the member confirms its release, so
// the new group may have another id.
func awaitServingAfter(t *testing.T, c *harness.Cluster, epoch uint64) blackboard.Group {
	t.Helper()
	var found blackboard.Group
	harness.Await(t, "a later epoch serves", func() bool {
		s, err := c.Status()
		for _, g := range s.Groups {
			if g.Epoch > epoch && g.State == blackboard.Serving {
				found = g
			}
		}
		return err == nil && found.Epoch > epoch
	})
	return found
}

// awaitTargetClosed waits until every running entry has logged that it no longer routes to the
// group. offsets holds the log length of each entry from which the search starts.
func awaitTargetClosed(t *testing.T, c *harness.Cluster, id string, offsets map[string]int) {
	t.Helper()
	for _, n := range c.Entries() {
		if !n.Running() {
			continue
		}
		harness.Await(t, n.Spec.Name+" closes "+id, func() bool {
			return strings.Contains(n.Log()[offsets[n.Spec.Name]:], "event=target_closed target="+id)
		})
	}
}

// logOffsets returns the current log length of every entry, in bytes, by node name.
func logOffsets(c *harness.Cluster) map[string]int {
	offsets := map[string]int{}
	for _, n := range c.Entries() {
		offsets[n.Spec.Name] = len(n.Log())
	}
	return offsets
}

// checkOneHeadPerEpoch checks that all runs of an epoch were on one head. seen holds the head
// that each epoch is known to have run on, and gains the heads of runs.
func checkOneHeadPerEpoch(t *testing.T, runs []standin.Run, seen map[uint64]string) {
	t.Helper()
	for _, r := range runs {
		head, known := seen[r.Epoch]
		if !known {
			seen[r.Epoch] = r.Server
			continue
		}
		assert.Equal(t, head, r.Server, "epoch %d ran on two heads", r.Epoch)
	}
}

// Guards against requests that wait for tokens from a group that has lost a member. A member of
// a serving group is killed (SIGKILL). Every entry must stop routing to the group, and a spare
// VM of the domain must replace the member.
func TestKilledMemberEndsRoutingAndIsReplaced(t *testing.T) {
	t.Parallel()
	c, engines := startTwoVMGroups(t, 1, map[string]int{"d1": 3}, "-token-interval", "5ms")
	before := awaitGroup(t, c, "memos-0")
	offsets := logOffsets(c)
	engines[before.Members[1].VM].Kill()
	awaitTargetClosed(t, c, "memos-0", offsets)
	ran := len(c.Runs())
	after := awaitServingAfter(t, c, before.Epoch)
	for _, m := range after.Members {
		assert.Assert(t, m.VM != before.Members[1].VM, "the killed VM is a member again")
	}
	for _, n := range c.Entries() {
		awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("after the kill"), MaxTokens: 3})
	}
	for _, r := range c.Runs()[ran:] {
		assert.Equal(t, r.Epoch, after.Epoch, "the request ran on a group with a missing member")
	}
	checkOneHeadPerEpoch(t, c.Runs(), map[uint64]string{})
}

// Guards against a member that is paused (SIGSTOP) until its group is released and a spare VM has
// replaced it. When the member resumes, it still believes that it belongs to the old group.
// It must not be in two groups, and no request may run in the old group.
func TestPausedMemberDoesNotReturnToItsOldGroup(t *testing.T) {
	t.Parallel()
	c, engines := startTwoVMGroups(t, 1, map[string]int{"d1": 3})
	before := awaitGroup(t, c, "memos-0")
	frozen := engines[before.Members[1].VM]
	offsets := logOffsets(c)
	frozen.Pause()
	awaitTargetClosed(t, c, "memos-0", offsets)
	awaitServingAfter(t, c, before.Epoch)
	ran := len(c.Runs())
	frozen.Resume()
	harness.Await(t, "the resumed VM is free or in the new epoch", func() bool {
		s, err := c.Status()
		if err != nil {
			return false
		}
		for _, v := range s.VMs {
			if v.ID == frozen.ID {
				return v.Liveness == blackboard.Alive && v.Epoch != before.Epoch
			}
		}
		return false
	})
	awaitAnswer(t, c.Node("n4"), harness.Completion{Model: "demo", Prompt: uniquePrompt("after the return"), MaxTokens: 3})
	for _, r := range c.Runs()[ran:] {
		assert.Assert(t, r.Epoch != before.Epoch, "a request ran in the old epoch after the new epoch served")
	}
	assertAtMostOneGroupPerVM(t, c)
}

// assertAtMostOneGroupPerVM checks that no VM is a member of two groups that are neither
// released nor broken.
func assertAtMostOneGroupPerVM(t *testing.T, c *harness.Cluster) {
	t.Helper()
	var s adminapi.Status
	harness.Await(t, "a status", func() bool {
		var err error
		s, err = c.Status()
		return err == nil
	})
	held := map[string]string{}
	for _, g := range s.Groups {
		if g.State == blackboard.Released || g.State == blackboard.Broken {
			continue
		}
		for _, m := range g.Members {
			assert.Equal(t, held[m.VM], "", "%s is in two groups", m.VM)
			held[m.VM] = g.ID
		}
	}
}

// Guards against a group that is not rebuilt when a complete fabric domain fails at once together
// with the leader of the control replicas. The next leader, in a later term, must rebuild the
// group in the other domain.
func TestLossOfADomainAndTheLeaderTogether(t *testing.T) {
	t.Parallel()
	c, engines := startTwoVMGroups(t, 1, map[string]int{"d1": 2, "d2": 2})
	before := awaitGroup(t, c, "memos-0")
	old := leaderOf(t, c)
	old.Kill()
	for _, e := range engines {
		if strings.HasPrefix(e.ID, before.FabricDomain) {
			e.Kill()
		}
	}
	after := awaitServingAfter(t, c, before.Epoch)
	assert.Assert(t, after.FabricDomain != before.FabricDomain)
	awaitAnswer(t, c.Node("n4"), harness.Completion{Model: "demo", Prompt: uniquePrompt("elsewhere"), MaxTokens: 3})
	old.Start()
	awaitVoters(t, c, nil)
	assertAtMostOneGroupPerVM(t, c)
}

// Guards against overlapping groups when a second VM is lost right after the repair of the first
// loss, on engines that ignore fencing tokens, while the leader changes.
func TestSecondLossRightAfterARepair(t *testing.T) {
	t.Parallel()
	c, engines := startTwoVMGroups(t, 1, map[string]int{"d1": 4}, "-fencing", "ignore")
	g := awaitGroup(t, c, "memos-0")
	for range 2 {
		engines[g.Members[0].VM].Kill()
		g = awaitServingAfter(t, c, g.Epoch)
		leader := leaderOf(t, c)
		leader.Terminate()
		assert.Equal(t, leader.Wait(harness.AwaitTimeout), 0)
		leader.Start()
	}
	awaitAnswer(t, c.Node("n4"), harness.Completion{Model: "demo", Prompt: uniquePrompt("after two losses"), MaxTokens: 3})
	assertAtMostOneGroupPerVM(t, c)
	checkOneHeadPerEpoch(t, c.Runs(), map[uint64]string{})
}

// Guards against a leader that releases groups because its own entry is isolated. That entry
// receives no announcements of backend servers and nothing from the other control nodes, while
// all other entries still receive the announcements.
func TestOneIsolatedEntryReleasesNoGroups(t *testing.T) {
	t.Parallel()
	c, _ := startTwoVMGroups(t, 2, map[string]int{"d1": 4})
	epochs := [2]uint64{awaitGroup(t, c, "memos-0").Epoch, awaitGroup(t, c, "memos-1").Epoch}
	isolated := leaderOf(t, c)
	isolated.Announce.Cut()
	for _, n := range c.Nodes {
		if n != isolated && n.Spec.Control {
			isolated.Peers.CutFrom(n)
		}
	}
	time.Sleep(8 * time.Second)
	heal(c)
	isolated.Announce.Heal()
	c.AwaitGroups("demo", 2)
	assert.Equal(t, awaitGroup(t, c, "memos-0").Epoch, epochs[0])
	assert.Equal(t, awaitGroup(t, c, "memos-1").Epoch, epochs[1])
}
