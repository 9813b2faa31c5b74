package placement

import "time"

// maxWorkRatio bounds pool.workRatio. The users run at most 9 entries today, and a wrong
// estimate must not keep an entry from using its share.
const maxWorkRatio = 16

// workRatioWeight is the weight of one report in the means behind pool.workRatio. The means
// follow a change in the number of entries within a hundred reports, about twenty seconds of
// one target.
const workRatioWeight = 0.01

// pool holds the targets of one model.
type pool struct {
	targets []*target
	// soleSender is Options.SoleSender.
	soleSender bool
	usualTime  time.Duration
	// workRatio is the work in flight of all entries for each token of this entry's: the ratio
	// of meanAll to meanOwn, both in tokens for each target.
	workRatio        float64
	meanAll, meanOwn float64
	occupancy        occupancy
	reference        reference
	misses           capacityCache
	// outageUntil is the time until which a target that succeeds again is taken to recover from
	// an outage of most of the pool.
	outageUntil time.Time
	nextRefresh time.Time
}

// newPool returns a pool for a number of entries that send to it, this one included.
//
// After an outage all processes start together, and each entry gets its share of the backlog
// before any backend server has reported. If each entry assumed to be alone, each would fill
// all groups by itself: 380 requests went to 312 slots within half a second. The balancer gives
// all entries equal shares, so workRatio starts at the number of entries until reports correct
// it.
func newPool(entries int) *pool {
	return &pool{workRatio: float64(min(max(1, entries), maxWorkRatio)), occupancy: occupancy{entries: entries}}
}

// observeWorkRatio updates workRatio from a target's report and this entry's work on the
// target.
//
// It uses the ratio of means, because the mean of ratios is distorted: a target that holds one
// small request of this entry would show a ratio of a hundred.
func (p *pool) observeWorkRatio(t *target) {
	if p.soleSender {
		return
	}
	p.meanAll += workRatioWeight * (float64(t.reported.TokensInFlight) - p.meanAll)
	p.meanOwn += workRatioWeight * (float64(max(0, t.ownAtReport)) - p.meanOwn)
	if p.meanAll > p.meanOwn && p.meanOwn > 0 {
		p.workRatio = min(p.meanAll/p.meanOwn, maxWorkRatio)
		return
	}
	p.workRatio = 1
}

// hasCapacity reports whether the request fits on some target.
func (p *pool) hasCapacity(now time.Time, r Request, o *Options) bool {
	for _, t := range p.targets {
		if t.isInRegions(r.Homes) && t.hasCapacity(now, &r, o) {
			return true
		}
	}
	return false
}

// refreshInterval is the shortest time between two searches for stale targets. Under
// saturation, requests find no capacity many times a second.
const refreshInterval = time.Second

// refreshStale estimates the load of stale targets again and reports whether there are any. It
// runs only when no target has free capacity, so that exceedsLimit needs no clock.
func (p *pool) refreshStale(now time.Time) bool {
	if now.Before(p.nextRefresh) {
		return false
	}
	p.nextRefresh = now.Add(refreshInterval)
	found := false
	for _, t := range p.targets {
		if t.isStale(now) {
			t.estimate(now)
			found = true
		}
	}
	return found
}

// meanLoad returns the total load of the pool as a fraction of its total limit.
func (p *pool) meanLoad() float64 {
	load, limit := 0.0, 0.0
	for _, t := range p.targets {
		load += t.load
		limit += t.limit
	}
	if limit == 0 {
		return 0
	}
	return load / limit
}

// capacityCacheTTL bounds the lifetime of a capacityMiss, because ramps and back-offs end as
// time passes, without an event.
const capacityCacheTTL = 20 * time.Millisecond

// capacityCache remembers that a request of some size fits on no target, until some target
// finishes work or reports.
//
// Under full saturation each request that arrives or ends asks again for capacity. Without the
// cache each of thousands of queries a second would scan every target.
type capacityCache struct {
	short, long capacityMiss
}

type capacityMiss struct {
	until   time.Time
	tokens  int
	reserve float64
}

func (c *capacityCache) clear() { *c = capacityCache{} }

func (c *capacityCache) forLength(isLong bool) *capacityMiss {
	if isLong {
		return &c.long
	}
	return &c.short
}

func (m *capacityMiss) covers(now time.Time, tokens int, reserve float64) bool {
	return now.Before(m.until) && tokens >= m.tokens && reserve >= m.reserve
}

func (m *capacityMiss) record(now time.Time, tokens int, reserve float64) {
	*m = capacityMiss{until: now.Add(capacityCacheTTL), tokens: tokens, reserve: reserve}
}
