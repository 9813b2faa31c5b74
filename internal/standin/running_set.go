package standin

import (
	"context"
	"sync"
)

// maxClosedAttempts bounds the number of ended or cancelled attempts that are remembered.
const maxClosedAttempts = 1024

// runningSet holds the generations in progress, and remembers attempts that ended or that were
// cancelled before their generation arrived.
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

// add adds a generation. It returns false if the attempt is already known or was cancelled.
func (r *runningSet) add(attempt string, tokens int, cancel context.CancelCauseFunc) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed[attempt] || r.byAttempt[attempt] != nil {
		return false
	}
	r.byAttempt[attempt] = &generationInProgress{cancel: cancel, tokensLeft: tokens}
	return true
}

// remove removes a generation that has ended, and remembers its attempt.
func (r *runningSet) remove(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byAttempt, attempt)
	r.markClosed(attempt)
}

// markClosed remembers an attempt as ended or cancelled. The caller holds r.mu.
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

// progress sets the number of tokens that a generation has yet to send.
func (r *runningSet) progress(attempt string, left int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.byAttempt[attempt]; g != nil {
		g.tokensLeft = left
	}
}

// stop cancels an attempt, even if its generation has not arrived yet.
func (r *runningSet) stop(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.byAttempt[attempt]; g != nil {
		g.cancel(errCancelled)
		return
	}
	r.markClosed(attempt)
}

// totals returns the number of generations in progress and the number of tokens that they have
// yet to send.
func (r *runningSet) totals() (count, tokens int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.byAttempt {
		tokens += g.tokensLeft
	}
	return len(r.byAttempt), tokens
}

// otherAttempt returns the id of another attempt in progress, or an invented id if there is
// none.
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
