package main

import (
	"fmt"
	"os"
	"runtime"
	"sync/atomic"

	"github.com/citronstep/citronstep/test/workload"
)

// runner is a harness.T outside of a test.
type runner struct {
	showLogs bool
	failed   atomic.Bool
	cleanups []func()
}

// run calls f and then the cleanups, last first. f has a goroutine of its own, as
// Fatalf ends the goroutine that calls it.
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

// Helper does nothing: lines are not attributed to callers here.
func (r *runner) Helper() {}

// Failed tells whether the run has failed.
func (r *runner) Failed() bool { return r.failed.Load() }

// Fatalf notes a failure and ends the goroutine that calls it, as that of package
// testing does.
func (r *runner) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	runtime.Goexit()
}

// Errorf notes a failure.
func (r *runner) Errorf(format string, args ...any) {
	r.failed.Store(true)
	fmt.Printf(format+"\n", args...)
}

// Logf shows logs of processes, if asked for.
func (r *runner) Logf(format string, args ...any) {
	if r.showLogs {
		fmt.Printf(format+"\n", args...)
	}
}

// Cleanup calls f when the run ends.
func (r *runner) Cleanup(f func()) { r.cleanups = append(r.cleanups, f) }

// TempDir returns a folder that goes with the run.
func (r *runner) TempDir() string {
	folder, err := os.MkdirTemp("", "citronstep-soak-")
	if err != nil {
		r.Fatalf("temporary folder: %v", err)
	}
	r.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
