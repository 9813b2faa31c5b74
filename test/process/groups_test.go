package process

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// pairs is a founded cluster with groups of two VMs for the model "demo" and
// so many engines in the domains.
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

// awaitServingAfter waits until a group serves that was formed after an epoch. A group
// whose lost member stays silent keeps its slot until the member confirms its
// release, so the new one may have another id.
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

// awaitTargetClosed waits until every entry has stopped routing to an epoch.
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

func logOffsets(c *harness.Cluster) map[string]int {
	offsets := map[string]int{}
	for _, n := range c.Entries() {
		offsets[n.Spec.Name] = len(n.Log())
	}
	return offsets
}

// checkOneHeadPerEpoch checks what engines ran: no run of an epoch began on a head
// after the group's next epoch had begun to run elsewhere, and every run was
// under an epoch that the blackboard gave to that very VM.
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

// A member of a serving group is killed (kill -9). Work sent to the group from
// then on waits for tokens that never come. Every entry must stop routing to
// the group, and a spare of the domain must take the member's place.
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
		assert.Equal(t, r.Epoch, after.Epoch, "ran on a group with a member missing")
	}
	checkOneHeadPerEpoch(t, c.Runs(), map[uint64]string{})
}

// A member freezes (SIGSTOP) for long. Its group is given up and the spare
// takes its place; then the member wakes and believes that it is still in the
// old group. It must not be in two groups, and nothing may run in the old one.
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
	harness.Await(t, "the returned VM is free or in the new epoch", func() bool {
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
		assert.Assert(t, r.Epoch != before.Epoch, "the old epoch ran after the new one served")
	}
	assertAtMostOneGroupPerVM(t, c)
}

func assertAtMostOneGroupPerVM(t *testing.T, c *harness.Cluster) {
	t.Helper()
	s, err := c.Status()
	assert.NilError(t, err)
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

// A whole fabric domain goes dark at once, and with it the leader of the
// control replicas. The group is rebuilt in the other domain by the next
// leader, in a later term.
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

// A second VM is lost right after the repair of the first, on engines that
// ignore fencing numbers, while the leader changes.
func TestSecondLossRightAfterARepair(t *testing.T) {
	t.Parallel()
	c, engines := startTwoVMGroups(t, 1, map[string]int{"d1": 4}, "-fencing", "ignore")
	g := awaitGroup(t, c, "memos-0")
	for range 2 {
		engines[g.Members[0].VM].Kill()
		g = awaitServingAfter(t, c, g.Epoch)
		leaderOf(t, c).Terminate()
		time.Sleep(50 * time.Millisecond)
		for _, n := range controlNodes(c) {
			if !n.Running() {
				n.Start()
			}
		}
	}
	awaitAnswer(t, c.Node("n4"), harness.Completion{Model: "demo", Prompt: uniquePrompt("after two losses"), MaxTokens: 3})
	assertAtMostOneGroupPerVM(t, c)
	checkOneHeadPerEpoch(t, c.Runs(), map[uint64]string{})
}

// One entry is cut off from its peers and hears of no backend server. It must
// not make the leader tear groups down that all others hear of.
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
