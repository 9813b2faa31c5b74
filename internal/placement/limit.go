package placement

import "time"

const (
	// limitCut is the factor of a cut of the limit. It falls fast, since work
	// queued on an engine can't be ordered by worth any more.
	limitCut = 0.9
	// limitStep is the part by which the limit grows: of itself until the first
	// cut, then of the greatest load reported, which all entries see. Growing by equal steps and falling
	// by a factor lets the limits of several entries meet; growing by a factor
	// would keep them apart, and the entry with the lowest would get no room.
	limitStep = 0.02
	// settleTime is how long a cut must show before the next: reports are late
	// and requests in flight end slowly.
	settleTime = time.Second
	// binding is the part of the limit that the work must reach for the limit
	// to grow: requests of lesser worth and long ones may be held back well
	// below it.
	binding = 0.6
	// limitRange bounds the limit to this factor around a stated capacity.
	limitRange = 4
	// unknownRange bounds it above where no capacity was stated.
	unknownRange = 1024
	// queuedPart is the part of the running requests that may wait on the
	// engine: it fills the batch without a round trip when one ends.
	queuedPart = 0.05
)

// Report takes in what target id last measured about itself. A report that is
// not newer than the last is dropped; one from the future, by a clock that is
// ahead, counts as of now, or it would shut out those that follow.
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
	t.ownAtReport = t.own - t.ledger.since(load.At)
	t.pool.observeWorkRatio(t)
	t.estimate(now)
	t.adapt(now, p.options.TokenInterval)
	t.pool.misses.clear()
}

// adapt moves the limit by equal steps up and by a factor down.
//
// It is made for engines whose capacity isn't known or changes with the mix of
// requests. Too high a limit builds a queue on the engine, where a request of
// greater worth can't pass; too low a limit leaves accelerators idle.
func (t *target) adapt(now time.Time, interval time.Duration) {
	r := t.reported
	if r.Running == 0 {
		return
	}
	crowded := float64(r.Queued) > 1+queuedPart*float64(r.Running)
	if crowded || t.tooSlow(interval) {
		t.cut(now)
		return
	}
	if t.limitReached && float64(r.TokensInFlight) >= binding*t.limit {
		t.limitReached = false
		t.limit = min(t.limit+t.step(), t.limitCeiling())
	}
}

// tooSlow tells whether a further request would keep all of them waiting for
// their next token. A target that is slow at any load is left out: less load
// wouldn't mend it, and pace judges it.
func (t *target) tooSlow(interval time.Duration) bool {
	r := t.reported
	if r.TokensPerSecond <= 0 || t.pace.slow {
		return false
	}
	return r.TokensPerSecond*interval.Seconds() < float64(r.Running)
}

// cut lowers the limit by a factor, whatever the load is. Cut to the reported
// load, a short queue of small requests would leave no room for larger ones: the
// load they need is greater than the load at which slots ran out.
func (t *target) cut(now time.Time) {
	if now.Before(t.nextCut) {
		return
	}
	t.nextCut = now.Add(settleTime)
	t.wasCut = true
	t.limit = max(limitCut*t.limit, t.limitFloor())
}

// restate takes in what is now said of the target. A stated capacity that
// changes, or comes and goes with the reports, bounds the limit that was learned
// and doesn't replace it.
func (t *target) restate(o Target) {
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

func (t *target) step() float64 {
	if t.wasCut {
		return limitStep * t.maxReportedLoad
	}
	return limitStep * t.limit
}

// limitFloor may be small, since an idle target takes any request.
func (t *target) limitFloor() float64 {
	return t.startLimit() / limitRange
}

func (t *target) limitCeiling() float64 {
	if t.Capacity <= 0 {
		return t.startLimit() * unknownRange
	}
	return float64(t.Capacity) * limitRange
}
