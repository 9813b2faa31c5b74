package placement

import (
	"math"
	"time"

	"github.com/citronstep/citronstep/internal/placement/firstevent"
)

const (
	// reportWeight is the weight of a target's own report of the present moment against the mean of
	// its pool. Other entries send to the target between the report and the next request.
	reportWeight = 0.5
	// meanDecay is how many times as fast as a single report the mean of the reports ages. The mean
	// must follow a burst within the time of an answer.
	meanDecay = 2
	// priorWeight is the weight of this entry's own requests, scaled to all entries, in the
	// estimate of a pool's mean occupancy. A report of the present moment has weight 1.
	priorWeight = 1
	// shareMemory is the weight of what was seen before at each report in the ratio of all
	// entries' requests to this entry's. shareSeed is the number of reports that the number of
	// entries counts for at the start.
	shareMemory = 0.98
	shareSeed   = 20
	// maxObjectives bounds the cached limits.
	maxObjectives = 64
)

// occupancy estimates how many requests the targets of one pool hold, and how many they may hold
// for first events to be on time. It is used for pools with published engine figures whose targets
// report their load in answers.
//
// Load: a pool that dozens of entries share, each with none or one request at a target. A report
// is seldom younger than the time of an answer, and by then the target holds other requests. So a
// report counts less with its age, and what takes its place is the mean of the pool, from recent
// reports of all targets and from this entry's requests in flight, which are known at once.
//
// Only reports in answers to this entry count. Of a report that all entries receive, each would
// conclude the same and choose the same target until the next one.
type occupancy struct {
	figures firstevent.Figures
	// serviceSeconds is the time of an answer by the figures.
	serviceSeconds float64
	correction     firstevent.Correction
	// limits caches the limit in requests by objective.
	limits map[time.Duration]int
	// own is the number of requests that this entry has in flight on the targets.
	own int
	// mean is the mean number of requests in the reports. weight is the number of reports
	// behind it at the time at; both forget with the time of an answer.
	mean, weight float64
	at           time.Time
	// sumAll and sumOwn are sums over reports of the pool's requests and of this entry's.
	sumAll, sumOwn float64
	cached         expectation
}

// expectation is a computed mean of the pool with what it was computed from. One decision asks for it
// once for each target.
type expectation struct {
	now          time.Time
	own, targets int
	mean         float64
}

// SetFigures sets the published figures of the models' engines. Models that are not listed have
// none.
func (p *Picker) SetFigures(figures map[string]firstevent.Figures) {
	p.figures = figures
	for model, pool := range p.pools {
		pool.occupancy.setFigures(figures[model])
	}
}

func (o *occupancy) setFigures(f firstevent.Figures) {
	if f != o.figures {
		o.figures = f
		o.serviceSeconds = f.ServiceTime().Seconds()
		o.limits = nil
		o.cached = expectation{}
	}
}

// limit returns the most requests that a target may hold so that one more is still on time; 0 if
// placement has to go by tokens.
func (o *occupancy) limit(objective time.Duration) int {
	if objective <= 0 || o.at.IsZero() || !o.figures.IsKnown() {
		return 0
	}
	if n, ok := o.limits[objective]; ok {
		return n
	}
	n := firstevent.Limit(o.figures, objective, o.correction.Overhead())
	if o.limits == nil || len(o.limits) >= maxObjectives {
		o.limits = make(map[time.Duration]int)
	}
	o.limits[objective] = n
	return n
}

// remaining returns the fraction of a report's weight that is left after the given time.
func (o *occupancy) remaining(age time.Duration) float64 {
	return math.Exp(-max(0, age.Seconds()) / o.serviceSeconds)
}

// observeReport takes in a target's report of a number of requests.
func (o *occupancy) observeReport(now time.Time, requests, targets, entries int) {
	o.weight = o.weight*o.remaining(meanDecay*now.Sub(o.at)) + 1
	o.at = now
	o.mean += (float64(requests) - o.mean) / o.weight
	o.cached = expectation{}
	if o.sumOwn == 0 {
		o.sumOwn = shareSeed
		o.sumAll = shareSeed * float64(max(1, entries))
	}
	o.sumAll = shareMemory*o.sumAll + float64(requests*targets)
	o.sumOwn = shareMemory*o.sumOwn + float64(o.own)
}

// entryRatio returns how many requests all entries have in flight for each one of this entry's.
func (o *occupancy) entryRatio(entries int) float64 {
	if o.sumOwn <= 0 {
		return float64(max(1, entries))
	}
	return max(1, o.sumAll/o.sumOwn)
}

