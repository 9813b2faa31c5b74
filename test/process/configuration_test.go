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

// startFoundedCluster starts the standard cluster, bootstraps it and waits for all its voters.
func startFoundedCluster(t *testing.T, groups ...blackboard.GroupSpec) *harness.Cluster {
	t.Helper()
	c := harness.NewCluster(t, harness.Standard())
	c.Found(groups...)
	c.AwaitReady()
	awaitVoters(t, c, nil)
	return c
}

// isolate drops all traffic between a node and all other processes of the system, both ways.
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

// newLeader waits until a control node other than old reports a leader other than old.
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

// Guards against two operators who both believe that their change was accepted, and against a
// resend that undoes a later change. Either happens if a change is applied without a check of the
// revision that it was based on, or applied a second time under its own id. The operators
// change the preset at the same revision, and a winner sends its change again.
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

// Guards against a paused leader (SIGSTOP) that resumes after another leader has taken over and
// operators have activated another preset. It still believes that it leads. It must not answer
// operators from its old board, accept a change or grant entries a lease on the old preset.
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
	harness.Await(t, "the old leader has the new configuration", func() bool {
		config, err := readConfiguration(old)
		return err == nil && config.Revision == revision
	})
}

// Guards against stale answers from an isolated leader. A network partition silently isolates
// the leading control VM for long, while its own operator and its own entry still reach it.
// Neither may receive state that the other replicas have replaced. A change must come into
// force although the isolated entry never receives it.
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
	assert.Assert(t, !old.Ready(), "the change is in force everywhere, but the isolated entry still admits requests")
	_, err := readConfiguration(old)
	assert.Assert(t, err != nil, "the isolated leader answers an operator")
	_, err = usePreset(old, "behind", 1, "maintenance")
	assert.Assert(t, err != nil, "the isolated leader accepts a change")
	heal(c)
	harness.Await(t, "all entries ready again", func() bool {
		for _, n := range c.Entries() {
			if !n.Ready() {
				return false
			}
		}
		return true
	})
	harness.Await(t, "the old leader has the new configuration", func() bool {
		config, err := readConfiguration(old)
		return err == nil && config.Revision == revision && config.ActivePreset == "peak"
	})
}

// Guards against the loss of an accepted change in a power cut. Every process is killed at once
// after a change was accepted. After the restart the change must be there, and entries must
// not serve an older configuration.
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

// Guards against the loss of accepted changes when control VMs lose their disks one after the
// other. A replica that restarts empty under its old identity could vote twice. Each lost
// replica must be replaced under a new identity without an operator, because nobody is present
// at night.
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
		assert.Assert(t, after[name] != before[name], "the replica restarted with an empty disk under its old identity")
		before = after
		expect := uint64(1 + i)
		harness.Await(t, "a change after the repair", func() bool {
			_, err := usePreset(leaderOf(t, c), "r"+name, expect, "peak")
			return err == nil
		})
	}
}

// voterIdentities returns the replica id of every voter, keyed by its VM.
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

// awaitVoters waits for three voters. If old is not nil, at least one of the voters must have
// an identity that is not in old.
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

// Guards against lost or doubly applied changes while the paths to one control VM drop one
// direction only, again and again. Every change is accepted once or refused, and none is lost.
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
	harness.Await(t, "all control nodes have the same revision", func() bool {
		for _, o := range controlNodes(c) {
			if config, err := readConfiguration(o); err != nil || config.Revision != revision {
				return false
			}
		}
		return true
	})
}
