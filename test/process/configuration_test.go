package process

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/test/process/harness"
)

// founded is the standard cluster with all its voters.
func startFoundedCluster(t *testing.T, groups ...blackboard.GroupSpec) *harness.Cluster {
	t.Helper()
	c := harness.NewCluster(t, harness.Standard())
	c.Found(groups...)
	c.AwaitReady()
	awaitVoters(t, c, nil)
	return c
}

// isolate cuts a node off from all other processes of the system, both ways.
func isolate(c *harness.Cluster, cut *harness.Node) {
	cut.Peers.Cut()
	for _, n := range c.Nodes {
		if n != cut {
			n.Peers.CutFrom(cut)
		}
	}
}

func heal(c *harness.Cluster) {
	for _, n := range c.Nodes {
		n.Peers.Heal()
	}
}

// newLeader waits for a leader other than the old one, asking the others.
func newLeader(t *testing.T, c *harness.Cluster, old *harness.Node) *harness.Node {
	t.Helper()
	var leader *harness.Node
	harness.Await(t, "another leader", func() bool {
		for _, n := range c.Nodes {
			var s adminapi.Status
			if n == old || !n.Spec.Control || harness.Operate(n, http.MethodGet, adminapi.PathStatus, nil, &s) != nil {
				continue
			}
			for _, r := range s.Replicas {
				if r.Role == "leader" && r.VM != old.Spec.Name {
					leader = c.Node(r.VM)
					return true
				}
			}
		}
		return false
	})
	return leader
}

func usePreset(n *harness.Node, id string, expect uint64, preset string) (uint64, error) {
	var reply adminapi.ChangeReply
	change := blackboard.ConfigChange{ChangeID: id, Expect: expect, UsePreset: preset}
	err := harness.Operate(n, http.MethodPost, adminapi.PathConfiguration, change, &reply)
	return reply.Revision, err
}

func readConfiguration(n *harness.Node) (blackboard.Configuration, error) {
	var config blackboard.Configuration
	err := harness.Operate(n, http.MethodGet, adminapi.PathConfiguration, nil, &config)
	return config, err
}

func awaitInForce(t *testing.T, n *harness.Node, revision uint64) {
	t.Helper()
	harness.Await(t, "revision "+strconv.FormatUint(revision, 10)+" in force", func() bool {
		var f adminapi.InForce
		path := adminapi.PathInForce + "?revision=" + strconv.FormatUint(revision, 10)
		return harness.Operate(n, http.MethodGet, path, nil, &f) == nil && f.InForce
	})
}

func controlNodes(c *harness.Cluster) []*harness.Node {
	var out []*harness.Node
	for _, n := range c.Nodes {
		if n.Spec.Control {
			out = append(out, n)
		}
	}
	return out
}

// Two operators put different presets in force, both made against the same
// revision, and one of them loses the answer and sends again. Both believe
// they won, or the resend undoes a later change. Cause: a change that is
// applied without the revision it was made against, or anew under its own id.
func TestOperatorsRacingUnderOneRevisionGetOneWinner(t *testing.T) {
	t.Parallel()
	c := startFoundedCluster(t)
	nodes := controlNodes(c)
	for round := range uint64(3) {
		expect := 1 + round
		var mu sync.Mutex
		var wait sync.WaitGroup
		winners := map[string]uint64{}
		for i := range 6 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				id := strconv.FormatUint(round, 10) + "-" + strconv.Itoa(i)
				revision, err := usePreset(nodes[i%len(nodes)], id, expect, []string{"peak", "maintenance"}[i%2])
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					winners[id] = revision
					return
				}
				assert.Check(t, failure.Is(err, failure.TypeConflict), "%v", err)
			}()
		}
		wait.Wait()
		assert.Equal(t, len(winners), 1, "%v", winners)
		for id, revision := range winners {
			again, err := usePreset(nodes[0], id, 99, "ordinary")
			assert.NilError(t, err)
			assert.Equal(t, again, revision)
		}
		config, err := readConfiguration(nodes[1])
		assert.NilError(t, err)
		assert.Equal(t, config.Revision, expect+1)
	}
}

// The leader's VM stops (SIGSTOP) and wakes long after another has taken over
// and operators have put another preset in force. It believes that it leads:
// it would answer operators from its old board, accept a change, or give
// entries a lease on the old preset.
func TestPausedLeaderServesNoStaleStateAfterResume(t *testing.T) {
	t.Parallel()
	c := startFoundedCluster(t)
	old := leaderOf(t, c)
	old.Pause()
	leader := newLeader(t, c, old)
	var revision uint64
	harness.Await(t, "the new leader accepts a change", func() bool {
		var err error
		revision, err = usePreset(leader, "after", 1, "peak")
		return err == nil
	})
	awaitInForce(t, leader, revision)
	old.Resume()
	for range 40 {
		config, err := readConfiguration(old)
		if err == nil {
			assert.Equal(t, config.ActivePreset, "peak")
		}
		_, err = usePreset(old, "stale", 1, "maintenance")
		assert.Assert(t, err != nil)
		for _, n := range c.Entries() {
			assert.Assert(t, !logContains(n, "configuration_never_reverts"))
		}
	}
	harness.Await(t, "the old leader follows", func() bool {
		config, err := readConfiguration(old)
		return err == nil && config.Revision == revision
	})
}

