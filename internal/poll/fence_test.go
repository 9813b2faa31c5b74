package poll

import (
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func awaitPassed(t *testing.T, passed <-chan struct{}) {
	t.Helper()
	select {
	case <-passed:
	case <-time.After(10 * time.Second):
		t.Fatal("the fence is not passed")
	}
}

// Guards against waits that never end, or that end another's.
func TestFenceIsPassedByEachThatWaits(t *testing.T) {
	f, err := NewFence()
	assert.NilError(t, err)
	defer f.Close()
	var all []<-chan struct{}
	for range 2 * maxWaiting {
		all = append(all, f.Passed())
	}
	for _, passed := range all {
		awaitPassed(t, passed)
	}
	awaitPassed(t, f.Passed())
}

// Guards against a stop that waits for a fence, and against one that is used after it.
func TestClosedFenceIsPassed(t *testing.T) {
	f, err := NewFence()
	assert.NilError(t, err)
	open := f.Passed()
	f.Close()
	awaitPassed(t, open)
	awaitPassed(t, f.Passed())
	f.Close()
}
