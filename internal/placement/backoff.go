package placement

import (
	"slices"
	"time"
)

// backoff is the time for which a backend server asked this entry not to send it any request.
type backoff struct{ until time.Time }

// isInForce reports whether the backend server must not be sent a request. A nil backoff is not
// in force.
func (b *backoff) isInForce(now time.Time) bool { return b != nil && now.Before(b.until) }

// RecordBackoff records that a backend server asked this entry not to send it any request until
// a time. It reports whether that is later than it asked before.
//
// A shorter request does not end a longer one: answers overtake each other, and each request
// stands by itself.
func (p *Picker) RecordBackoff(now time.Time, server string, until time.Time) bool {
	b, known := p.backoffs[server]
	if known && !until.After(b.until) {
		return false
	}
	p.removeExpiredBackoffs(now)
	b = &backoff{until: until}
	p.backoffs[server] = b
	for _, t := range p.targets {
		if t.Server == server {
			t.backoff = b
		}
	}
	return true
}

// IsBackedOff reports whether a backend server has asked this entry not to send it any request
// now.
func (p *Picker) IsBackedOff(now time.Time, server string) bool {
	return p.backoffs[server].isInForce(now)
}

// BackoffCount returns how many backend servers have asked this entry not to send them any
// request now.
func (p *Picker) BackoffCount(now time.Time) int {
	p.removeExpiredBackoffs(now)
	return len(p.backoffs)
}

func (p *Picker) removeExpiredBackoffs(now time.Time) {
	for server, b := range p.backoffs {
		if !b.isInForce(now) {
			delete(p.backoffs, server)
		}
	}
}

// HasBackoff reports whether a backend server of a model, in the given regions, has asked this
// entry not to send it any request now.
func (p *Picker) HasBackoff(now time.Time, model string, homes []string) bool {
	pool := p.pools[model]
	return pool != nil && slices.ContainsFunc(pool.targets, func(t *target) bool {
		return t.isInRegions(homes) && t.backoff.isInForce(now)
	})
}
