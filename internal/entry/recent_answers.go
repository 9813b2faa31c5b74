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
	// maxForgivenCrashes is how many crashes one answer excuses. A request that was answered may
	// crash the backend servers of a later release.
	maxForgivenCrashes = 3
)

// recentAnswers remembers the fingerprints of requests that were answered completely, for one to
// two times answerMemory. It is safe for concurrent use.
//
// Failure: one request that many callers send is running on nearly every backend server that
// crashes. Without its answers, it would be taken for the cause.
type recentAnswers struct {
	mu sync.Mutex
	// current and previous hold the number of crashes since the last answer.
	current, previous map[string]int
	// since is when current was begun.
	since time.Time
}

func newRecentAnswers(now time.Time) *recentAnswers {
	return &recentAnswers{current: make(map[string]int), since: now}
}

func (r *recentAnswers) add(now time.Time, fingerprint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	r.current[fingerprint] = 0
}

// forgive reports whether the request's last answer excuses a crash.
func (r *recentAnswers) forgive(now time.Time, fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetOld(now)
	for _, half := range []map[string]int{r.current, r.previous} {
		crashes, ok := half[fingerprint]
		switch {
		case !ok:
			continue
		case crashes < maxForgivenCrashes:
			half[fingerprint]++
			return true
		}
		delete(half, fingerprint)
	}
	return false
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
	r.previous, r.current, r.since = r.current, make(map[string]int), now
	if age >= 2*answerMemory {
		r.previous = nil
	}
}
