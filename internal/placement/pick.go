package placement

import (
	"slices"
	"sort"
	"time"
)

const (
	// cachedGain is the score reduction for a completely cached prompt, as a load relative to
	// the limit. Computing a long prompt again costs about that much of a server's time.
	cachedGain = 0.4
	// affinityGain is the score reduction for a prompt that only hashes to the server.
	affinityGain = 0.2
	// loadBound is how far above the pool's mean a server's load may be for affinity to count,
	// as in consistent hashing with bounded loads. It guards against skewed demand: one popular
	// prompt must not overload its server.
	loadBound = 1.25
	// remoteCost is the load, relative to the limit, by which a server in another data centre
	// must be better. The network between data centres adds about a millisecond to each token.
	remoteCost = 0.05
	// staleCost is the load, relative to the limit, by which a server that has stopped
	// reporting must be better.
	staleCost = 0.25
	// slowCost ranks a slow server behind all others that have free capacity.
	slowCost = 2
	// noCapacityCost ranks a server without free capacity behind all that have some.
	noCapacityCost = 10
	// avoidedCost ranks a server that has just failed behind all others.
	avoidedCost = 100
)

// sort orders the targets by id, so that equal pools give repeatable decisions.
func (p *pool) sort() {
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
}

// HasCapacity reports whether some target has free capacity for a request now.
func (p *Picker) HasCapacity(now time.Time, r Request) bool {
	pool := p.pools[r.Model]
	if pool == nil {
		return false
	}
	r.Tokens = max(1, r.Tokens)
	if pool.occupancy.limit(r.Objective) > 0 {
		return pool.hasCapacity(now, r, &p.options)
	}
	miss := pool.misses.forLength(r.Tokens >= p.options.LongTokens)
	if miss.covers(now, r.Tokens, r.ReservedFraction) {
		return false
	}
	if pool.hasCapacity(now, r, &p.options) {
		return true
	}
	if pool.refreshStale(now) && pool.hasCapacity(now, r, &p.options) {
		return true
	}
	if r.Homes == nil {
		miss.record(now, r.Tokens, r.ReservedFraction)
	}
	return false
}

// Serves reports whether a model has a target in one of the regions; nil allows any region.
func (p *Picker) Serves(model string, homes []string) bool {
	pool := p.pools[model]
	return pool != nil && slices.ContainsFunc(pool.targets, func(t *target) bool { return t.isInRegions(homes) })
}

// choice collects the best and the second best candidate.
type choice struct {
	best, second             *target
	bestScore, secondScore   float64
	bestReason, secondReason Reason
}

func (c *choice) offer(t *target, score float64, reason Reason) {
	switch {
	case t == c.best || t == c.second:
		return
	case c.best == nil || score < c.bestScore:
		c.second, c.secondScore, c.secondReason = c.best, c.bestScore, c.bestReason
		c.best, c.bestScore, c.bestReason = t, score, reason
	case c.second == nil || score < c.secondScore:
		c.second, c.secondScore, c.secondReason = t, score, reason
	}
}

// Pick chooses a target for r. It returns false if no target of the model is eligible: not
// excluded by r, in one of r's regions and not blocked by its backend server's rate limits or
// back-off. A
// target without free capacity is chosen only if no target has some.
//
// The candidates are the holders of the prefix, the two targets that the prefix hashes to, two
// random draws, and the targets whose rate limit this entry shares. The least loaded candidate
// wins. Choosing the least loaded of all targets instead would send every entry's requests to
// one server until the next report.
func (p *Picker) Pick(now time.Time, r Request) (Choice, bool) {
	pool := p.pools[r.Model]
	if pool == nil || len(pool.targets) == 0 {
		return Choice{}, false
	}
	r.Tokens = max(1, r.Tokens)
	if t := p.probe(now, pool, r); t != nil {
		return Choice{ID: t.ID, Reason: ReasonProbe}, true
	}
	var c choice
	cached := p.offerCached(now, pool, r, &c)
	p.offerAffinity(now, pool, r, &c)
	p.offerRandom(now, pool, r, &c)
	p.offerRateLimited(now, pool, r, &c)
	if c.best == nil || c.bestScore >= slowCost || p.options.SoleSender {
		p.offerAll(now, pool, r, &c)
	}
	if c.best == nil {
		return Choice{}, false
	}
	return c.result(cached), true
}

func (c *choice) result(cached int) Choice {
	out := Choice{ID: c.best.ID, Score: c.bestScore, Reason: c.bestReason}
	if c.bestScore >= noCapacityCost {
		out.Reason = ReasonNoCapacity
	}
	if out.Reason == ReasonCached {
		out.Cached = cached
	}
	if c.second != nil {
		out.RunnerUp, out.RunnerUpScore = c.second.ID, c.secondScore
	}
	return out
}

// score returns the load of t with r added, as a fraction of t's usable limit, plus the costs
// of choosing t.
func (p *Picker) score(now time.Time, t *target, r Request) float64 {
	s := t.relativeLoad(now, &r) / t.pace.speed()
	if t.DataCentre != p.options.DataCentre {
		s += remoteCost
	}
	if t.isStale(now) {
		s += staleCost
	}
	if t.pace.isSlow || t.isStalled(now) {
		s += slowCost
	}
	if t.isAvoided(now) {
		return s + avoidedCost
	}
	if !t.hasCapacity(now, &r, &p.options) {
		s += noCapacityCost
	}
	return s
}

