package entry

import (
	"sync"
	"time"
)

// leavingRetention is how long an incarnation is kept in leavingServers, which bounds its size.
// A backend server stops within seconds or minutes of its first notice.
const leavingRetention = time.Hour

// leavingServers holds the incarnations of backend servers that have stated in an answer to this
// entry that they are about to stop, with the time of the first such answer. An incarnation that
// is leaving does not return to service. It is safe for concurrent use.
type leavingServers struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func newLeavingServers() *leavingServers {
	return &leavingServers{since: make(map[string]time.Time)}
}

// add adds an incarnation and reports whether it is new.
func (l *leavingServers) add(now time.Time, incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.since[incarnation]; known {
		return false
	}
	for other, since := range l.since {
		if now.Sub(since) > leavingRetention {
			delete(l.since, other)
		}
	}
	l.since[incarnation] = now
	return true
}
