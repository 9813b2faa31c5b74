package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/test/process/harness"
)

// expireLease cuts an entry off from every control replica and waits until the entry's lease has
// expired.
func expireLease(t *testing.T, c *harness.Cluster, n *harness.Node) {
	t.Helper()
	for _, other := range c.Nodes {
		other.Peers.CutFrom(n)
	}
	harness.Await(t, n.Spec.Name+" has lost its lease", func() bool { return !n.Ready() })
}

// healPeers ends all cuts of the links between the nodes.
func healPeers(c *harness.Cluster) {
	for _, n := range c.Nodes {
		n.Peers.Heal()
	}
}

// Guards against a false "not run" from an isolated entry. A non-idempotent request has run
// through another entry. Its caller resends it to an entry that is cut off from the control
// replicas and can't know of the first send. After "not run" the caller would send the
// request under a new key, and it would run twice. A first send without a key is still refused
// as not run.
func TestStaleEntryDoesNotSayThatAnEarlierSendDidNotRun(t *testing.T) {
	c, _ := startServingCluster(t, harness.Standard(), 1)
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 4, Key: "note-5", NonIdempotent: true,
	}
	first := harness.Complete(t.Context(), c.Node("n1").Entry, request)
	assert.Assert(t, first.Right(request), "%+v", first)

	cut := c.Node("n4")
	expireLease(t, c, cut)
	again := harness.Complete(t.Context(), cut.Entry, request)
	assert.Assert(t, again.Refusal != nil, "%+v", again)
	assert.Equal(t, again.Refusal.Ran, failure.RanUnknown, "%+v", again.Refusal)
	assert.Assert(t, again.RetryAfter != "")

	fresh := request
	fresh.Key, fresh.Prompt, fresh.NonIdempotent = "", uniquePrompt("lookup"), false
	refused := harness.Complete(t.Context(), cut.Entry, fresh)
	assert.Assert(t, refused.Refusal != nil, "%+v", refused)
	assert.Equal(t, refused.Refusal.Ran, failure.RanNo, "%+v", refused.Refusal)
}

// Guards against a false "not run" from a stopping entry when the request has run through
// another entry.
func TestStoppingEntryDoesNotSayThatAnEarlierSendDidNotRun(t *testing.T) {
	c, _ := startServingCluster(t, harness.Standard(), 1, "-token-interval", "50ms")
	stopping := c.Node("n4")
	wait := startRequests(t, c, stopping.Entry, 2)
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 2, Key: "note-6", NonIdempotent: true,
	}
	first := harness.Complete(t.Context(), c.Node("n1").Entry, request)
	assert.Assert(t, first.Right(request), "%+v", first)
	stopping.Terminate()
	for stopping.Running() {
		again := harness.Complete(t.Context(), stopping.Entry, request)
		if again.Refusal != nil {
			assert.Assert(t, again.Refusal.Ran != failure.RanNo, "%+v", again.Refusal)
		}
		time.Sleep(50 * time.Millisecond)
	}
	wait()
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// Guards against status 401 for a valid workspace key. The entry has restarted while cut off from
// the control replicas, so it knows no workspace yet. It must refuse as not ready, with a
// Retry-After: callers give up after 401.
func TestRestartedIsolatedEntryDoesNotRejectValidKeys(t *testing.T) {
	c, _ := startServingCluster(t, harness.Standard(), 1)
	entry := c.Node("n4")
	for _, other := range c.Nodes {
		other.Peers.Cut()
	}
	entry.Kill()
	entry.Start()
	request := harness.Completion{Model: "demo", Prompt: uniquePrompt("lookup"), MaxTokens: 4}
	var reply harness.Reply
	harness.Await(t, "the entry listens", func() bool {
		reply = harness.Complete(t.Context(), entry.Entry, request)
		return reply.Lost == nil
	})
	assert.Assert(t, reply.Refusal != nil, "%+v", reply)
	assert.Assert(t, reply.Refusal.Type != failure.TypeUnauthenticated, "%+v", reply.Refusal)
	assert.Assert(t, reply.RetryAfter != "", "%+v", reply)
	healPeers(c)
	awaitAnswer(t, entry, request)
}
