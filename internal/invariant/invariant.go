// Package invariant checks invariants at run time.
//
// In tests a violation ends the process, so that no later step hides it. In production a
// violation is logged and counted, and the caller of Check refuses the step that would have
// broken the invariant.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Violation is the panic value that ends a process under test.
type Violation struct {
	Name   string
	Detail string
}

// Error returns the name of the invariant and the detail of the violation.
func (v Violation) Error() string {
	return "invariant " + v.Name + " broken: " + v.Detail
}

// FatalEnvVar names the environment variable that makes violations fatal if it is not empty.
// Tests set it.
const FatalEnvVar = "CITRONSTEP_INVARIANTS_FATAL"

var (
	fatal      atomic.Bool
	violations atomic.Uint64
	reporter   atomic.Pointer[func(Violation)]
)

func init() {
	fatal.Store(os.Getenv(FatalEnvVar) != "")
}

// SetFatal sets whether a violation ends the process. Tests turn it on.
func SetFatal(on bool) { fatal.Store(on) }

// SetReporter sets the function that logs and counts each violation.
func SetReporter(f func(Violation)) { reporter.Store(&f) }

// ViolationCount returns the number of violations in this process.
func ViolationCount() uint64 { return violations.Load() }

// Check returns ok. If ok is false, Check reports the violation, and panics if SetFatal or
// FatalEnvVar makes violations fatal. The caller must refuse the step when Check returns
// false.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	violations.Add(1)
	if f := reporter.Load(); f != nil {
		(*f)(v)
	}
	if fatal.Load() {
		panic(v)
	}
	return false
}
