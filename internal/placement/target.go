package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// defaultTokenLimit is the initial limit, in tokens, of a target of unknown capacity: a few
// requests of ordinary size.
const defaultTokenLimit = 8192

// defaultCallLimit is the initial limit, in calls, of an instance of a plain service: a few
// calls for each core of a small VM.
const defaultCallLimit = 32

// maxLongPrefills is how many long prompts one entry lets a target compute at the same time.
// Long requests arrive together after an outage, for example. Engines compute prompts in order
// of arrival, so a short request behind ten long prompts would wait for all of them.
const maxLongPrefills = 1

const (
	// defaultRampTime is the time over which a returning target's limit rises to its full
	// value. The target's prefix cache is cold, and a target that failed from overload would
	// fail again if it got its full load at once.
	defaultRampTime = 10 * time.Second
	// initialRampFraction is the fraction of the limit at which the ramp begins: enough to see
	// whether the target works.
	initialRampFraction = 0.1
)

// staleAfter is the age at which a target's last report is ignored. Reports arrive several
// times a second, so the target has missed many by then.
const staleAfter = 3 * time.Second

// stalledAfter is how long a target may hold attempts without progress on any of them. The
// longest prompts take about two seconds to their first token.
const stalledAfter = 3 * time.Second

// target is the state kept for a Target.
type target struct {
	Target
	// limit is the most work, in tokens, that the target may hold; load is its estimated work
	// in flight.
	limit, load float64
	idHash      uint64
	// isListed is false once SetTargets omits the target; its attempts may still run.
	isListed bool
	domain   *domain
	pool     *pool

	nextCut time.Time
	// wasCut is true once the limit has been cut. maxReportedLoad is the greatest load ever
	// reported, in tokens.
	wasCut          bool
	maxReportedLoad float64
	// capacityStated is true once a capacity has been stated.
	capacityStated bool
	// limitReached is true if the limit has held a request back since the last report.
	limitReached bool

	// own is the work, in tokens, that this entry has in flight on the target.
	own int
	// ownRequests is the number of requests that this entry has in flight on the target.
	ownRequests int
	// lastProgress is when an attempt last made progress, or when the first of those in flight
	// began.
	lastProgress time.Time
	// pendingLongPrefills counts this entry's long attempts without a first token.
	pendingLongPrefills int
	ledger              *ledger
	// throttle is the throttle of Server; nil without a rate limit.
	throttle *throttle
	// backoff is the back-off that Server has requested; nil if it requested none.
	backoff *backoff
	// distrust is the record of Server's unreadable answers; nil without any.
	distrust *distrust

	reported    Load
	ownAtReport int
	// answeredRequests is the number of requests in the target's last report in an answer, at
	// answeredAt; ownAtAnswer is ownRequests at that time.
	answeredRequests, ownAtAnswer int
	answeredAt                    time.Time
	rampFrom                      time.Time
	rampTime                      time.Duration
	pace                          pace
	failures                      int
	avoidUntil                    time.Time
	hints                         hintList
}

func newTarget(t Target, ramp time.Duration) *target {
	return &target{Target: t, rampTime: ramp, idHash: xxhash.Sum64String(t.ID), limit: t.startLimit(), ledger: &ledger{}}
}

// startLimit returns the initial limit of a target, in tokens.
func (t Target) startLimit() float64 {
	switch {
	case t.Capacity > 0:
		return float64(t.Capacity)
	case t.Plain:
		return defaultCallLimit
	}
	return defaultTokenLimit
}

// estimate sets load to the last report, corrected by the changes since.
//
// Reports are late, so the entry adds the work it has sent since the measurement. The other
// entries send work in the same time, which this entry does not see. pool.workRatio scales this
// entry's change to all entries, because the balancer in front spreads requests evenly. Without
// the scaling each of nine entries would fill the same free capacity.
func (t *target) estimate(now time.Time) {
	if t.reported.At.IsZero() || t.isStale(now) {
		t.load = float64(t.own) * t.pool.workRatio
		return
	}
	change := float64(t.own-t.ownAtReport) * t.pool.workRatio
	if t.pool.soleSender {
		// Ends are reported late, so own counts requests that have ended.
		t.load = max(0, float64(t.reported.TokensInFlight)+change-t.endedOfOthers(now))
		return
	}
	t.load = max(float64(t.own), float64(t.reported.TokensInFlight)+change)
}

// endedOfOthers estimates how much of the reported work that others sent has ended since the
// report.
func (t *target) endedOfOthers(now time.Time) float64 {
	others := max(0, t.reported.TokensInFlight-t.ownAtReport)
	if t.pool.usualTime <= 0 {
		return 0
	}
	return float64(others) * min(1, now.Sub(t.reported.At).Seconds()/t.pool.usualTime.Seconds())
}

// isStale reports whether the target has stopped reporting. Its last report is then ignored:
// the work of other entries that it counted would otherwise fill the target for ever.
func (t *target) isStale(now time.Time) bool {
	return !t.reported.At.IsZero() && now.Sub(t.reported.At) > staleAfter
}

// limitFraction returns the fraction of its limit, from 0 to 1, that the target may use now.
func (t *target) limitFraction(now time.Time) float64 {
	return t.rampFraction(now) * t.pace.speed()
}

func (t *target) rampFraction(now time.Time) float64 {
	if t.rampFrom.IsZero() {
		return 1
	}
	elapsed := now.Sub(t.rampFrom)
	if elapsed >= t.rampTime {
		t.rampFrom = time.Time{}
		return 1
	}
	return initialRampFraction + (1-initialRampFraction)*float64(elapsed)/float64(t.rampTime)
}

// isStalled reports whether the target holds attempts and none makes progress.
//
// It detects a paused group member: connections stay open and nothing fails, so each new
// request would wait there until its deadline. Other targets are preferred until an attempt
// makes progress again.
func (t *target) isStalled(now time.Time) bool {
	return t.own > 0 && now.Sub(t.lastProgress) > stalledAfter
}

func (t *target) isAvoided(now time.Time) bool {
	return now.Before(t.avoidUntil) || now.Before(t.domain.avoidUntil)
}

// exceedsLimit reports whether the request is certain not to fit, from the load and the limit
// alone. It lets Pick scan hundreds of full targets in a few microseconds.
func (t *target) exceedsLimit(tokens int, reserve float64) bool {
	return t.load > 0 && t.load+float64(tokens) > t.limit*(1-reserve)
}

// hasCapacity reports whether the request fits now. An idle target takes any request, because a
// request larger than the limit would never run otherwise. If the limit holds the request back,
// hasCapacity sets limitReached.
func (t *target) hasCapacity(now time.Time, r *Request, o *Options) bool {
	tokens, reserve := r.Tokens, r.ReservedFraction
	if t.isBlocked(now) {
		return false
	}
	if limit := t.pool.occupancy.limit(r.Objective); limit > 0 {
		return t.hasPlace(now, r, limit, o)
	}
	if t.exceedsLimit(tokens, reserve) {
		t.limitReached = true
		return false
	}
	if t.isAvoided(now) {
		return false
	}
	if t.load == 0 {
		return true
	}
	limit := t.limit * t.limitFraction(now) * (1 - reserve)
	if tokens >= o.LongTokens {
		if t.pendingLongPrefills >= maxLongPrefills {
			return false
		}
		limit *= o.LongFraction
	}
	if t.load+float64(tokens) <= limit {
		return true
	}
	t.limitReached = true
	return false
}