// A control VM that leads is cut off silently from all others for long; its
// own operator and its own entry still reach it. Neither may be told anything
// that the others have replaced, and a change must come into force although
// the cut-off entry never hears of it.
func TestIsolatedLeaderRefusesOperatorsAndItsEntryStopsAdmitting(t *testing.T) {
	t.Parallel()
	c := startFoundedCluster(t)
	old := leaderOf(t, c)
	isolate(c, old)
	leader := newLeader(t, c, old)
	var revision uint64
	harness.Await(t, "the new leader accepts a change", func() bool {
		var err error
		revision, err = usePreset(leader, "beyond", 1, "peak")
		return err == nil
	})
	awaitInForce(t, leader, revision)
	assert.Assert(t, !old.Ready(), "in force everywhere, yet the cut-off entry admits")
	_, err := readConfiguration(old)
	assert.Assert(t, err != nil, "the cut-off leader answers an operator")
	_, err = usePreset(old, "behind", 1, "maintenance")
	assert.Assert(t, err != nil, "the cut-off leader takes a change")
	heal(c)
	harness.Await(t, "all entries ready again", func() bool {
		for _, n := range c.Entries() {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	harness.Await(t, "one configuration everywhere", func() bool {
		config, err := readConfiguration(old)
		return err == nil && config.Revision == revision && config.ActivePreset == "peak"
	})
}

// Every process is killed at once (a power cut) after a change was accepted.
// What was accepted must be there when they come back, and entries must not
// serve anything older.
func TestAcceptedChangeSurvivesAPowerCut(t *testing.T) {
	t.Parallel()
	c := startFoundedCluster(t)
	for i := range uint64(5) {
		preset := []string{"peak", "maintenance"}[i%2]
		harness.Await(t, "change "+preset, func() bool {
			_, err := usePreset(leaderOf(t, c), "c"+strconv.FormatUint(i, 10), 1+i, preset)
			return err == nil
		})
		if i%2 == 0 {
			continue
		}
		for _, n := range c.Nodes {
			n.Kill()
		}
		for _, n := range c.Nodes {
			n.Start()
		}
		c.AwaitReady()
		config, err := readConfiguration(leaderOf(t, c))
		assert.NilError(t, err)
		assert.Equal(t, config.Revision, 2+i)
		assert.Equal(t, config.ActivePreset, preset)
	}
}

// A control VM loses its disk and comes back empty; right after it has been
// replaced a second one loses its disk. Under its old identity an empty replica
// could vote twice and lose what was accepted. Nobody is there at night to
// repair it.
func TestLostDisksAreRepairedWithoutAnOperator(t *testing.T) {
	t.Parallel()
	c := startFoundedCluster(t)
	before := voterIdentities(t, c)
	for i, name := range []string{"n2", "n3", "n1"} {
		n := c.Node(name)
		n.Kill()
		n.LoseData()
		n.Start()
		awaitVoters(t, c, before)
		after := voterIdentities(t, c)
		assert.Assert(t, after[name] != before[name], "an empty disk came back under its old identity")
		before = after
		expect := uint64(1 + i)
		harness.Await(t, "a change after the repair", func() bool {
			_, err := usePreset(leaderOf(t, c), "r"+name, expect, "peak")
			return err == nil
		})
	}
}

func voterIdentities(t *testing.T, c *harness.Cluster) map[string]string {
	t.Helper()
	ids := map[string]string{}
	harness.Await(t, "status", func() bool {
		s, err := c.Status()
		clear(ids)
		for _, r := range s.Replicas {
			if r.Role != "learner" {
				ids[r.VM] = r.ID
			}
		}
		return err == nil && len(ids) > 0
	})
	return ids
}

// awaitVoters waits for three voters, one of them under an identity that is
// not among the old ones if any are given.
func awaitVoters(t *testing.T, c *harness.Cluster, old map[string]string) {
	t.Helper()
	harness.Await(t, "three voters", func() bool {
		now := voterIdentities(t, c)
		changed := old == nil
		for vm, id := range now {
			changed = changed || old[vm] != id
		}
		return len(now) == 3 && changed
	})
}

// The paths to one control VM lose one direction only, again and again, while
// operators make changes: each is accepted once or refused, none is lost.
func TestOneWayCutsLoseNoAcceptedChange(t *testing.T) {
	t.Parallel()
	c := startFoundedCluster(t)
	revision := uint64(1)
	for i := range 4 {
		n := controlNodes(c)[i%3]
		n.Peers.CutOneWay(harness.Direction(i % 2))
		harness.Await(t, "a change during the cut", func() bool {
			for _, o := range controlNodes(c) {
				if got, err := usePreset(o, "cut"+strconv.Itoa(i), revision, "peak"); err == nil {
					assert.Equal(t, got, revision+1)
					return true
				}
			}
			return false
		})
		revision++
		n.Peers.Heal()
	}
	harness.Await(t, "all agree", func() bool {
		for _, o := range controlNodes(c) {
			if config, err := readConfiguration(o); err != nil || config.Revision != revision {
				return false
			}
		}
		return true
	})
}
