package process

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against a process whose standard output does not name its build and its process id, nor when it began to serve.
func TestStandardOutputSaysWhichProcessServesSinceWhen(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 1, "-token-interval", "1ms")
	for _, n := range c.Entries() {
		assert.Assert(t, is.Contains(n.Log(), fmt.Sprintf(" pid=%d ", n.PID())))
		assert.Assert(t, is.Contains(n.Log(), " build="))
		assert.Assert(t, is.Contains(n.Log(), "event=serving after_ms="))
	}
}

// Guards against a crash of a daemon that leaves no trace on standard output, where users collect its log.
func TestCrashOfADaemonLeavesATraceOnStandardOutput(t *testing.T) {
	t.Parallel()
	c := harness.NewCluster(t, twoNodeSpec(shortTimeouts))
	n := c.Node("n2")
	harness.Await(t, "the daemon has started", func() bool { return logContains(n, "event=started ") })
	n.Abort()
	assert.Equal(t, n.Wait(stopTimeout), 2)
	assert.Assert(t, is.Contains(n.Output(), "SIGABRT: abort"))
	assert.Assert(t, is.Contains(n.Output(), "goroutine "))
}

// Guards against a crashed daemon that never ends, because nobody reads its log.
func TestCrashOfADaemonWhoseLogNobodyReadsEnds(t *testing.T) {
	t.Parallel()
	n := serveWithUnreadLog(t, shortTimeouts)
	n.Abort()
	assert.Equal(t, n.Wait(stopTimeout), 2)
}

// Guards against an entry that ends without a trace, because the reader of its log has ended.
func TestEntryWhoseLogReaderHasEndedServes(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 1, "-token-interval", "1ms")
	n := c.Node("n2")
	n.Terminate()
	assert.Equal(t, n.Wait(stopTimeout), 0)
	n.LoseReader()
	n.Start()
	awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("again?"), MaxTokens: 1})
	n.Terminate()
	assert.Equal(t, n.Wait(stopTimeout), 0)
}

// Guards against a killed entry whose standard output does not say what it had open.
func TestLastLinesOfAKilledEntrySayWhatItHadOpen(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 1, "-token-interval", "200ms")
	n := c.Node("n2")
	const streams = 3
	replies := make(chan harness.Reply, streams)
	for range streams {
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt("endless"), MaxTokens: 1000, Stream: true}
		go func() { replies <- harness.Complete(t.Context(), n.Entry, request) }()
	}
	harness.Await(t, "the streams are in the log", func() bool { return logContains(n, "event=open_requests open=3 begun=3 oldest_ms=") })
	n.Kill()
	for range streams {
		assert.Assert(t, !(<-replies).Whole)
	}
	assert.Assert(t, !logContains(n, "event=stopped"))
}

// Guards against a control process whose standard output does not say how its last run ended.
func TestControlProcessSaysHowItsLastRunEnded(t *testing.T) {
	t.Parallel()
	c := harness.NewCluster(t, twoNodeSpec(shortTimeouts))
	n := c.Node("n1")
	awaitStart := func(previous string) {
		t.Helper()
		harness.Await(t, "a start after "+previous, func() bool { return strings.Contains(n.Output(), " previous_end="+previous+"\n") })
	}
	awaitStart("none")
	n.Terminate()
	assert.Equal(t, n.Wait(stopTimeout), 0)
	n.Start()
	awaitStart("stopped")
	harness.Await(t, "the start is recorded", func() bool {
		state, err := os.ReadFile(filepath.Join(n.DataFolder(), "run-state"))
		return err == nil && strings.HasPrefix(string(state), "running")
	})
	n.Kill()
	n.Start()
	awaitStart("unannounced")
	assert.Assert(t, strings.Contains(c.Node("n2").Output(), " previous_end=unknown\n"), "an entry has no data folder")
}
