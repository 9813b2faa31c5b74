package entry

import (
	"sync"
	"time"
)

const (
	// answerMemory is the least time for which a request counts as answered recently.
	answerMemory = 30 * time.Second
	// maxRecentAnswers bounds each half of the memory. With more answers in answerMemory, the
	// oldest are forgotten earlier.
	maxRecentAnswers = 8192
)

// recentAnswers remembers the fingerprints of requests that were answered completely, for one to
// two times answerMemory. It is safe for concurrent use.
//
// Failure: one request that many callers send is running on nearly every backend server that
// crashes. Without its answers, it would be taken for the cause.
type recentAnswers struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
	// since is when current was begun.
	since time.Time
}

func newRecentAnswers(now time.Time) *recentAnswers {
	return &recentAnswers{current: make(map[string]struct{}), since: now}
}

func (r *recentAnswers) add(now time.Time, fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	r.current[fingerprint] = struct{}{}
}

func (r *recentAnswers) contains(now time.Time, fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	if _, ok := r.current[fingerprint]; ok {
		return true
	}
	_, ok := r.previous[fingerprint]
	return ok
}

func (r *recentAnswers) forgetOld(now time.Time) {
	age := now.Sub(r.since)
	if age < answerMemory && len(r.current) < maxRecentAnswers {
		return
	}
	r.previous, r.current, r.since = r.current, make(map[string]struct{}), now
	if age >= 2*answerMemory {
		r.previous = nil
	}
}
