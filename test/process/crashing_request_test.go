package process

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against a request that crashes each engine that runs it, while its caller resends it
// to every entry: it would take down one group after the other, with all requests that run
// there. After its second crash every entry must refuse the request finally. All other
// requests, including those that ran beside it, must receive their complete answers.
func TestRequestThatCrashesEnginesIsStopped(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 3, "-token-interval", "5ms")
	for _, e := range engines {
		e.Fault(standin.FaultOrder{Faults: standin.Faults{CrashMarker: "ledger 7"}})
	}
	entries := c.Entries()
	poison := harness.Completion{Model: "demo", Prompt: uniquePrompt("ledger 7"), MaxTokens: 8}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				unrelated := harness.Completion{Model: "demo", Prompt: uniquePrompt("ledger 8"), MaxTokens: 40}
				retryUntilAnswered(t, entries[i%len(entries)], unrelated)
			}
		}()
	}
	turn := 0
	harness.Await(t, "the crashing request gets its final answer", func() bool {
		turn++
		reply := harness.Complete(t.Context(), entries[turn%len(entries)].Entry, poison)
		assert.Assert(t, !reply.Whole, "%+v", reply)
		return reply.Refusal != nil && reply.Refusal.Type == failure.TypeRequestCrashesBackend
	})
	for _, n := range entries {
		harness.Await(t, n.Spec.Name+" refuses the crashing request", func() bool {
			reply := harness.Complete(t.Context(), n.Entry, poison)
			return reply.Refusal != nil && reply.Refusal.Type == failure.TypeRequestCrashesBackend
		})
	}
	close(stop)
	wg.Wait()
	crashes := 0
	for _, run := range c.RunsOf(poison.Prompt) {
		if run.Outcome == standin.OutcomeCrashed {
			crashes++
		}
	}
	assert.Assert(t, crashes <= 2, "%d engines crashed", crashes)
}

// retryUntilAnswered resends a request until it is answered. An unrelated request must not be
// refused as the crashing one.
func retryUntilAnswered(t *testing.T, n *harness.Node, request harness.Completion) {
	t.Helper()
	harness.Await(t, "an answer for "+request.Prompt, func() bool {
		reply := harness.Complete(t.Context(), n.Entry, request)
		if reply.Refusal != nil {
			assert.Check(t, reply.Refusal.Type != failure.TypeRequestCrashesBackend, "%+v", reply.Refusal)
		}
		if reply.Whole {
			assert.Check(t, reply.Right(request), "%+v", reply)
		}
		return reply.Whole
	})
}
