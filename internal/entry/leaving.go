package entry

import (
	"sync"
	"time"
)

// leavingRetention is how long an incarnation is kept in leavingServers, which bounds its size.
// A backend server stops within seconds or minutes of its first notice.
const leavingRetention = time.Hour

// leavingOverride is how long after the last answer that said so announcements can show that the
// backend server stays. Announcements may arrive seconds late, also at a new leader.
const leavingOverride = 10 * time.Second

// leavingServers holds the incarnations of backend servers that have stated in an answer to this
// entry that they are about to stop. A backend server that reaches no process which takes
// announcements says so in its answers alone. It is safe for concurrent use.
type leavingServers struct {
	mu      sync.Mutex
	notices map[string]*leavingNotice
}

// leavingNotice is what is known of one incarnation that is leaving.
type leavingNotice struct {
	// last is when the last answer that said so arrived.
	last time.Time
	// isAnnounced is set once an announcement has confirmed that the backend server is leaving.
	isAnnounced bool
}

func newLeavingServers() *leavingServers {
	return &leavingServers{notices: make(map[string]*leavingNotice)}
}

// add records an answer of an incarnation that is leaving, and reports whether it is the first.
func (l *leavingServers) add(now time.Time, incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.notices[incarnation]; n != nil {
		n.last = now
		return false
	}
	for other, n := range l.notices {
		if now.Sub(n.last) > leavingRetention {
			delete(l.notices, other)
		}
	}
	l.notices[incarnation] = &leavingNotice{last: now}
	return true
}

// contains reports whether an incarnation is leaving.
func (l *leavingServers) contains(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notices[incarnation] != nil
}

// update takes in whether the latest announcement of an incarnation says that it is leaving, and
// reports whether it is. announcedAt is when this entry received the announcement; zero if it
// receives none and goes by the board.
//
// An announcement that does not say so may be older than the answer that did. After
// leavingOverride the backend server stays if an earlier announcement said so, or if this one
// arrived after leavingOverride.
func (l *leavingServers) update(now time.Time, incarnation string, isAnnounced bool, announcedAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.notices[incarnation]
	switch {
	case n == nil:
		return isAnnounced
	case isAnnounced:
		n.isAnnounced = true
	case now.Sub(n.last) <= leavingOverride:
	case n.isAnnounced, announcedAt.Sub(n.last) > leavingOverride:
		delete(l.notices, incarnation)
		return false
	}
	return true
}
