package main

import (
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// settingsVariable makes this test program run the daemon with a settings file.
const settingsVariable = "CITRONSTEP_TEST_SETTINGS"

// Guards against a process that its settings keep from starting and that says so on standard error alone.
func TestUnusableSettingsAreOnStandardOutput(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), settingsVariable+"=/no/such/settings.toml")
	out, err := c.Output()
	assert.Assert(t, err != nil)
	assert.Equal(t, c.ProcessState.ExitCode(), exitUsage)
	assert.Assert(t, is.Contains(string(out), "level=error event=start_failed"))
	assert.Assert(t, is.Contains(string(out), "/no/such/settings.toml"))
}

// runDaemon runs the daemon with a settings file.
func runDaemon(file string) {
	os.Args = []string{os.Args[0], "-settings", file}
	main()
}
