package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// returnSchedule gives refused callers times to come back at which their
// requests can be served, one after the other.
//
// It is made for resend storms: thousands that were refused together and told
// the same time come back together, and are refused together again.
type returnSchedule struct {
	next time.Time
}

// spread is the part of a Retry-After that is drawn at random, so that callers
// of several entries with equal schedules don't meet.
const spread = 0.25

func (m *modelQueue) retryAfter(now time.Time, it *item, base time.Duration, policy Policy) time.Duration {
	s := &m.band(it.worth).returns
	u := unit(policy.Seed, it.request.ID)
	earliest := now.Add(max(base, policy.MinRetryAfter))
	if s.next.Before(earliest) {
		s.next = earliest
	}
	after := s.next.Sub(now)
	if after >= policy.MaxRetryAfter {
		s.next = now.Add(policy.MaxRetryAfter)
		return time.Duration((0.5 + 0.5*u) * float64(policy.MaxRetryAfter))
	}
	if m.rate.perSecond > 0 {
		cost := float64(it.request.Tokens) / m.rate.perSecond
		s.next = s.next.Add(time.Duration(cost * float64(time.Second)))
	}
	return min(policy.MaxRetryAfter, after+time.Duration(spread*u*float64(after)))
}

// unit maps seed and id to [0, 1) without a random source.
func unit(seed uint64, id string) float64 {
	h := xxhash.Sum64String(id) ^ (seed * 0x9e3779b97f4a7c15)
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 29
	return float64(h>>11) / (1 << 53)
}

// refusedLimit bounds the refused idempotency keys that are remembered, about
// half a megabyte. Past it the oldest are forgotten: their resends are judged
// as new requests, which costs a decision and nothing else.
const refusedLimit = 4096

// refusedKeys remembers which idempotency keys were told to come back when.
//
// It is made for callers that ignore Retry-After: without it they would get
// the room that the callers who wait were promised.
type refusedKeys struct {
	until map[scopedKey]time.Time
	ring  []scopedKey
	at    int
}

func newRefusedKeys() refusedKeys {
	return refusedKeys{until: make(map[scopedKey]time.Time)}
}

func (k *refusedKeys) add(r Request, until time.Time) {
	if r.IdempotencyKey == "" {
		return
	}
	key := keyOf(r)
	if _, known := k.until[key]; known {
		k.until[key] = until
		return
	}
	if len(k.ring) < refusedLimit {
		k.ring = append(k.ring, key)
	} else {
		delete(k.until, k.ring[k.at])
		k.ring[k.at] = key
		k.at = (k.at + 1) % refusedLimit
	}
	k.until[key] = until
}

// early returns how long r has still to wait, if it came too early.
func (k *refusedKeys) early(now time.Time, r Request) (time.Duration, bool) {
	if r.IdempotencyKey == "" {
		return 0, false
	}
	left := k.until[keyOf(r)].Sub(now)
	return left, left > 0
}
