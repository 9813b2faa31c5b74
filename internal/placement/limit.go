package placement

import "time"

const (
	// limitCutFactor is the factor by which a cut lowers the limit. The limit falls fast,
	// because requests queued on an engine can no longer be ordered by worth.
	limitCutFactor = 0.9
	// limitStepFraction is the size of one increase: a fraction of the limit until the first
	// cut, then of the greatest reported load, which all entries see. With additive increase
	// and multiplicative decrease the limits of several entries converge. Multiplicative
	// increase would keep them apart, and the entry with the lowest limit would get no
	// capacity.
	limitStepFraction = 0.02
	// minCutInterval is the shortest time between two cuts. Reports are late and requests in
	// flight end slowly, so a cut takes time to show.
	minCutInterval = time.Second
	// growthThreshold is the fraction of the limit that the load must reach for the limit to
	// grow. It is well below 1 because requests of lesser worth and long requests are held back
	// below the limit.
	growthThreshold = 0.6
	// limitRangeFactor bounds the limit to this factor above and below a stated capacity.
	limitRangeFactor = 4
	// unknownRangeFactor bounds the limit from above where no capacity was stated.
	unknownRangeFactor = 1024
	// queuedFraction is the fraction of the running requests that may wait on the engine. A
	// short queue fills the batch without a round trip when a request ends.
	queuedFraction = 0.05
)

// Report applies the latest measurement of target id. A report that is not newer than the last
// is dropped. A report dated in the future, by a clock that is ahead, counts as of now;
// otherwise it would cause later reports to be dropped.
func (p *Picker) Report(now time.Time, id string, load Load) {
	t := p.targets[id]
	if load.At.After(now) {
		load.At = now
	}
	if t != nil && t.Plain && load.TokensInFlight == 0 {
		load.TokensInFlight = load.Running + load.Queued
	}
	if t == nil || !load.At.After(t.reported.At) {
		return
	}
	t.reported = load
	t.maxReportedLoad = max(t.maxReportedLoad, float64(load.TokensInFlight))
	t.ownAtReport = t.own - t.ledger.netSince(load.At)
	t.pool.observeWorkRatio(t)
	if load.InAnswer {
		t.reportInAnswer(now, load)
	}
	t.estimate(now)
	if !p.options.SoleSender {
		t.adaptLimit(now, p.options.TokenInterval)
	}
	t.pool.misses.clear()
}

// adaptLimit raises the limit by equal steps and lowers it by a factor.
//
// An engine's capacity may be unknown, or may change with the mix of requests. Too high a limit
// builds a queue on the engine, where a request of greater worth can't overtake. Too low a
// limit leaves accelerators idle.
func (t *target) adaptLimit(now time.Time, interval time.Duration) {
	r := t.reported
	if r.Running == 0 {
		return
	}
	isQueueing := float64(r.Queued) > 1+queuedFraction*float64(r.Running)
	if isQueueing || t.isDecodingTooSlow(interval) {
		t.cutLimit(now)
		return
	}
	if t.limitReached && float64(r.TokensInFlight) >= growthThreshold*t.limit {
		t.limitReached = false
		t.limit = min(t.limit+t.limitStep(), t.limitCeiling())
	}
}

// isDecodingTooSlow reports whether the running requests receive tokens further apart than
// interval. One more request would slow all of them. It returns false for a target that is slow
// at any load: less load would not help, and pace handles it.
func (t *target) isDecodingTooSlow(interval time.Duration) bool {
	r := t.reported
	if r.TokensPerSecond <= 0 || t.pace.isSlow {
		return false
	}
	return r.TokensPerSecond*interval.Seconds() < float64(r.Running)
}

// cutLimit lowers the limit by a factor, whatever the load is. If it cut the limit to the
// reported load, a short queue of small requests would leave no capacity for larger ones: they
// need more load than the load at which slots ran out.
func (t *target) cutLimit(now time.Time) {
	if now.Before(t.nextCut) {
		return
	}
	t.nextCut = now.Add(minCutInterval)
	t.wasCut = true
	t.limit = max(limitCutFactor*t.limit, t.limitFloor())
}

// updateDescription replaces the description of the target. A stated capacity that changes, or
// that appears and disappears with the reports, bounds the learned limit and does not replace
// it.
func (t *target) updateDescription(o Target) {
	t.Target = o
	if o.Capacity <= 0 {
		return
	}
	if !t.capacityStated && !t.wasCut {
		t.limit = o.startLimit()
	}
	t.capacityStated = true
	t.limit = min(max(t.limit, t.limitFloor()), t.limitCeiling())
}

func (t *target) limitStep() float64 {
	if t.wasCut {
		return limitStepFraction * t.maxReportedLoad
	}
	return limitStepFraction * t.limit
}

// limitFloor returns the lowest limit. It may be small, because an idle target takes any
// request.
func (t *target) limitFloor() float64 {
	return t.startLimit() / limitRangeFactor
}

func (t *target) limitCeiling() float64 {
	if t.Capacity <= 0 {
		return t.startLimit() * unknownRangeFactor
	}
	return float64(t.Capacity) * limitRangeFactor
}
