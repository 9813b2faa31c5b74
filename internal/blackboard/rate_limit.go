package blackboard

import "math"

// RateLimit is the number of requests a second that a backend server accepts from all entries
// together. Written by: entries, when a backend server states the limit in an answer, and the
// leader, which removes limits that no entry has confirmed for long. Read by: entries, which
// divide the rate among themselves.
type RateLimit struct {
	PerSecond float64 `json:"per_second"`
	// ReceivedMillis is the time of the last answer that stated the limit, by the receiving entry's
	// clock.
	ReceivedMillis int64 `json:"heard_ms"`
}

const (
	// rateLimitTolerance is the relative difference up to which a new limit counts as unchanged
	// and is written only as a confirmation.
	rateLimitTolerance = 0.1
	// confirmIntervalMillis is the time that must pass before an unchanged limit is written
	// again as a confirmation.
	confirmIntervalMillis = 5000
)

// Near reports whether the rates are so close that the board need not change.
func (l RateLimit) Near(perSecond float64) bool {
	return math.Abs(l.PerSecond-perSecond) <= rateLimitTolerance*max(l.PerSecond, perSecond)
}

// confirms reports whether l was received long enough after o to be written as a confirmation of
// o.
func (l RateLimit) confirms(o RateLimit) bool {
	return l.ReceivedMillis-o.ReceivedMillis >= confirmIntervalMillis
}

// RecordRateLimit records or removes the limit of a backend server.
type RecordRateLimit struct {
	// Incarnation identifies the backend server.
	Incarnation string `json:"incarnation"`
	// Limit is nil if the backend server has no limit.
	Limit *RateLimit `json:"limit,omitempty"`
}

// maxRateLimits bounds the number of limits. It exceeds the number of VMs in the largest pools.
const maxRateLimits = 8192

func (c RecordRateLimit) apply(d *draft) (any, bool) {
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
