package process

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against a non-idempotent request that runs twice because its caller sends it to every
// entry at once after a time-out. All sends carry the same key. One send may run. The others
// must receive its answer or a refusal that does not say "not run".
func TestResendsOnAllEntriesRunOnce(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "10ms")
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 20, Key: "note-1", NonIdempotent: true,
	}
	var wg sync.WaitGroup
	for round := range 3 {
		for _, n := range c.Entries() {
			wg.Add(1)
			go func() {
				defer wg.Done()
				reply := harness.Complete(t.Context(), n.Entry, request)
				if reply.Whole {
					assert.Check(t, reply.Right(request), "%+v", reply)
					return
				}
				assert.Check(t, reply.Refusal != nil, "%+v", reply)
				assert.Check(t, reply.Refusal.Ran != failure.RanNo, "%+v", reply.Refusal)
			}()
		}
		time.Sleep(time.Duration(round) * 20 * time.Millisecond)
	}
	wg.Wait()
	for _, n := range c.Entries() {
		reply := harness.Complete(t.Context(), n.Entry, request)
		assert.Assert(t, reply.Right(request), "resend on %s: %+v", n.Spec.Name, reply)
	}
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// Guards against a second run of a non-idempotent request whose entry is killed after dispatch.
// The caller resends to the other entries until it receives a final answer. The result of the
// run is lost with the entry, so the only correct final answer is "outcome unknown".
func TestEntryKilledAfterDispatchRunsOnce(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "50ms")
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 40, Key: "note-2", NonIdempotent: true, TimeoutMillis: 3000,
	}
	victim := c.Node("n4")
	interrupted := make(chan harness.Reply, 1)
	go func() { interrupted <- harness.Complete(t.Context(), victim.Entry, request) }()
	harness.Await(t, "the run begins", func() bool { return len(c.RunsOf(request.Prompt)) == 1 })
	victim.Kill()
	assert.Assert(t, !(<-interrupted).Whole)

	reply := resendUntilFinal(t, c, request)
	assert.Assert(t, !reply.Whole, "%+v", reply)
	assert.Equal(t, reply.Refusal.Type, failure.TypeOutcomeUnknown, "%+v", reply)
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// Guards against a second run, or a false "not run", when an entry is killed between its claim
// and the dispatch, while it waits for a serving group. The killed entry still owns the claim,
// so a resend may never run.
func TestEntryKilledBeforeDispatchDoesNotRunTwice(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, harness.Standard(), 1)
	engines[0].Kill()
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 4, Key: "note-3", NonIdempotent: true, TimeoutMillis: 2500,
	}
	victim := c.Node("n4")
	interrupted := make(chan harness.Reply, 1)
	go func() { interrupted <- harness.Complete(t.Context(), victim.Entry, request) }()
	harness.Await(t, "the claim is granted", func() bool { return logContains(victim, "event=claim") })
	victim.Kill()
	<-interrupted
	engines[0].Start()
	c.AwaitGroups("demo", 1)

	reply := resendUntilFinal(t, c, request)
	runs := len(c.RunsOf(request.Prompt))
	assert.Assert(t, runs <= 1, "%d runs", runs)
	assert.Assert(t, reply.Whole == (runs == 1), "%+v", reply)
}

// Guards against the loss of a recorded answer with the control leader. The leader, which holds
// the record of the run, is killed during the run. A resend must receive the recorded answer
// from the other control replicas.
func TestRecordedAnswerSurvivesLeaderLoss(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 1, "-token-interval", "20ms")
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 10, Key: "note-4", NonIdempotent: true,
	}
	entry := c.Node("n4")
	first := make(chan harness.Reply, 1)
	go func() { first <- harness.Complete(t.Context(), entry.Entry, request) }()
	harness.Await(t, "the run begins", func() bool { return len(c.RunsOf(request.Prompt)) == 1 })
	leaderOf(t, c).Kill()
	reply := <-first
	assert.Assert(t, reply.Right(request), "%+v", reply)

	// The entry that ran the request also caches the answer. Without that entry, only the record
	// can answer.
	entry.Kill()
	again := resendUntilFinal(t, c, request)
	assert.Assert(t, again.Right(request), "%+v", again)
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// resendUntilOutcomeUnknown resends a call whose outcome is lost until the refusal has the final
// type "outcome unknown". The first resends may still find the original call in progress.
func resendUntilOutcomeUnknown(t *testing.T, n *harness.Node, call harness.ServiceRequest) {
	t.Helper()
	harness.Await(t, "the refusal has the final type for an unknown outcome", func() bool {
		again := harness.CallService(t.Context(), n.Entry, call)
		assert.Assert(t, again.Refusal != nil, "%+v", again)
		assert.Equal(t, again.Refusal.Ran, failure.RanUnknown, "%+v", again.Refusal)
		return again.Refusal.Type == failure.TypeOutcomeUnknown
	})
}

