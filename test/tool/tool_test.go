// Package tool tests the operators' tool as a process against a system of real processes.
package tool

import (
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/test/process/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

const (
	exitOK       = 0
	exitConflict = 3
	exitNotFound = 4
	// example is the document that the README founds a cluster with.
	example   = "../../examples/one-machine/configuration.toml"
	exactFlag = "-exact"
)

// startClusterWithEngines starts a cluster with the README's configuration and four engines, and
// returns when its group serves and all entries are ready.
func startClusterWithEngines(t *testing.T) *harness.Cluster {
	t.Helper()
	c := harness.NewCluster(t, harness.Standard())
	runTool(t, c, exitOK, "init", "-configuration", example, "-timeout", "60s")
	c.StartEngines(4, "engine", "rack-1", "-load-time", "50ms", "-token-interval", "2ms")
	runTool(t, c, exitOK, "group", "wait", "demo", "-form-wait", "60s")
	c.AwaitReady()
	return c
}

// runTool runs the operators' tool, checks its exit status and returns its output.
func runTool(t *testing.T, c *harness.Cluster, want int, args ...string) string {
	t.Helper()
	out, status := c.Tool(args...)
	assert.Equal(t, status, want, "citronstep %s: %s", strings.Join(args, " "), out)
	return out
}

func configRevision(t *testing.T, c *harness.Cluster) uint64 {
	t.Helper()
	s, err := c.Status()
	assert.NilError(t, err)
	return s.ConfigRevision
}

// entryAddresses returns the addresses of all entries in the tool's comma-separated form.
func entryAddresses(c *harness.Cluster) string {
	var all []string
	for _, n := range c.Entries() {
		all = append(all, n.Entry)
	}
	return strings.Join(all, ",")
}

// Guards against broken answers, and against an early "drained", when an operator activates a
// preset and drains a VM while callers send requests. Every caller must receive its complete
// answer. The tool may report "drained" only when the VM's row holds no group.
func TestDrainUnderLoad(t *testing.T) {
	c := startClusterWithEngines(t)
	runTool(t, c, exitOK, "diff", example)
	runTool(t, c, exitOK, "preset", "use", "peak")
	runTool(t, c, exitNotFound, "preset", "use", "festival")

	var load sync.WaitGroup
	load.Go(func() {
		out, status := c.Tool("load", "-entries", entryAddresses(c), "-key", "dev", "-model", "demo", exactFlag,
			"-count", "300", "-concurrency", "4", "-max-tokens", "40", "-retries", "20")
		assert.Check(t, is.Equal(status, exitOK), out)
		assert.Check(t, is.Contains(out, "ok=300"), out)
	})
	out := runTool(t, c, exitOK, "drain", "vm", "engine-1")
	assert.Assert(t, is.Contains(out, "vm engine-1 is drained"))
	status := decodeStatus(t, runTool(t, c, exitOK, "status", "-json"))
	for _, v := range status.VMs {
		assert.Assert(t, v.ID != "engine-1" || v.Group == "", "engine-1 still holds %s", v.Group)
	}
	load.Wait()
	runTool(t, c, exitOK, "undrain", "vm", "engine-1")
	runTool(t, c, exitOK, "group", "wait", "demo", "-form-wait", "60s")
}

func decodeStatus(t *testing.T, text string) adminapi.Status {
	t.Helper()
	var s adminapi.Status
	assert.NilError(t, json.Unmarshal([]byte(text), &s))
	return s
}

// Guards against several accepted changes on top of one revision. Six operators change the same
// group at the same moment, all with the same expected revision. One change is accepted. The
// tool must report a conflict to the other operators, and must apply nothing of their changes.
func TestConcurrentOperatorsGetOneWinner(t *testing.T) {
	c := harness.NewCluster(t, harness.Standard())
	runTool(t, c, exitOK, "init", "-configuration", example, "-timeout", "60s")
	before := configRevision(t, c)
	const operators = 6
	statuses := make([]int, operators)
	var all sync.WaitGroup
	for i := range operators {
		all.Go(func() {
			_, statuses[i] = c.Tool("group", "set", "demo", "-replicas", strconv.Itoa(10+i),
				"-expect", strconv.FormatUint(before, 10), "-timeout", "60s", "-wait", "0")
		})
	}
	all.Wait()
	counts := map[int]int{}
	for _, status := range statuses {
		counts[status]++
	}
	assert.DeepEqual(t, counts, map[int]int{exitOK: 1, exitConflict: operators - 1})
	assert.Equal(t, configRevision(t, c), before+1)
}

// Guards against a lost or repeated change when the leader is killed while it receives the change.
// The answer may be lost whether or not the change was accepted. The tool must retry under the
// same change id with the next leader. A later run with that id must receive the same answer,
// and the change must be applied once.
func TestChangeSurvivesLeaderLoss(t *testing.T) {
	c := harness.NewCluster(t, harness.Standard())
	runTool(t, c, exitOK, "init", "-configuration", example, "-timeout", "60s")
	before := configRevision(t, c)
	leader := leaderOf(t, c)

	var change sync.WaitGroup
	change.Go(func() {
		out, status := c.Tool("preset", "use", "peak", "-change-id", "peak-1", "-timeout", "60s", "-wait", "60s")
		assert.Check(t, is.Equal(status, exitOK), out)
	})
	leader.Kill()
	change.Wait()
	runTool(t, c, exitOK, "preset", "use", "peak", "-change-id", "peak-1", "-timeout", "60s", "-wait", "60s")
	out := runTool(t, c, exitOK, "preset", "list", "-timeout", "60s")
	assert.Assert(t, is.Contains(out, "peak      yes"))
	status := decodeStatus(t, runTool(t, c, exitOK, "status", "-json", "-timeout", "60s"))
	assert.Equal(t, status.ConfigRevision, before+1)
}

// leaderOf waits until a control replica leads and returns its node.
func leaderOf(t *testing.T, c *harness.Cluster) *harness.Node {
	t.Helper()
	name := ""
	harness.Await(t, "a control replica leads", func() bool {
		s, err := c.Status()
		for _, r := range s.Replicas {
			if err == nil && r.Role == "leader" {
				name = r.VM
			}
		}
		return name != ""
	})
	return c.Node(name)
}

// Guards against final refusals during a rolling restart under load. Callers of a process that
// stops or starts must be asked to retry. They must never receive 401, the refusal of an
// unknown key, because programs don't retry after it.
func TestRollingRestartUnderLoad(t *testing.T) {
	c := startClusterWithEngines(t)
	var load sync.WaitGroup
	load.Go(func() {
		out, status := c.Tool("load", "-entries", entryAddresses(c), "-key", "dev", "-model", "demo", exactFlag,
			"-count", "2000", "-concurrency", "8", "-max-tokens", "20", "-retries", "50")
		assert.Check(t, is.Equal(status, exitOK), out)
		assert.Check(t, is.Contains(out, "ok=2000"), out)
	})
	for _, n := range c.Nodes {
		n.Terminate()
		assert.Check(t, is.Equal(n.Wait(harness.AwaitTimeout), exitOK))
		n.Start()
		harness.Await(t, n.Spec.Name+" is ready", n.Ready)
	}
	load.Wait()
}
