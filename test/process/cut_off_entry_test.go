package process

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/test/process/harness"
	"github.com/citronstep/citronstep/test/serverlinks"
)

// streamsPerCut is how many streams are open when a cut begins.
const streamsPerCut = 4

func relayedAttempts(n *harness.Node) int { return strings.Count(n.Log(), "event=relayed ") }

// Guards against completions and calls that fail, or run twice, because the entry that took them is
// cut off from all backend servers: in the middle of streams, and with a non-idempotent key.
func TestEntryWithoutLinksServesItsCallers(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 2, "-token-interval", "20ms")
	other, cut := c.Entries()[0], c.Entries()[1]
	earnRetries(t, cut, 3*streamsPerCut)
	for _, how := range serverlinks.Names() {
		var open sync.WaitGroup
		for i := range streamsPerCut {
			stream := harness.Completion{Model: "demo", Prompt: uniquePrompt(fmt.Sprint(how, " stream ", i)), MaxTokens: 60}
			open.Go(func() {
				reply := harness.Complete(t.Context(), cut.Entry, stream)
				assert.Check(t, reply.Whole && reply.Right(stream), "%s: a stream across the cut: %+v", how, reply)
			})
		}
		time.Sleep(300 * time.Millisecond)
		cut.CutServers(how)
		open.Wait()
		for i := range 6 {
			request := harness.Completion{
				Model: "demo", Prompt: uniquePrompt(fmt.Sprint(how, " ", i)), MaxTokens: 4,
				Key: uniquePrompt("key"), NonIdempotent: true,
			}
			reply := harness.Complete(t.Context(), cut.Entry, request)
			assert.Check(t, reply.Whole && reply.Right(request), "%s: %+v", how, reply)
			resend := harness.Complete(t.Context(), other.Entry, request)
			assert.Check(t, resend.Whole && resend.Right(request), "%s: a resend to another entry: %+v", how, resend)
			assert.Check(t, len(c.RunsOf(request.Prompt)) == 1, "%s: %d runs", how, len(c.RunsOf(request.Prompt)))
		}
		cut.HealServers()
		harness.Await(t, "the direct way after "+how, func() bool {
			request := harness.Completion{Model: "demo", Prompt: uniquePrompt("healed"), MaxTokens: 1}
			before := relayedAttempts(cut)
			return harness.Complete(t.Context(), cut.Entry, request).Whole && relayedAttempts(cut) == before
		})
	}
}
