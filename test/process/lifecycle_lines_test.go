package process

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
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
