package process

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// startRequests starts count requests of about a second each on an entry, every other one
// streamed. It waits until all have started on a backend server. The returned function waits
// until all have completed, and checks that each ran once.
func startRequests(t *testing.T, c *harness.Cluster, entry string, count int) (wait func()) {
	t.Helper()
	var wg sync.WaitGroup
	requests := make([]harness.Completion, count)
	for i := range requests {
		requests[i] = harness.Completion{
			Model: "demo", Prompt: uniquePrompt("in flight"), MaxTokens: 60, Stream: i%2 == 0, Key: "flight-" + uniquePrompt(""),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := harness.Complete(t.Context(), entry, requests[i])
			assert.Check(t, reply.Right(requests[i]), "%+v", reply)
		}()
	}
	for _, r := range requests {
		harness.Await(t, "the request is in flight", func() bool { return len(c.RunsOf(r.Prompt)) > 0 })
	}
	return func() {
		t.Helper()
		wg.Wait()
		for _, r := range requests {
			assert.Equal(t, len(c.RunsOf(r.Prompt)), 1, "the request ran more than once: "+r.Prompt)
		}
	}
}

// Guards against answers that break off when an entry is upgraded. The platform sends SIGTERM to
// an entry with open streams and plain answers. All must complete without a second run, and the
// process must exit with status 0.
func TestEntryShutdownCompletesOpenRequests(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 2, "-token-interval", "20ms")
	entry := c.Node("n2")
	wait := startRequests(t, c, entry.Entry, 8)
	entry.Terminate()
	wait()
	assert.Equal(t, entry.Wait(20*time.Second), 0)
}

// Guards against answers that break off, on any entry, when the control leader receives SIGTERM.
// The leader is itself an entry.
func TestControlLeaderShutdownCompletesOpenRequests(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "20ms")
	leader := leaderOf(t, c)
	other := c.Node("n4")
	waitOwn := startRequests(t, c, leader.Entry, 4)
	waitOther := startRequests(t, c, other.Entry, 4)
	leader.Terminate()
	waitOwn()
	waitOther()
	assert.Equal(t, leader.Wait(20*time.Second), 0)
	awaitAnswer(t, other, harness.Completion{Model: "demo", Prompt: uniquePrompt("after"), MaxTokens: 2})
}

// Guards against broken or new requests on a VM that an operator drains for maintenance while it
// answers. Requests in flight must complete there, and after a few seconds no new request may
// start there.
func TestDrainedVMFinishesAndGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2, "-token-interval", "20ms")
	entry := c.Entries()[0]
	wait := startRequests(t, c, entry.Entry, 8)
	c.Change(blackboard.ConfigChange{ChangeID: "drain", DrainVMs: []string{engines[0].ID}})
	wait()
	checkNoNewRequests(t, entry, engines[0])
}

// Guards against broken or new requests on a backend server that announces that it is leaving,
// as it does before its own upgrade.
func TestLeavingEngineFinishesAndGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2, "-token-interval", "20ms")
	entry := c.Entries()[0]
	wait := startRequests(t, c, entry.Entry, 8)
	leaving := true
	engines[0].Fault(standin.FaultOrder{Leaving: &leaving})
	wait()
	checkNoNewRequests(t, entry, engines[0])
}

// leaveDelay is the time after which a leaving backend server must receive no new requests.
const leaveDelay = 5 * time.Second

// checkNoNewRequests waits leaveDelay and checks that requests are answered without leaving.
func checkNoNewRequests(t *testing.T, entry *harness.Node, leaving *harness.Standin) {
	t.Helper()
	time.Sleep(leaveDelay)
	before := len(leaving.Runs())
	for i := range 10 {
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt("new " + strconv.Itoa(i)), MaxTokens: 2}
		reply := harness.Complete(t.Context(), entry.Entry, request)
		assert.Assert(t, reply.Right(request), "%+v", reply)
	}
	assert.Equal(t, len(leaving.Runs()), before)
}
