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

// Two transfer notes with different volumes reach an auditor: the terminal
// sent its request to every entry at once, as its balancer timed out. All carry
// one key and are marked non-idempotent; one may run, the others must get its
// answer or be told that it is under way.
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

// A transfer note is under way when the entry that sent it to an engine is
// killed. The terminal resends to the other entries until it gets a final
// answer. The run's outcome is lost with the entry, so "unknown" is the only
// true one; a second run is not.
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

// The same, but the entry is killed between its claim and the dispatch: it
// waits for a serving group when it dies. The claim stays with it, so a resend
// may never run either; and nobody may be told that it did not run.
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

// The answer of a transfer note is lost on its way back, while the control
// leader, which holds the record of the run, is killed. The terminal resends:
// it must get the recorded answer from what the other replicas hold.
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

	// The entry that ran it keeps the answer too; only the record may answer.
	entry.Kill()
	again := resendUntilFinal(t, c, request)
	assert.Assert(t, again.Right(request), "%+v", again)
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// resendUntilOutcomeUnknown sends a call whose outcome is lost until it is told so for
// good. The first resends may find the first send still under way.
func resendUntilOutcomeUnknown(t *testing.T, n *harness.Node, call harness.ServiceRequest) {
	t.Helper()
	harness.Await(t, "the outcome is unknown for good", func() bool {
		again := harness.CallService(t.Context(), n.Entry, call)
		assert.Assert(t, again.Refusal != nil, "%+v", again)
		assert.Equal(t, again.Refusal.Ran, failure.RanUnknown, "%+v", again.Refusal)
		return again.Refusal.Type == failure.TypeOutcomeUnknown
	})
}

// A plain service writes a custody record and its answer is cut, stalls, or
// its process dies. The call may have written, so it is not repeated, neither
// by the entry nor for the caller's resend; with and without a key.
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

// The engine has finished a transfer note, and its entry is cut off from the
// control replicas and dies before it could record the answer. A resend can't
// get that answer; it must not get a second run either.
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

// An entry asks for a claim and the answer is lost, though the claim was
// granted: answers from the control replicas to that entry are cut. It must not
// dispatch, must not say "not run" of a key that others may have sent, and no
// resend may run twice.
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
