package standin

import (
	"context"
	"sync"
)

// keptCancels bounds the attempts remembered as cancelled before they came.
const keptCancels = 1024

// runningSet holds the generations that an engine has taken, and the cancels
// that overtook their generation.
type runningSet struct {
	mu        sync.Mutex
	byAttempt map[string]*running
	early     map[string]bool
	earlyList []string
}

type running struct {
	cancel context.CancelCauseFunc
	left   int
}

func newRunningSet() *runningSet {
	return &runningSet{byAttempt: map[string]*running{}, early: map[string]bool{}}
}

// add takes a generation, unless its attempt is known or already cancelled.
func (r *runningSet) add(attempt string, tokens int, cancel context.CancelCauseFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.early[attempt] || r.byAttempt[attempt] != nil {
		return false
	}
	r.byAttempt[attempt] = &running{cancel: cancel, left: tokens}
	return true
}

func (r *runningSet) remove(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byAttempt, attempt)
	r.remember(attempt)
}

// remember is called with mu held.
func (r *runningSet) remember(attempt string) {
	if r.early[attempt] {
		return
	}
	r.early[attempt] = true
	r.earlyList = append(r.earlyList, attempt)
	if len(r.earlyList) > keptCancels {
		delete(r.early, r.earlyList[0])
		r.earlyList = r.earlyList[1:]
	}
}

func (r *runningSet) progress(attempt string, left int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.byAttempt[attempt]; one != nil {
		one.left = left
	}
}

// stop cancels an attempt, also one that has yet to come.
func (r *runningSet) stop(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.byAttempt[attempt]; one != nil {
		one.cancel(errCancelled)
		return
	}
	r.remember(attempt)
}

// totals returns the number of generations and of the tokens still to come.
func (r *runningSet) totals() (count, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.byAttempt {
		tokens += one.left
	}
	return len(r.byAttempt), tokens
}

// others returns the id of another attempt under way, if there is one.
func (r *runningSet) other(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byAttempt {
		if id != attempt {
			return id
		}
	}
	return "another-" + attempt
}
