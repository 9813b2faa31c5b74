package process

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against several runs of one idempotency key. The request is sent to every entry while
// the first send still runs, and once more after it has completed. Without a common holder of
// the key each entry would run the request itself, and the callers would receive different
// answers.
func TestIdempotentResendsOnAllEntriesRunOnce(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "20ms")
	request := harness.Completion{Model: "demo", Prompt: uniquePrompt("summary"), MaxTokens: 40, Key: "ledger-7"}
	var wait sync.WaitGroup
	replies := make([]harness.Reply, 2*len(c.Entries()))
	for i := range replies {
		wait.Add(1)
		go func() {
			defer wait.Done()
			n := c.Entries()[i%len(c.Entries())]
			sent := request
			sent.Stream = i%2 == 0
			replies[i] = harness.Complete(t.Context(), n.Entry, sent)
		}()
	}
	wait.Wait()
	for _, n := range c.Entries() {
		replies = append(replies, harness.Complete(t.Context(), n.Entry, request))
	}
	for _, r := range replies {
		assert.Assert(t, r.Right(request), "%+v", r)
	}
	assert.Equal(t, len(c.RunsOf(request.Prompt)), 1)
}

// Guards against a cut answer when the entry that runs a keyed request is killed while another
// entry relays the same answer to a second caller. That caller must receive its complete
// answer: the second entry resumes after the tokens that it already has.
func TestHolderKilledWhileAnotherEntryRelays(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "20ms")
	request := harness.Completion{Model: "demo", Prompt: uniquePrompt("memo"), MaxTokens: 150, Key: "memo-7", Stream: true}
	first := c.Node("n4")
	go harness.Complete(t.Context(), first.Entry, request)
	harness.Await(t, "the first request runs", func() bool { return len(c.RunsOf(request.Prompt)) == 1 })
	second := make(chan harness.Reply, 1)
	go func() { second <- harness.Complete(t.Context(), c.Node("n1").Entry, request) }()
	harness.Await(t, "the second request has attached to the first", func() bool { return logContains(c.Node("n1"), "event=attach") })
	first.Kill()
	reply := <-second
	assert.Assert(t, reply.Right(request), "%+v", reply)
	assert.Equal(t, reply.Text, standin.ExpectedText(request.Prompt, request.MaxTokens))
}
