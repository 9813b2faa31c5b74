package control

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// unconfirmedLimitLifetime is how long a backend server's rate limit holds if no entry confirms
// it. In that time, entries without a share of the limit send nothing to the server, and
// entries with a share may be idle or removed.
const unconfirmedLimitLifetime = 30 * time.Second

// rateLimitAges holds, by incarnation, when this process first saw each rate limit in its
// current form. The leader's own clock counts the ages, because the clocks of entries may be
// wrong.
type rateLimitAges map[string]seenRateLimit

type seenRateLimit struct {
	limit blackboard.RateLimit
	since time.Time
}

// unconfirmed returns the commands that end the limits that no entry has confirmed within
// unconfirmedLimitLifetime.
func (a rateLimitAges) unconfirmed(now time.Time, board *blackboard.Board) []blackboard.Command {
	var ended []blackboard.Command
	for incarnation := range a {
		if _, known := board.RateLimits[incarnation]; !known {
			delete(a, incarnation)
		}
	}
	for incarnation, limit := range board.RateLimits {
		seen, known := a[incarnation]
		switch {
		case !known || seen.limit != limit:
			a[incarnation] = seenRateLimit{limit: limit, since: now}
		case now.Sub(seen.since) > unconfirmedLimitLifetime:
			ended = append(ended, &blackboard.RecordRateLimit{Incarnation: incarnation})
		}
	}
	return ended
}
