package harness

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a paused process that goes on for a moment, and does then what a test holds to be impossible.
func TestPausedProcessIsStopped(t *testing.T) {
	p := StartProcess(t, "busy", t.TempDir(), "/bin/sh", "-c", "while :; do :; done")
	for range 200 {
		p.Pause()
		assert.Assert(t, isStopped(p.PID()))
		p.Resume()
	}
}
