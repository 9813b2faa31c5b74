// Package invariant asserts, inside the program, what must always hold.
//
// In tests a broken invariant ends the process, so that no later step hides
// it. In production it is logged and counted, and the caller refuses the step
// that would have broken it.
package invariant

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Violation is the value of the panic that ends a process under test.
type Violation struct {
	Name   string
	Detail string
}

// Error returns the invariant's name and what broke it.
func (v Violation) Error() string {
	return "invariant " + v.Name + " broken: " + v.Detail
}

// FatalVariable is the environment variable that makes a broken invariant
// end the process. Tests set it.
const FatalVariable = "CITRONSTEP_INVARIANTS_FATAL"

var (
	fatal    atomic.Bool
	broken   atomic.Uint64
	reporter atomic.Pointer[func(Violation)]
)

func init() {
	fatal.Store(os.Getenv(FatalVariable) != "")
}

// SetFatal makes a broken invariant end the process, as tests want it.
func SetFatal(on bool) { fatal.Store(on) }

// SetReporter sets the function that logs and counts each violation.
func SetReporter(f func(Violation)) { reporter.Store(&f) }

// Broken returns how many violations this process has seen.
func Broken() uint64 { return broken.Load() }

// Check returns ok. When ok is false it reports the violation, and ends the
// process if SetFatal or FatalVariable asks for that. The caller must refuse
// the step when Check returns false.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	broken.Add(1)
	if f := reporter.Load(); f != nil {
		(*f)(v)
	}
	if fatal.Load() {
		panic(v)
	}
	return false
}
