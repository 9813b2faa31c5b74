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

// inFlight starts streams of about a second on an entry, waits until each has
// begun on a backend server, and returns a function that waits for all.
func inFlight(t *testing.T, c *harness.Cluster, entry string, count int) (wait func()) {
	t.Helper()
	var wg sync.WaitGroup
	requests := make([]harness.Completion, count)
	for i := range requests {
		requests[i] = harness.Completion{
			Model: "demo", Prompt: newPrompt("in flight"), MaxTokens: 60, Stream: i%2 == 0, Key: "flight-" + newPrompt(""),
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := harness.Complete(t.Context(), entry, requests[i])
			assert.Check(t, reply.Right(requests[i]), "%+v", reply)
		}()
	}
	for _, r := range requests {
		harness.Await(t, "each is in flight", func() bool { return len(c.RunsOf(r.Prompt)) > 0 })
	}
	return func() {
		t.Helper()
		wg.Wait()
		for _, r := range requests {
			assert.Equal(t, len(c.RunsOf(r.Prompt)), 1, "run again: "+r.Prompt)
		}
	}
}

// Drafts are cut off in the middle of a sentence whenever an entry is
// upgraded. The platform sends SIGTERM to an entry with streams and plain
// answers open: all must end whole, without a second run, and the process
// with status 0.
func TestEntryStopsWithoutACut(t *testing.T) {
	t.Parallel()
	c, _ := smallSystem(t, small(quick), 2, "-token-interval", "20ms")
	entry := c.Node("n2")
	wait := inFlight(t, c, entry.Entry, 8)
	entry.Terminate()
	wait()
	assert.Equal(t, entry.Wait(20*time.Second), 0)
}

// The same with the process that leads the control replicas, itself an entry.
func TestControlLeaderStopsWithoutACut(t *testing.T) {
	t.Parallel()
	c, _ := smallSystem(t, harness.Standard(), 2, "-token-interval", "20ms")
	leader := leaderOf(t, c)
	other := c.Node("n4")
	waitOwn := inFlight(t, c, leader.Entry, 4)
	waitOther := inFlight(t, c, other.Entry, 4)
	leader.Terminate()
	waitOwn()
	waitOther()
	assert.Equal(t, leader.Wait(20*time.Second), 0)
	awaitAnswer(t, other, harness.Completion{Model: "demo", Prompt: newPrompt("after"), MaxTokens: 2})
}

// An operator drains a group's VM for maintenance while it answers. What is in
// flight must end there, and after a few seconds nothing new may begin there.
func TestDrainedVMFinishesAndGetsNothingNew(t *testing.T) {
	t.Parallel()
	c, engines := smallSystem(t, small(quick), 2, "-token-interval", "20ms")
	entry := c.Entries()[0]
	wait := inFlight(t, c, entry.Entry, 8)
	c.Change(blackboard.ConfigChange{ChangeID: "drain", DrainVMs: []string{engines[0].ID}})
	wait()
	checkNothingNewOn(t, entry, engines[0])
}

// A backend server announces that it is leaving, as before its own upgrade.
func TestLeavingEngineFinishesAndGetsNothingNew(t *testing.T) {
	t.Parallel()
	c, engines := smallSystem(t, small(quick), 2, "-token-interval", "20ms")
	entry := c.Entries()[0]
	wait := inFlight(t, c, entry.Entry, 8)
	leaving := true
	engines[0].Fault(standin.FaultOrder{Leaving: &leaving})
	wait()
	checkNothingNewOn(t, entry, engines[0])
}

// leaveTime is after how long a leaving backend server gets no new work.
const leaveTime = 5 * time.Second

func checkNothingNewOn(t *testing.T, entry *harness.Node, leaving *harness.Standin) {
	t.Helper()
	time.Sleep(leaveTime)
	before := len(leaving.Runs())
	for i := range 10 {
		request := harness.Completion{Model: "demo", Prompt: newPrompt("new " + strconv.Itoa(i)), MaxTokens: 2}
		reply := harness.Complete(t.Context(), entry.Entry, request)
		assert.Assert(t, reply.Right(request), "%+v", reply)
	}
	assert.Equal(t, len(leaving.Runs()), before)
}
