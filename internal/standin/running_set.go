package standin

import (
	"context"
	"sync"
)

// maxClosedAttempts bounds the attempts remembered as cancelled before they came.
const maxClosedAttempts = 1024

// runningSet holds the generations that an engine has taken, and the cancels
// that overtook their generation.
type runningSet struct {
	mu          sync.Mutex
	byAttempt   map[string]*generationInProgress
	closed      map[string]bool
	closedOrder []string
}

type generationInProgress struct {
	cancel     context.CancelCauseFunc
	tokensLeft int
}

func newRunningSet() *runningSet {
	return &runningSet{byAttempt: map[string]*generationInProgress{}, closed: map[string]bool{}}
}

// add takes a generation, unless its attempt is known or already cancelled.
func (r *runningSet) add(attempt string, tokens int, cancel context.CancelCauseFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed[attempt] || r.byAttempt[attempt] != nil {
		return false
	}
	r.byAttempt[attempt] = &generationInProgress{cancel: cancel, tokensLeft: tokens}
	return true
}

func (r *runningSet) remove(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byAttempt, attempt)
	r.markClosed(attempt)
}

// remember is called with mu held.
func (r *runningSet) markClosed(attempt string) {
	if r.closed[attempt] {
		return
	}
	r.closed[attempt] = true
	r.closedOrder = append(r.closedOrder, attempt)
	if len(r.closedOrder) > maxClosedAttempts {
		delete(r.closed, r.closedOrder[0])
		r.closedOrder = r.closedOrder[1:]
	}
}

func (r *runningSet) progress(attempt string, left int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.byAttempt[attempt]; one != nil {
		one.tokensLeft = left
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
	r.markClosed(attempt)
}

// totals returns the number of generations and of the tokens still to come.
func (r *runningSet) totals() (count, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.byAttempt {
		tokens += one.tokensLeft
	}
	return len(r.byAttempt), tokens
}

// others returns the id of another attempt under way, if there is one.
func (r *runningSet) otherAttempt(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byAttempt {
		if id != attempt {
			return id
		}
	}
	return "another-" + attempt
}
