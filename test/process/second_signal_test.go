package process

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against an entry that never stops because one stream goes on for minutes. A second
// SIGTERM must end the process at once, with an exit status that reports requests cut off.
// The drain limit in the settings must do the same without a second signal.
func TestASecondSignalOrTheLimitEndsAStop(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name             string
		drainMillis      int64
		sendSecondSignal bool
	}{{"second signal", 60_000, true}, {"drain limit", 1_000, false}} {
		t.Run(c.name, func(t *testing.T) {
			system, _ := startServingCluster(t, twoNodeSpec(func(s *settings.Settings) { s.Entry.DrainMillis = c.drainMillis }), 1, "-token-interval", "200ms")
			entry := system.Node("n2")
			request := harness.Completion{Model: "demo", Prompt: uniquePrompt("endless"), MaxTokens: 1000, Stream: true}
			done := make(chan harness.Reply, 1)
			go func() { done <- harness.Complete(t.Context(), entry.Entry, request) }()
			harness.Await(t, "the stream runs", func() bool { return len(system.RunsOf(request.Prompt)) == 1 })
			entry.Terminate()
			harness.Await(t, "the entry drains", func() bool { return logContains(entry, "event=drain ") })
			if c.sendSecondSignal {
				entry.Terminate()
			}
			assert.Equal(t, entry.Wait(30*time.Second), 3)
			reply := <-done
			assert.Assert(t, !reply.Whole, "a cut answer was accepted as complete")
		})
	}
}

// Guards against a reset connection in place of a refusal when a body is far over the size limit:
// 12 MiB, twelve times the limit. After a reset the caller would send the same body again.
func TestABodyFarOverTheLimitIsAnswered(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(func(*settings.Settings) {}), 1)
	for range 5 {
		request := harness.Completion{Model: "demo", Prompt: strings.Repeat("x", 12<<20), MaxTokens: 1}
		reply := harness.Complete(t.Context(), c.Node("n1").Entry, request)
		assert.Equal(t, reply.Status, http.StatusRequestEntityTooLarge, "%+v", reply.Lost)
		assert.Equal(t, reply.Refusal.Type, failure.TypeBodyTooLarge)
	}
}
