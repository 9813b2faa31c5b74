package process

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// replaceKey inserts the hash of a workspace key into a configuration document.
func replaceKey(document, hash string) string {
	return strings.Replace(document, "KEY", hash, 1)
}

// awaitAnswer waits until an entry answers a request. An entry routes to a new group only after
// the change of the board has reached it.
func awaitAnswer(t *testing.T, n *harness.Node, request harness.Completion) {
	t.Helper()
	var last harness.Reply
	harness.Await(t, n.Spec.Name+" answers the request", func() bool {
		last = harness.Complete(t.Context(), n.Entry, request)
		return last.Right(request)
	})
}

var prompts atomic.Int64

// uniquePrompt returns a prompt that no other request of this test process has, so that a test
// can count the runs of the request.
func uniquePrompt(text string) string {
	return fmt.Sprintf("%s #%d", text, prompts.Add(1))
}

// startServingCluster starts a bootstrapped cluster with the given number of serving groups, of
// one VM each, for the model "demo". It returns when all entries answer requests.
func startServingCluster(t *testing.T, spec harness.ClusterSpec, groups int, flags ...string) (*harness.Cluster, []*harness.Standin) {
	t.Helper()
	c := harness.NewCluster(t, spec)
	c.Found(blackboard.GroupSpec{Name: "memos", Model: "demo", Replicas: groups, VMsPerReplica: 1, Worth: 10})
	engines := c.StartEngines(groups, "vm", "d1", flags...)
	c.AwaitGroups("demo", groups)
	for _, n := range c.Entries() {
		awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("ready?"), MaxTokens: 1})
	}
	return c, engines
}

// twoNodeSpec specifies one node with both control and entry and one entry-only node.
func twoNodeSpec(adjust func(*settings.Settings)) harness.ClusterSpec {
	return harness.ClusterSpec{
		Nodes: []harness.NodeSpec{
			{Name: "n1", DataCentre: "dc1", Entry: true, Control: true},
			{Name: "n2", DataCentre: "dc1", Entry: true},
		},
		Adjust: func(s *settings.Settings) {
			s.Control.Voters = 1
			adjust(s)
		},
	}
}

// shortTimeouts shortens the entry's timeouts for headers and tokens, so that the entry detects
// stalls soon.
func shortTimeouts(s *settings.Settings) {
	s.Entry.HeaderTimeoutMillis = 500
	s.Entry.FirstTokenTimeoutMillis = 1000
	s.Entry.TokenGapMillis = 500
}

// requestsPerRetry is the number of admitted requests that earn a workspace one retry
// (the inverse of admission.DefaultRetryRatio).
const requestsPerRetry = 10

// earnRetries sends enough requests through an entry for the workspace to earn the given number
// of retries. A fault test needs more retries than its own few requests would earn.
func earnRetries(t *testing.T, n *harness.Node, retries int) {
	t.Helper()
	for range retries * requestsPerRetry {
		awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("ordinary"), MaxTokens: 1})
	}
}

// injectStreamFaults sets the same stream faults on all stand-ins.
func injectStreamFaults(standins []*harness.Standin, f standin.StreamFaults) {
	for _, s := range standins {
		s.Fault(standin.FaultOrder{Faults: standin.Faults{Stream: f}})
	}
}

// checkReply checks the invariants of every reply: a complete answer is the expected one, and a
// request that was refused as not run has no run.
func checkReply(t *testing.T, c *harness.Cluster, request harness.Completion, reply harness.Reply) {
	t.Helper()
	if reply.Whole {
		assert.Check(t, reply.Right(request), "%q got %+v", request.Prompt, reply)
		return
	}
	assert.Check(t, reply.Refusal != nil, "%q got neither answer nor refusal: %+v", request.Prompt, reply)
	if reply.Refusal != nil && reply.Refusal.Ran == failure.RanNo {
		assert.Check(t, len(c.RunsOf(request.Prompt)) == 0, "%q was refused as not run: %+v", request.Prompt, reply.Refusal)
	}
}

// awaitService waits until an entry routes requests to a plain service.
func awaitService(t *testing.T, n *harness.Node, name string) {
	t.Helper()
	harness.Await(t, n.Spec.Name+" routes to "+name, func() bool {
		call := harness.ServiceRequest{Service: name, Method: http.MethodGet, Path: "/", TimeoutMillis: 2000}
		return harness.CallService(t.Context(), n.Entry, call).Whole
	})
}

// resendUntilFinal sends a request to the running entries in turn until it receives an answer,
// or a refusal that no resend can change.
func resendUntilFinal(t *testing.T, c *harness.Cluster, request harness.Completion) harness.Reply {
	t.Helper()
	var last harness.Reply
	turn := 0
	harness.Await(t, "a final answer for "+request.Key, func() bool {
		entries := c.Entries()
		turn++
		n := entries[turn%len(entries)]
		if !n.Running() {
			return false
		}
		last = harness.Complete(t.Context(), n.Entry, request)
		return last.Whole || (last.Refusal != nil && last.Refusal.Type == failure.TypeOutcomeUnknown)
	})
	return last
}

func logContains(n *harness.Node, text string) bool { return strings.Contains(n.Log(), text) }

// leaderOf waits until a control replica leads and returns its node.
func leaderOf(t *testing.T, c *harness.Cluster) *harness.Node {
	t.Helper()
	var leader *harness.Node
	harness.Await(t, "a control replica leads", func() bool {
		status, err := c.Status()
		if err != nil {
			return false
		}
		for _, r := range status.Replicas {
			if r.Role == "leader" {
				leader = c.Node(r.VM)
			}
		}
		return leader != nil
	})
	return leader
}
