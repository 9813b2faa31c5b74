package announcement

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronstep/citronstep/internal/failure"
)

// Rate limits of announcements.
const (
	// minGap is the minimum time between two announcements of one backend
	// server: an eighth of the interval that entries request.
	minGap = 50 * time.Millisecond
	// maxPerSecond is the number of announcements that one entry accepts per second
	// from all backend servers. If all of 700 runners announced to one entry, they
	// would send 1,800.
	maxPerSecond = 4000
	// maxTracked bounds the backend servers whose last announcement time is kept.
	maxTracked = 8192
)

// announceLimiter bounds the work that announcements cause.
//
// Failure: after a faulty change to its agent, a backend server announces in a loop
// without a pause and takes all of an entry's processor time. Each backend server is
// limited separately, so the entry still receives the announcements of the others.
type announceLimiter struct {
	mu   sync.Mutex
	all  *rate.Limiter
	last map[string]time.Time
}

func newAnnounceLimiter() *announceLimiter {
	return &announceLimiter{all: rate.NewLimiter(maxPerSecond, maxPerSecond), last: make(map[string]time.Time)}
}

// allow returns nil if a backend server may announce now, otherwise the refusal.
func (p *announceLimiter) allow(now time.Time, id string) *failure.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[id]) < minGap || !p.all.AllowN(now, 1) {
		return failure.New(failure.TypeOverloaded, "too many announcements").WithRetryAfter(time.Second)
	}
	if len(p.last) >= maxTracked {
		p.pruneExpired(now)
	}
	p.last[id] = now
	return nil
}

// pruneExpired drops backend servers whose minGap has passed. If too many remain,
// somebody is inventing ids, and the limit on the total rate still applies.
func (p *announceLimiter) pruneExpired(now time.Time) {
	for id, at := range p.last {
		if now.Sub(at) >= minGap {
			delete(p.last, id)
		}
	}
}
