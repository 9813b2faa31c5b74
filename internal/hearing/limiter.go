package hearing

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/citronstep/citronstep/internal/failure"
)

// Limits of how often backend servers may announce themselves.
const (
	// minGap is the least time between two announcements of one backend
	// server: an eighth of the interval that entries ask for.
	minGap = 50 * time.Millisecond
	// maxPerSecond is what one entry takes a second of all backend
	// servers. Seven hundred runners that all found this one entry would send
	// 1,800.
	maxPerSecond = 4000
	// maxTracked bounds the backend servers whose last announcement is kept.
	maxTracked = 8192
)

// pace bounds the work that announcements make.
//
// Failure: a backend server announces in a loop without a pause, after a bad
// change to its agent, and the entry that it found spends its processor on it.
// Each one is slowed by itself, so the others are still heard.
type announceLimiter struct {
	mu   sync.Mutex
	all  *rate.Limiter
	last map[string]time.Time
}

func newAnnounceLimiter() *announceLimiter {
	return &announceLimiter{all: rate.NewLimiter(maxPerSecond, maxPerSecond), last: make(map[string]time.Time)}
}

// allow tells whether a backend server may announce now.
func (p *announceLimiter) allow(now time.Time, id string) *failure.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[id]) < minGap || !p.all.AllowN(now, 1) {
		return failure.New(failure.TypeOverloaded, "announcements come too fast").WithRetryAfter(time.Second)
	}
	if len(p.last) >= maxTracked {
		p.pruneExpired(now)
	}
	p.last[id] = now
	return nil
}

// pruneExpired forgets those that may announce again anyway. While that leaves too
// many, names are being made up, and the limit on all holds.
func (p *announceLimiter) pruneExpired(now time.Time) {
	for id, at := range p.last {
		if now.Sub(at) >= minGap {
			delete(p.last, id)
		}
	}
}
