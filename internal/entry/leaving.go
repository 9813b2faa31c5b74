package entry

import (
	"sync"
	"time"
)

// leavingRetention is how long an incarnation is kept in leavingServers, which bounds its size.
// A backend server stops within seconds or minutes of its first notice.
const leavingRetention = time.Hour

// leavingServers holds the incarnations of backend servers that have stated in an answer to this
// entry that they are about to stop. A backend server that reaches no process which takes
// announcements says so in its answers alone. It is safe for concurrent use.
type leavingServers struct {
	mu      sync.Mutex
	notices map[string]*leavingNotice
}

// leavingNotice is what is known of one incarnation that is leaving.
type leavingNotice struct {
	since time.Time
	// isAnnounced is set once an announcement has confirmed that the backend server is leaving.
	isAnnounced bool
}

func newLeavingServers() *leavingServers {
	return &leavingServers{notices: make(map[string]*leavingNotice)}
}

// add adds an incarnation and reports whether it is new.
func (l *leavingServers) add(now time.Time, incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notices[incarnation] != nil {
		return false
	}
	for other, n := range l.notices {
		if now.Sub(n.since) > leavingRetention {
			delete(l.notices, other)
		}
	}
	l.notices[incarnation] = &leavingNotice{since: now}
	return true
}

// contains reports whether an incarnation is leaving.
func (l *leavingServers) contains(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notices[incarnation] != nil
}

// update takes in whether the announcements of an incarnation say that it is leaving, and reports
// whether it is.
//
// Announcements that do not say so may be older than the answer that did. Only one that no longer
// says so, after another that did, shows that the backend server stays.
func (l *leavingServers) update(incarnation string, isAnnounced bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.notices[incarnation]
	switch {
	case n == nil:
		return isAnnounced
	case isAnnounced:
		n.isAnnounced = true
	case n.isAnnounced:
		delete(l.notices, incarnation)
		return false
	}
	return true
}
