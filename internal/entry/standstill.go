package entry

import (
	"context"
	"time"
)

const (
	// standstillLateness is how late a timer fires at least if the process has stood still meanwhile, as it does when
	// its VM is starved or suspended.
	standstillLateness = 200 * time.Millisecond
	// readyAnswerTime is how long what came in during a standstill is read before a time limit that has passed by then
	// takes effect.
	readyAnswerTime = 100 * time.Millisecond
)

// isAfterStandstill reports whether a timer that was due at a time fires so late that the process has stood still.
func isAfterStandstill(due time.Time) bool { return time.Since(due) > standstillLateness }

// cancelAtDeadline ends the job at its deadline, after a standstill of the process a moment later. The returned function
// stops that.
//
// Failure: this process stands still while a backend server answers. When it goes on, the deadline has passed, and the
// answer that lies ready is dropped for a timeout.
func (j *job) cancelAtDeadline() (stop func() bool) {
	end := func() { j.cancel(context.DeadlineExceeded) }
	return time.AfterFunc(time.Until(j.deadline), func() {
		if isAfterStandstill(j.deadline) {
			time.AfterFunc(readyAnswerTime, end)
			return
		}
		end()
	}).Stop
}
