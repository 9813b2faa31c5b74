package harness

import (
	"time"
)

const (
	pollInterval = 20 * time.Millisecond
	// AwaitTimeout bounds each wait for a state. It is far longer than any state should take, because
	// tests assert states, not speed.
	AwaitTimeout = 60 * time.Second
)

// Await polls ok until it returns true. On timeout the test fails and reports what, the state
// that was awaited.
func Await(t T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(AwaitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("state not reached within %s: %s", AwaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}
