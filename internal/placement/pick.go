package placement

import (
	"slices"
	"sort"
	"time"
)

const (
	// cachedGain is the load, as a part of the limit, that a wholly cached
	// prompt is worth: computing a long prompt again costs about that much of
	// a server's time.
	cachedGain = 0.4
	// affinityGain is the same for a prompt that only hashes to the server.
	affinityGain = 0.2
	// loadBound is how far above the pool's mean a server's load may be for
	// affinity to count, as in consistent hashing with bounded loads. It is
	// for skewed demand: one popular prompt must not overload its server.
	loadBound = 1.25
	// remoteCost is the load that a server of another data centre must be
	// better by; the way there costs about a millisecond for each token.
	remoteCost = 0.05
	// staleCost is the same for a server whose reports ceased.
	staleCost = 0.25
	// slowCost puts a slow server behind all others that have room.
	slowCost = 2
	// noRoomCost puts a server without room behind all that have room.
	noRoomCost = 10
	// avoidedCost puts a server that just failed behind all others.
	avoidedCost = 100
)

// sort gives pools of equal targets an equal order, for repeatable decisions.
func (p *pool) sort() {
	sort.Slice(p.targets, func(i, j int) bool { return p.targets[i].ID < p.targets[j].ID })
}

// HasRoom tells whether a request could be placed now.
func (p *Picker) HasRoom(now time.Time, r Request) bool {
	pool := p.pools[r.Model]
	if pool == nil {
		return false
	}
	r.Tokens = max(1, r.Tokens)
	none := pool.misses.forLength(r.Tokens >= p.options.LongTokens)
	if none.covers(now, r.Tokens, r.Reserve) {
		return false
	}
	if pool.hasCapacity(now, r, &p.options) {
		return true
	}
	if pool.refreshStale(now) && pool.hasCapacity(now, r, &p.options) {
		return true
	}
	if r.Homes == nil {
		none.record(now, r.Tokens, r.Reserve)
	}
	return false
}

// Serves tells whether a model has a target in one of the regions; nil is any.
func (p *Picker) Serves(model string, homes []string) bool {
	pool := p.pools[model]
	return pool != nil && slices.ContainsFunc(pool.targets, func(t *target) bool { return t.within(homes) })
}

// choice collects the best and second best of the candidates.
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

// Pick chooses a target for r. It returns false if the model has no target that r
// doesn't exclude, that lies in its homes and is open by its backend server's rate limit. A target without
// room is chosen only if none has.
//
// Holders of the prefix, the two servers it hashes to, two drawn at random and those whose
// limited rate this entry shares compete by load. Taking the least loaded of all instead would send every
// entry's requests to one server until the next report.
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
	p.offerShared(now, pool, r, &c)
	if c.best == nil || c.bestScore >= slowCost {
		p.offerAll(now, pool, r, &c)
	}
	if c.best == nil {
		return Choice{}, false
	}
	return c.result(cached), true
}

func (c *choice) result(cached int) Choice {
	out := Choice{ID: c.best.ID, Score: c.bestScore, Reason: c.bestReason}
	if c.bestScore >= noRoomCost {
		out.Reason = ReasonNoRoom
	}
	if out.Reason == ReasonCached {
		out.Cached = cached
	}
	if c.second != nil {
		out.RunnerUp, out.RunnerUpScore = c.second.ID, c.secondScore
	}
	return out
}

// score is the load of t with r on it, as a part of what it may be given, and
// the costs of choosing it.
func (p *Picker) score(now time.Time, t *target, r Request) float64 {
	s := (t.load + float64(r.Tokens)) / (t.limit * t.limitFraction(now))
	if t.DataCentre != p.options.DataCentre {
		s += remoteCost
	}
	if t.isStale(now) {
		s += staleCost
	}
	if t.pace.slow || t.isStalled(now) {
		s += slowCost
	}
	if t.isAvoided(now) {
		return s + avoidedCost
	}
	if !t.hasCapacity(now, r.Tokens, r.Reserve, &p.options) {
		s += noRoomCost
	}
	return s
}