// Guards against a repeated call to a plain service whose answer is cut or stalls, or whose
// process crashes. The call may have had its effect, so neither the entry nor a resend by the
// caller may repeat it, with or without an idempotency key.
func TestPlainServiceCallThatBreaksRunsOnce(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 1)
	services := []*harness.Standin{c.StartService("records-1", "records"), c.StartService("records-2", "records")}
	entry := c.Entries()[0]
	awaitService(t, entry, "records")
	for name, faults := range map[string]standin.Faults{
		"cut":     {Stream: standin.StreamFaults{Kind: standin.StreamCut, After: 10}},
		"stalled": {Stream: standin.StreamFaults{Kind: standin.StreamStalled}},
		"crash":   {CrashMarker: "custody"},
	} {
		for _, key := range []string{"", "record-" + name} {
			t.Run(name+" "+key, func(t *testing.T) {
				for _, s := range services {
					s.Fault(standin.FaultOrder{Faults: faults})
				}
				call := harness.ServiceRequest{
					Service: "records", Method: http.MethodPost, Path: "/custody", Body: []byte(uniquePrompt("custody")),
					Key: key, TimeoutMillis: 1500,
				}
				reply := harness.CallService(t.Context(), entry.Entry, call)
				assert.Assert(t, reply.Refusal != nil, "%+v", reply)
				assert.Equal(t, reply.Refusal.Ran, failure.RanUnknown)
				for _, s := range services {
					s.Fault(standin.FaultOrder{})
				}
				if key != "" {
					resendUntilOutcomeUnknown(t, entry, call)
				}
				assert.Equal(t, len(c.RunsOf(standin.BodyHash(call.Body))), 1)
				awaitService(t, entry, "records")
			})
		}
	}
}

// Guards against a second run when an entry is cut off from the control replicas and dies after
// the engine has finished, but before the entry has recorded the answer. A resend can't
// receive that answer and must not start a second run.
func TestEntryKilledBetweenAnswerAndRecordRunsOnce(t *testing.T) {
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "20ms")
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 20, Key: "note-7", NonIdempotent: true, TimeoutMillis: 3000,
	}
	victim := c.Node("n4")
	interrupted := make(chan harness.Reply, 1)
	go func() { interrupted <- harness.Complete(t.Context(), victim.Entry, request) }()
	harness.Await(t, "the run begins", func() bool { return len(c.RunsOf(request.Prompt)) == 1 })
	for _, n := range c.Nodes {
		n.Peers.CutFrom(victim)
	}
	harness.Await(t, "the run ends", func() bool { return c.RunsOf(request.Prompt)[0].Outcome != "" })
	victim.Kill()
	assert.Assert(t, !(<-interrupted).Whole)

	reply := resendUntilFinal(t, c, request)
	assert.Assert(t, !reply.Whole, "%+v", reply)
	assert.Equal(t, reply.Refusal.Type, failure.TypeOutcomeUnknown, "%+v", reply)
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// Guards against a second run when a claim is granted but the grant is lost on its way to the
// entry: the network drops the control replicas' answers to that entry. The entry must not
// dispatch. It must not say "not run", because other entries may have received the same key.
// No resend may lead to a second run.
func TestLostAnswerOfAClaimRunsAtMostOnce(t *testing.T) {
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "5ms")
	cut := c.Node("n4")
	request := harness.Completion{
		Model: "demo", Prompt: uniquePrompt("transfer note"), MaxTokens: 4, Key: "note-8", NonIdempotent: true, TimeoutMillis: 2500,
	}
	for _, n := range c.Nodes {
		n.Peers.CutFromOneWay(cut, harness.Back)
	}
	first := harness.Complete(t.Context(), cut.Entry, request)
	assert.Assert(t, first.Refusal != nil, "%+v", first)
	assert.Assert(t, first.Refusal.Ran != failure.RanNo, "%+v", first.Refusal)
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 0)
	for _, n := range c.Nodes {
		n.Peers.Heal()
	}

	reply := resendUntilFinal(t, c, request)
	runs := len(c.RunsOf(request.Prompt))
	assert.Assert(t, runs <= 1, "%d runs", runs)
	assert.Assert(t, reply.Whole == (runs == 1), "%+v", reply)
}
