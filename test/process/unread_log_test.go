package process

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against an entry that blocks on its own log. The collector of the log hangs, and the
// pipe is full after some seventy requests. If writing a line waited for the reader, each later
// request would wait too, and the process could not even be stopped. All requests must be
// answered, and a stop must end the process.
func TestAnEntryWhoseLogNobodyReadsAnswersAndStops(t *testing.T) {
	t.Parallel()
	n := serveWithUnreadLog(t, func(*settings.Settings) {})
	n.Terminate()
	assert.Equal(t, n.Wait(stopTimeout), 0)
}

// serveWithUnreadLog starts an entry whose log nobody reads, and sends it more requests than lines
// fit into the pipe.
func serveWithUnreadLog(t *testing.T, change func(*settings.Settings)) *harness.Node {
	t.Helper()
	c, _ := startServingCluster(t, twoNodeSpec(change), 1, "-token-interval", "1ms")
	n := c.Node("n2")
	n.Terminate()
	assert.Equal(t, n.Wait(stopTimeout), 0)
	n.StopReading()
	n.Start()
	awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("again?"), MaxTokens: 1})
	for i := range 300 {
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt(fmt.Sprint("request ", i)), MaxTokens: 4}
		reply := harness.Complete(t.Context(), n.Entry, request)
		assert.Assert(t, reply.Right(request), "request %d: %+v", i, reply)
	}
	return n
}

// stopTimeout is the time after which the test takes a stop as hung.
const stopTimeout = 60 * time.Second
