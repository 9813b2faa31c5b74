package blackboard

import "math"

// RateLimit is how many requests a second a backend server takes from all entries
// together. Written by: entries, as the backend server names it in its answers, and the
// leader, which ends those that no entry has confirmed for long. Read by: entries, which
// share it out among themselves.
type RateLimit struct {
	PerSecond float64 `json:"per_second"`
	// HeardMillis is when an answer last named it, by the entry's clock.
	HeardMillis int64 `json:"heard_ms"`
}

const (
	// rateLimitTolerance is the part by which a limit must differ from the one on the board to
	// be written before it is due to be confirmed.
	rateLimitTolerance = 0.1
	// confirmIntervalMillis is how much later a limit must have been heard to confirm the one on
	// the board.
	confirmIntervalMillis = 5000
)

// Near tells whether two limits are so close that the board need not change.
func (l RateLimit) Near(perSecond float64) bool {
	return math.Abs(l.PerSecond-perSecond) <= rateLimitTolerance*max(l.PerSecond, perSecond)
}

// confirms tells whether l says nothing new but that it was heard later than o.
func (l RateLimit) confirms(o RateLimit) bool {
	return l.HeardMillis-o.HeardMillis >= confirmIntervalMillis
}

// NoteRateLimit records the limit of a backend server, or that it has none.
type NoteRateLimit struct {
	// Incarnation is the backend server's.
	Incarnation string `json:"incarnation"`
	// Limit is nil for a backend server without one.
	Limit *RateLimit `json:"limit,omitempty"`
}

// maxRateLimits bounds the limits kept: more than the largest pools have VMs.
const maxRateLimits = 8192

func (c NoteRateLimit) apply(d *draft) (any, bool) {
	old, known := d.RateLimits[c.Incarnation]
	switch {
	case c.Limit == nil && !known:
		return refused("no limit is known")
	case c.Limit != nil && known && old.Near(c.Limit.PerSecond) && !c.Limit.confirms(old):
		return refused("no change")
	case c.Limit != nil && !known && len(d.RateLimits) >= maxRateLimits:
		return refused("too many limits")
	}
	d.RateLimits = cloneMap(d.RateLimits)
	if c.Limit == nil {
		delete(d.RateLimits, c.Incarnation)
		return applied()
	}
	d.RateLimits[c.Incarnation] = *c.Limit
	return applied()
}