// expected returns the mean number of requests that a target of the pool holds now.
//
// While reports are recent they decide. This entry's own requests in flight, scaled to all
// entries, take over as the reports age, so that an entry that holds requests back for an old
// report begins to send again.
func (o *occupancy) expected(now time.Time, targets, entries int) float64 {
	c := &o.cached
	if c.now.Equal(now) && c.own == o.own && c.targets == targets {
		return c.mean
	}
	prior := float64(o.own) * o.entryRatio(entries) / float64(max(1, targets))
	w := o.weight * o.remaining(meanDecay*now.Sub(o.at))
	*c = expectation{now: now, own: o.own, targets: targets, mean: (w*o.mean + priorWeight*prior) / (w + priorWeight)}
	return c.mean
}

// reportInAnswer takes in the load that the target reports in an answer to this entry.
func (t *target) reportInAnswer(now time.Time, load Load) {
	o := &t.pool.occupancy
	if !o.figures.IsKnown() {
		return
	}
	t.answeredRequests = load.Running + load.Queued
	t.ownAtAnswer = t.ownRequests
	t.answeredAt = now
	o.observeReport(now, t.answeredRequests, len(t.pool.targets), t.pool.entries)
}

// requests estimates how many requests the target holds.
func (t *target) requests(now time.Time) float64 {
	o := &t.pool.occupancy
	expected := o.expected(now, len(t.pool.targets), t.pool.entries)
	if t.answeredAt.IsZero() {
		return max(float64(t.ownRequests), expected)
	}
	w := reportWeight * o.remaining(now.Sub(t.answeredAt))
	known := float64(t.answeredRequests + t.ownRequests - t.ownAtAnswer)
	return max(float64(t.ownRequests), w*known+(1-w)*expected)
}

// offerFromRandom offers all targets, beginning with a random one, as targets of which this entry
// knows equally little have equal scores.
//
// Load: a group joins a lightly loaded pool and holds few requests. Each entry learns that from its
// own first answer, and would send all its requests there until the group is full. So all targets are
// offered only if two random ones have no room.
func (p *Picker) offerFromRandom(now time.Time, pool *pool, r Request, c *choice) {
	n := len(pool.targets)
	first := p.draw(n)
	for i := range n {
		t := pool.targets[(first+i)%n]
		if !t.isIneligible(now, r) {
			c.offer(t, p.score(now, t, r), ReasonLeastLoaded)
		}
	}
}

// hasPlace reports whether the request fits now, by the limit in requests. A target without any
// request of this entry takes one if nothing is known of it.
func (t *target) hasPlace(now time.Time, r *Request, limit int, o *Options) bool {
	if t.isAvoided(now) {
		return false
	}
	if r.Tokens >= o.LongTokens && t.pendingLongPrefills >= maxLongPrefills {
		return false
	}
	requests := t.requests(now)
	return requests == 0 || requests+1 <= float64(limit)*t.limitFraction(now)*(1-r.ReservedFraction)
}

// RecordFirstEvent records the first event of an attempt, which came after the time took at a
// target with the given load. It returns the time that was predicted when the attempt was sent;
// 0 for a pool without published figures.
func (p *Picker) RecordFirstEvent(attemptID string, load Load, took, objective time.Duration) time.Duration {
	a := p.attempts[attemptID]
	if a == nil {
		return 0
	}
	o := &a.target.pool.occupancy
	l := firstevent.Load{Running: load.Running, Queued: load.Queued}
	o.correction.Observe(o.figures, l, took, objective)
	for known := range o.limits {
		o.limits[known] = firstevent.Limit(o.figures, known, o.correction.Overhead())
	}
	return a.predicted
}

// predict returns the expected time to the first event of a request that is sent now; 0 for a pool
// without published figures.
func (t *target) predict(now time.Time) time.Duration {
	o := &t.pool.occupancy
	if !o.figures.IsKnown() {
		return 0
	}
	n := int(t.requests(now))
	return o.correction.Expected(o.figures, firstevent.Load{Running: min(n, o.figures.Slots), Queued: max(0, n-o.figures.Slots)})
}

// RequestLimits returns for each model the limit in requests of a target, for the shortest objective
// in use; 0 where limits are in tokens.
func (p *Picker) RequestLimits() map[string]int {
	limits := make(map[string]int, len(p.pools))
	for model, pool := range p.pools {
		if !pool.occupancy.figures.IsKnown() {
			continue
		}
		limits[model] = 0
		shortest := time.Duration(math.MaxInt64)
		for objective, n := range pool.occupancy.limits {
			if objective < shortest {
				shortest, limits[model] = objective, n
			}
		}
	}
	return limits
}
