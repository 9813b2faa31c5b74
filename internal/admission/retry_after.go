package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// RetrySchedule gives refused callers retry times at which their requests can be served, one
// after the other.
//
// It is made for resend storms: thousands of callers that are refused together and get the same
// Retry-After return together and are refused together again.
type RetrySchedule struct {
	next time.Time
}

// Place returns the Retry-After of one refused request: its place in the schedule, at least base.
// cost is the time in which the request can be served.
func (s *RetrySchedule) Place(now time.Time, base, cost time.Duration, id string, policy Policy) time.Duration {
	policy = policy.withDefaults()
	u := hashUnit(policy.Seed, id)
	earliest := now.Add(max(base, policy.MinRetryAfter))
	if s.next.Before(earliest) {
		s.next = earliest
	}
	after := s.next.Sub(now)
	if after >= policy.MaxRetryAfter {
		s.next = now.Add(policy.MaxRetryAfter)
		return time.Duration((0.5 + 0.5*u) * float64(policy.MaxRetryAfter))
	}
	s.next = s.next.Add(cost)
	return min(policy.MaxRetryAfter, after+time.Duration(retryAfterJitter*u*float64(after)))
}

// retryAfterJitter is the greatest random addition to a Retry-After, as a fraction of it. It
// keeps callers of several entries with equal schedules from retrying at the same time.
const retryAfterJitter = 0.25

func (m *modelQueue) retryAfter(now time.Time, it *item, base time.Duration, policy Policy) time.Duration {
	cost := time.Duration(0)
	if m.serviceRate.perSecond > 0 {
		cost = fromSeconds(float64(it.request.Tokens) / m.serviceRate.perSecond)
	}
	return m.band(it.worth).retrySchedule.Place(now, base, cost, it.request.ID, policy)
}

// hashUnit maps seed and id to [0, 1) without a random source.
func hashUnit(seed uint64, id string) float64 {
	h := xxhash.Sum64String(id) ^ (seed * 0x9e3779b97f4a7c15)
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 29
	return float64(h>>11) / (1 << 53)
}

// maxRefusedKeys bounds the refused idempotency keys that are stored, about half a megabyte.
// Above it, the oldest keys are removed. Their resends are treated as new requests, which costs a
// decision and nothing else.
const maxRefusedKeys = 4096

// refusedKeys stores for each refused idempotency key when its caller may retry.
//
// It is made for callers that ignore Retry-After. Without it, they would get the capacity that
// was promised to the callers who wait.
type refusedKeys struct {
	retryAt map[scopedKey]time.Time
	ring    []scopedKey
	oldest  int
}

func newRefusedKeys() refusedKeys {
	return refusedKeys{retryAt: make(map[scopedKey]time.Time)}
}

func (k *refusedKeys) add(r Request, retryAt time.Time) {
	if r.IdempotencyKey == "" {
		return
	}
	key := keyOf(r)
	if _, known := k.retryAt[key]; known {
		k.retryAt[key] = retryAt
		return
	}
	if len(k.ring) < maxRefusedKeys {
		k.ring = append(k.ring, key)
	} else {
		delete(k.retryAt, k.ring[k.oldest])
		k.ring[k.oldest] = key
		k.oldest = (k.oldest + 1) % maxRefusedKeys
	}
	k.retryAt[key] = retryAt
}

// remaining returns how long r has still to wait and true, if r arrived before its retry time.
func (k *refusedKeys) remaining(now time.Time, r Request) (time.Duration, bool) {
	if r.IdempotencyKey == "" {
		return 0, false
	}
	left := k.retryAt[keyOf(r)].Sub(now)
	return left, left > 0
}