// isIneligible reports whether t must not be chosen for r at all.
func (t *target) isIneligible(now time.Time, r Request) bool {
	return t.isBlocked(now) || isExcluded(t, r.Exclude) || !t.isInRegions(r.Homes)
}

// isInRegions reports whether t lies in one of the regions; nil allows any region.
func (t *target) isInRegions(regions []string) bool {
	return regions == nil || slices.Contains(regions, t.Region)
}

func isExcluded(t *target, exclude []string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, t.ID)
}

// relativeLoad returns the load of t with r added, as a fraction of t's limit. While t ramps up,
// the load that it has weighs more, and r does not: an idle pool would send t nothing otherwise.
func (t *target) relativeLoad(now time.Time, r *Request) float64 {
	ramp := t.rampFraction(now)
	if limit := t.pool.occupancy.limit(r.Objective); limit > 0 {
		return (t.requests(now)/ramp + 1) / float64(limit)
	}
	return (t.load/ramp + float64(r.Tokens)) / t.limit
}

// minScore returns a lower bound of score that is quick to compute.
func (t *target) minScore(r *Request) float64 {
	s := (t.load + float64(r.Tokens)) / t.limit
	if t.exceedsLimit(r.Tokens, r.ReservedFraction) {
		s += noCapacityCost
	}
	return s
}

func (p *Picker) offerCached(now time.Time, pool *pool, r Request, c *choice) int {
	holding, blocks := p.hints.longestHeld(r.Prefix)
	if blocks == 0 {
		return 0
	}
	bound := loadBound * pool.meanLoad()
	gain := cachedGain * float64(blocks) / float64(len(r.Prefix))
	for _, t := range holding {
		if t.pool == pool && t.isListed && !t.isIneligible(now, r) {
			c.offer(t, p.score(now, t, r)-boundedGain(t, r, bound, gain), ReasonCached)
		}
	}
	return blocks
}

// boundedGain returns gain, or 0 if t is loaded above bound.
func boundedGain(t *target, r Request, bound, gain float64) float64 {
	if t.load > 0 && (t.load+float64(r.Tokens))/t.limit > bound {
		return 0
	}
	return gain
}

// offerAffinity offers the two targets of greatest rendezvous weight.
func (p *Picker) offerAffinity(now time.Time, pool *pool, r Request, c *choice) {
	key := affinityKey(r)
	if key == 0 {
		return
	}
	var first, second *target
	var firstWeight, secondWeight uint64
	load, limit := 0.0, 0.0
	for _, t := range pool.targets {
		load += t.load
		limit += t.limit
		w := rendezvousWeight(key, t.idHash)
		switch {
		case first == nil || w > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = t, w
		case second == nil || w > secondWeight:
			second, secondWeight = t, w
		}
	}
	bound := loadBound * load / max(limit, 1)
	for i, t := range [2]*target{first, second} {
		if t == nil || t.isIneligible(now, r) {
			continue
		}
		gain := affinityGain / float64(i+1)
		c.offer(t, p.score(now, t, r)-boundedGain(t, r, bound, gain), ReasonAffinity)
	}
}

func (p *Picker) offerRandom(now time.Time, pool *pool, r Request, c *choice) {
	n := len(pool.targets)
	first := p.draw(n)
	second := (first + 1 + p.draw(max(1, n-1))) % n
	for _, i := range [2]int{first, second} {
		t := pool.targets[i]
		if !t.isIneligible(now, r) {
			c.offer(t, p.score(now, t, r), ReasonTwoChoices)
		}
	}
}

// offerRateLimited offers the targets whose rate limit this entry has a share of. Few entries
// have a share, and in a large pool two random draws would seldom meet these targets.
func (p *Picker) offerRateLimited(now time.Time, pool *pool, r Request, c *choice) {
	if len(p.throttles) == 0 {
		return
	}
	for _, t := range pool.targets {
		if t.throttle != nil && !t.isIneligible(now, r) {
			c.offer(t, p.score(now, t, r), ReasonTwoChoices)
		}
	}
}

func (p *Picker) offerAll(now time.Time, pool *pool, r Request, c *choice) {
	if pool.occupancy.limit(r.Objective) > 0 {
		p.offerFromRandom(now, pool, r, c)
		return
	}
	for _, t := range pool.targets {
		if c.second != nil && t.minScore(&r) >= c.secondScore {
			continue
		}
		if !t.isIneligible(now, r) {
			c.offer(t, p.score(now, t, r), ReasonLeastLoaded)
		}
	}
}

// probe returns a slow target that is due for a trial request, or nil. A request of the
// greatest worth is used only if no other request came for a whole probe interval.
func (p *Picker) probe(now time.Time, pool *pool, r Request) *target {
	if pool.reference.slowCount == 0 {
		return nil
	}
	due := now
	if r.ReservedFraction == 0 {
		due = now.Add(-probeInterval)
	}
	for _, t := range pool.targets {
		if !t.pace.isSlow || due.Before(t.pace.nextProbe) || t.isIneligible(now, r) {
			continue
		}
		if t.hasCapacity(now, &r, &p.options) {
			t.pace.nextProbe = now.Add(probeInterval)
			return t
		}
	}
	return nil
}

// draw returns a random number below n by SplitMix64. The generator is small enough to be part
// of the state, so that a seed repeats all decisions.
func (p *Picker) draw(n int) int {
	p.random += 0x9e3779b97f4a7c15
	z := p.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}