// barred tells whether t may not be chosen for r at all.
func (t *target) barred(now time.Time, r Request) bool {
	return t.throttle.shut(now) || excluded(t, r.Exclude) || !t.within(r.Homes)
}

// within tells whether t lies in one of the regions; nil is any.
func (t *target) within(homes []string) bool {
	return homes == nil || slices.Contains(homes, t.Region)
}

func excluded(t *target, exclude []string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, t.ID)
}

// leastScore is a bound below score that is quick to compute.
func (t *target) leastScore(r *Request) float64 {
	s := (t.load + float64(r.Tokens)) / t.limit
	if t.exceedsLimit(r.Tokens, r.Reserve) {
		s += noRoomCost
	}
	return s
}

func (p *Picker) offerCached(now time.Time, pool *pool, r Request, c *choice) int {
	held, blocks := p.hints.longest(r.Prefix)
	if blocks == 0 {
		return 0
	}
	bound := loadBound * pool.meanLoad()
	gain := cachedGain * float64(blocks) / float64(len(r.Prefix))
	for _, t := range held {
		if t.pool == pool && t.isListed && !t.barred(now, r) {
			c.offer(t, p.score(now, t, r)-bounded(t, r, bound, gain), ReasonCached)
		}
	}
	return blocks
}

// bounded returns gain unless t is loaded above bound.
func bounded(t *target, r Request, bound, gain float64) float64 {
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
		w := weight(key, t.idHash)
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
		if t == nil || t.barred(now, r) {
			continue
		}
		gain := affinityGain / float64(i+1)
		c.offer(t, p.score(now, t, r)-bounded(t, r, bound, gain), ReasonAffinity)
	}
}

func (p *Picker) offerRandom(now time.Time, pool *pool, r Request, c *choice) {
	n := len(pool.targets)
	first := p.draw(n)
	second := (first + 1 + p.draw(max(1, n-1))) % n
	for _, i := range [2]int{first, second} {
		t := pool.targets[i]
		if !t.barred(now, r) {
			c.offer(t, p.score(now, t, r), ReasonTwoChoices)
		}
	}
}

// offerShared offers the targets of which this entry has a share: few entries do, and in a
// large pool two draws at random would seldom meet them.
func (p *Picker) offerShared(now time.Time, pool *pool, r Request, c *choice) {
	if len(p.throttles) == 0 {
		return
	}
	for _, t := range pool.targets {
		if t.throttle != nil && !t.barred(now, r) {
			c.offer(t, p.score(now, t, r), ReasonTwoChoices)
		}
	}
}

func (p *Picker) offerAll(now time.Time, pool *pool, r Request, c *choice) {
	for _, t := range pool.targets {
		if c.second != nil && t.leastScore(&r) >= c.secondScore {
			continue
		}
		if !t.barred(now, r) {
			c.offer(t, p.score(now, t, r), ReasonLeastLoaded)
		}
	}
}

// probe returns a slow target that is due for a try, if there is one. A
// request of the greatest worth is spared unless no other came for a while.
func (p *Picker) probe(now time.Time, pool *pool, r Request) *target {
	if pool.reference.slow == 0 {
		return nil
	}
	due := now
	if r.Reserve == 0 {
		due = now.Add(-probeInterval)
	}
	for _, t := range pool.targets {
		if !t.pace.slow || due.Before(t.pace.probeAt) || t.barred(now, r) {
			continue
		}
		if t.hasCapacity(now, r.Tokens, r.Reserve, &p.options) {
			t.pace.probeAt = now.Add(probeInterval)
			return t
		}
	}
	return nil
}

// draw returns a number below n by SplitMix64, a generator small enough to be
// part of the state, so that a seed repeats all decisions.
func (p *Picker) draw(n int) int {
	p.random += 0x9e3779b97f4a7c15
	z := p.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) % uint64(n))
}
