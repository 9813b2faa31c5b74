package process

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

// What gathers an entry's log hangs and reads nothing more. The pipe is full
// after some seventy requests; if a line waited for its reader, each later request
// would as well, and the process could not even be stopped. All requests must be
// answered, and a stop must end the process.
func TestAnEntryWhoseLogNobodyReadsAnswersAndStops(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(func(*settings.Settings) {}), 1, "-token-interval", "1ms")
	n := c.Entries()[1]
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
	n.Terminate()
	assert.Equal(t, n.Wait(stopTimeout), 0)
}

// stopTimeout is how long a stop may take before the test calls it hung.
const stopTimeout = 60 * time.Second
