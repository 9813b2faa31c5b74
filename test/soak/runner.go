package main

import (
	"fmt"
	"os"

	"github.com/citronstep/citronstep/test/workload"
)

// runner is a harness.T outside of a test.
type runner struct {
	logs     bool
	failed   bool
	cleanups []func()
}

// stopped ends a run after Fatalf.
type stopped struct{}

// run calls f and then the cleanups, last first.
func (r *runner) run(f func() workload.Report) (out workload.Report) {
	defer func() {
		for i := len(r.cleanups) - 1; i >= 0; i-- {
			r.cleanups[i]()
		}
	}()
	defer func() {
		if cause := recover(); cause != nil {
			if _, ours := cause.(stopped); !ours {
				panic(cause)
			}
		}
	}()
	return f()
}

// Helper does nothing: lines are not attributed to callers here.
func (r *runner) Helper() {}

// Failed tells whether the run has failed.
func (r *runner) Failed() bool { return r.failed }

// Fatalf ends the run.
func (r *runner) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	panic(stopped{})
}

// Errorf notes a failure.
func (r *runner) Errorf(format string, args ...any) {
	r.failed = true
	fmt.Printf(format+"\n", args...)
}

// Logf shows logs of processes, if asked for.
func (r *runner) Logf(format string, args ...any) {
	if r.logs {
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
