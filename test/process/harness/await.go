package harness

import (
	"time"
)

const (
	pollInterval = 20 * time.Millisecond
	// AwaitTimeout bounds each wait for a state. It is generous: tests assert
	// states, not speed.
	AwaitTimeout = 60 * time.Second
)

// Await waits until ok returns true. On timeout the test fails with what.
func Await(t T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(AwaitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", AwaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}
