package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// defaultLimit is where the search for the limit of a target of unknown
// capacity begins, in tokens: a few requests of ordinary size.
const defaultLimit = 8192

// defaultCalls is the same for a plain service, in calls: a few for each core of
// a small VM.
const defaultCalls = 32

// longPrefills is how many long prompts one entry lets a target compute at
// once. It is made for long requests that come together, as after an outage:
// engines compute prompts in the order they got them, so a lookup placed behind
// ten long prompts waits for all of them.
const longPrefills = 1

const (
	// rampTime is how long a returning target takes until it gets its whole
	// part. Its prefix cache is cold, and if it failed by load, its whole part
	// at once would make it fail again.
	rampTime = 10 * time.Second
	// rampStart is the part it begins with: enough to see whether it works.
	rampStart = 0.1
)

// staleAfter is when a target's last report counts for nothing: reports come
// several times a second, so it has missed many.
const staleAfter = 3 * time.Second

// stalledAfter is how long a target may hold attempts without progress on any
// of them. The longest prompts take about two seconds to their first token.
const stalledAfter = 3 * time.Second

// target is the state kept for a Target.
type target struct {
	Target
	// limit is the work in tokens that it is given at most; load is the work it
	// is believed to hold.
	limit, load float64
	hash        uint64
	// listed is false once SetTargets left it out; its attempts may still run.
	listed bool
	domain *domain
	pool   *pool

	settle time.Time
	// wasCut is true once the limit was cut, mostReported the greatest load
	// ever reported, in tokens.
	wasCut       bool
	mostReported float64
	// stated is true once a capacity was stated.
	stated bool
	// blocked is true if the limit held a request back since the last report.
	blocked bool

	// mine is the work that this process has in flight on it.
	mine int
	// progressAt is when an attempt last made progress, or when the first of
	// those in flight began.
	progressAt time.Time
	// pendingLong counts this process's long attempts without a first token.
	pendingLong int
	ledger      *ledger
	// throttle is that of Server; nil without a rate limit.
	throttle *throttle

	reported   Load
	mineAt     int
	rampFrom   time.Time
	rampTime   time.Duration
	pace       pace
	failures   int
	avoidUntil time.Time
	hints      hintList
}

func newTarget(t Target, ramp time.Duration) *target {
	return &target{Target: t, rampTime: ramp, hash: xxhash.Sum64String(t.ID), limit: t.startLimit(), ledger: &ledger{}}
}

// startLimit is where the search for a target's limit begins, in tokens.
func (t Target) startLimit() float64 {
	switch {
	case t.Capacity > 0:
		return float64(t.Capacity)
	case t.Plain:
		return defaultCalls
	}
	return defaultLimit
}

// estimate sets load: the last report, and what has changed since.
//
// Reports are late, so each entry adds the work it sent since. The other
// entries send meanwhile as well, unseen; pool.others scales this entry's
// change to that of all entries, since the balancer in front spreads requests
// evenly. Without it each of nine entries would fill the same free room.
func (t *target) estimate(now time.Time) {
	if t.reported.At.IsZero() || t.stale(now) {
		t.load = float64(t.mine) * t.pool.others
		return
	}
	change := float64(t.mine-t.mineAt) * t.pool.others
	t.load = max(float64(t.mine), float64(t.reported.TokensInFlight)+change)
}

// stale tells whether the target ceased to report. What it last said is then no
// more to go by: work of other entries that it counted would fill it for ever.
func (t *target) stale(now time.Time) bool {
	return !t.reported.At.IsZero() && now.Sub(t.reported.At) > staleAfter
}

// part is how much of its limit it may be given now, from 0 to 1.
func (t *target) part(now time.Time) float64 {
	return t.ramp(now) * t.pace.speed()
}

func (t *target) ramp(now time.Time) float64 {
	if t.rampFrom.IsZero() {
		return 1
	}
	elapsed := now.Sub(t.rampFrom)
	if elapsed >= t.rampTime {
		t.rampFrom = time.Time{}
		return 1
	}
	return rampStart + (1-rampStart)*float64(elapsed)/float64(t.rampTime)
}

// stalled tells whether the target holds attempts and none makes progress.
//
// It is for a member that is paused: its connections stay open and nothing
// fails, so that each new request would wait there until its deadline. Other
// targets go first until one attempt moves again.
func (t *target) stalled(now time.Time) bool {
	return t.mine > 0 && now.Sub(t.progressAt) > stalledAfter
}

func (t *target) avoided(now time.Time) bool {
	return now.Before(t.avoidUntil) || now.Before(t.domain.avoidUntil)
}

// surelyFull tells that the request doesn't fit, from two fields alone. It is
// for looking through hundreds of full targets in a few microseconds.
func (t *target) surelyFull(tokens int, reserve float64) bool {
	return t.load > 0 && t.load+float64(tokens) > t.limit*(1-reserve)
}

// room tells whether the request fits now. An idle target takes any request:
// one larger than the limit would never run otherwise.
func (t *target) room(now time.Time, tokens int, reserve float64, o *Options) bool {
	if t.throttle.shut(now) {
		return false
	}
	if t.surelyFull(tokens, reserve) {
		t.blocked = true
		return false
	}
	if t.avoided(now) {
		return false
	}
	if t.load == 0 {
		return true
	}
	limit := t.limit * t.part(now) * (1 - reserve)
	if tokens >= o.LongTokens {
		if t.pendingLong >= longPrefills {
			return false
		}
		limit *= o.LongShare
	}
	if t.load+float64(tokens) <= limit {
		return true
	}
	t.blocked = true
	return false
}
