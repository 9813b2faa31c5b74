package entry

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/backend"
)

// rateLimits holds the rate limits that backend servers name in their answers. It is
// safe for concurrent use.
type rateLimits struct {
	mu sync.Mutex
	// named is by incarnation.
	named map[string]rateLimit
}

// rateLimit is what a backend server last named.
type rateLimit struct {
	// perSecond is how many requests a second it takes from all entries together.
	perSecond float64
	// at is when the answer came.
	at time.Time
}

func newRateLimits() *rateLimits { return &rateLimits{named: make(map[string]rateLimit)} }

// heard takes in what the answer to a request says, which was sent at a time; nil is no
// limit. It returns the limit of before, and whether the answer changed anything.
//
// Answers overtake each other, so one without a limit ends only a limit that was named
// before its request was sent.
func (l *rateLimits) heard(now, sent time.Time, incarnation string, limit *float64) (before rateLimit, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.named[incarnation]
	switch {
	case limit != nil:
		l.named[incarnation] = rateLimit{perSecond: *limit, at: now}
		return before, !known || before.perSecond != *limit
	case known && sent.After(before.at):
		delete(l.named, incarnation)
		return before, true
	}
	return before, false
}

// limits tells whether a backend server names a limit.
func (l *rateLimits) limits(incarnation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.named[incarnation]
	return known
}

// count returns how many backend servers name a limit.
func (l *rateLimits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.named)
}

// hearRateLimit takes in what an answer says of its backend server's rate limit. An
// answer that proves nothing may lack the limit for any reason.
func (s *Server) hearRateLimit(r route, a *backend.ForwardAnswer, sent time.Time) {
	genuine := !a.Foreign && (a.Proven || a.NotRun)
	if a.OtherServer || (!genuine && a.RateLimit == nil) {
		return
	}
	before, changed := s.rateLimits.heard(time.Now(), sent, r.incarnation, a.RateLimit)
	if !changed {
		return
	}
	event, perSecond := "rate_limit_ended", 0.0
	if a.RateLimit != nil {
		event, perSecond = "rate_limit_named", *a.RateLimit
	}
	_ = level.Info(s.o.Logger).Log("event", event, "server", r.head, "incarnation", r.incarnation, "target", r.target,
		"per_second", perSecond, "before", before.perSecond, "sent_ms_ago", time.Since(sent).Milliseconds())
}
