package main

import (
	"fmt"
	"os"
	"runtime"
	"sync/atomic"

	"github.com/citronstep/citronstep/test/workload"
)

// runner implements harness.T outside of a test.
type runner struct {
	showLogs bool
	failed   atomic.Bool
	cleanups []func()
}

// run calls f and then the cleanups, last first. f runs in its own goroutine, because Fatalf ends
// the goroutine that calls it.
func (r *runner) run(f func() workload.Report) (out workload.Report) {
	defer func() {
		for i := len(r.cleanups) - 1; i >= 0; i-- {
			r.cleanups[i]()
		}
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		out = f()
	}()
	<-done
	return out
}

// Helper does nothing: output is not attributed to source lines.
func (r *runner) Helper() {}

// Failed reports whether the run has failed.
func (r *runner) Failed() bool { return r.failed.Load() }

// Fatalf prints a failure and ends the calling goroutine, as testing.T.Fatalf does.
func (r *runner) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

// Errorf prints a failure and marks the run as failed.
func (r *runner) Errorf(format string, args ...any) {
	r.failed.Store(true)
	fmt.Printf(format+"\n", args...)
}

// Logf prints process logs if showLogs is set.
func (r *runner) Logf(format string, args ...any) {
	if r.showLogs {
		fmt.Printf(format+"\n", args...)
	}
}

// Cleanup registers f to be called when the run ends.
func (r *runner) Cleanup(f func()) { r.cleanups = append(r.cleanups, f) }

// TempDir returns a folder that is removed when the run ends.
func (r *runner) TempDir() string {
	folder, err := os.MkdirTemp("", "citronstep-soak-")
	if err != nil {
		r.Fatalf("temporary folder: %v", err)
	}
	r.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
