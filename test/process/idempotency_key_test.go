package process

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// A lookup with an idempotency key is sent again, to every entry, while the
// first send still runs, and once more after it. Without a common holder each
// entry runs it anew, and an audit gets two summaries of one ledger.
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

// The entry that runs a keyed request is killed while another entry relays the
// same answer to a second caller. That caller must get its whole answer: the
// second entry resumes after the tokens that it has.
func TestHolderKilledWhileAnotherEntryRelays(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2, "-token-interval", "20ms")
	request := harness.Completion{Model: "demo", Prompt: uniquePrompt("memo"), MaxTokens: 150, Key: "memo-7", Stream: true}
	first := c.Node("n4")
	go harness.Complete(t.Context(), first.Entry, request)
	harness.Await(t, "the first runs", func() bool { return len(c.RunsOf(request.Prompt)) == 1 })
	second := make(chan harness.Reply, 1)
	go func() { second <- harness.Complete(t.Context(), c.Node("n1").Entry, request) }()
	harness.Await(t, "the second has attached", func() bool { return logContains(c.Node("n1"), "event=attach") })
	first.Kill()
	reply := <-second
	assert.Assert(t, reply.Right(request), "%+v", reply)
	assert.Equal(t, reply.Text, standin.ExpectedText(request.Prompt, request.MaxTokens))
}
