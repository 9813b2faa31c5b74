package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronstep/citronstep/internal/invariant"
)

// Picker holds what one entry knows of the backend servers.
type Picker struct {
	options Options
	targets map[string]*target
	pools   map[string]*pool
	domains map[domainKey]*domain
	running map[string]*attempt
	hints   hints
	random  uint64
	// self and entries are the hashes of this entry and of all that send to the backend
	// servers.
	self    uint64
	entries []uint64
	// throttles are by backend server. They outlive the targets that it heads.
	throttles map[string]*throttle
	// left holds targets that were taken off the list. One that returns keeps
	// its limit, its pace and the attempts that it still holds.
	left map[string]*target
}

// poolLimit bounds the pools that are kept without a target, for what they have
// learned of peers and other entries when the targets return.
const poolLimit = 1024

// leftLimit bounds Picker.left, about 6 MB. Past it all are forgotten, and
// targets that return begin as new ones.
const leftLimit = 2048

// attempt is one request in flight on a target.
type attempt struct {
	target *target
	tokens int
	long   bool
	// seen is when it last made progress; zero before the first token.
	seen time.Time
}

// New returns a Picker without targets.
func New(o Options) *Picker {
	return &Picker{
		self:      xxhash.Sum64String(o.Entry),
		throttles: make(map[string]*throttle),

		options: o.withDefaults(),
		targets: make(map[string]*target),
		pools:   make(map[string]*pool),
		domains: make(map[domainKey]*domain),
		running: make(map[string]*attempt),
		hints:   make(hints),
		random:  o.Seed,
		left:    make(map[string]*target),
	}
}

// SetTargets replaces the set of routable targets. A target that is left out
// gets nothing new at once; its attempts go on. One that comes beside others
// gets its part by the ramp.
func (p *Picker) SetTargets(now time.Time, list []Target) {
	first := len(p.targets) == 0
	for _, t := range p.targets {
		t.isListed = false
	}
	for _, o := range list {
		p.list(now, o, first)
	}
	p.removeUnlisted()
	p.rebuildPools()
	p.countDomains()
}

func (p *Picker) list(now time.Time, o Target, first bool) {
	t := p.targets[o.ID]
	if t != nil && t.Model != o.Model {
		p.hints.dropAll(t)
		delete(p.targets, o.ID)
		t = nil
	}
	if t == nil {
		t = p.returning(o)
		if !first {
			t.rampFrom = now
		}
	}
	t.restate(o)
	t.throttle = p.throttles[o.Server]
	t.isListed = true
	t.domain = p.domain(domainKey{o.DataCentre, o.FabricDomain})
}

// returning makes a target of o, or takes the one that left under its id.
//
// It is made for groups that are routable to and fro: with a new state each time
// the requests still in flight there would be forgotten, and it would draw more
// as if it were idle.
func (p *Picker) returning(o Target) *target {
	t := p.left[o.ID]
	delete(p.left, o.ID)
	if t == nil || t.Model != o.Model {
		t = newTarget(o, p.options.Ramp)
	}
	t.vouched()
	p.targets[o.ID] = t
	return t
}

func (p *Picker) domain(key domainKey) *domain {
	d := p.domains[key]
	if d == nil {
		d = &domain{failed: make(map[string]time.Time)}
		p.domains[key] = d
	}
	return d
}

func (p *Picker) removeUnlisted() {
	for id, t := range p.targets {
		if t.isListed {
			continue
		}
		p.hints.dropAll(t)
		delete(p.targets, id)
		if len(p.left) >= leftLimit {
			clear(p.left)
		}
		p.left[id] = t
	}
}

func (p *Picker) rebuildPools() {
	for _, pool := range p.pools {
		pool.targets = pool.targets[:0]
		pool.reference.slow = 0
		pool.misses.clear()
	}
	for _, t := range p.targets {
		pool := p.pools[t.Model]
		if pool == nil {
			pool = newPool(len(p.entries))
			p.pools[t.Model] = pool
		}
		t.pool = pool
		pool.targets = append(pool.targets, t)
		if t.pace.slow {
			pool.reference.slow++
		}
	}
	for model, pool := range p.pools {
		pool.sort()
		if len(pool.targets) == 0 && len(p.pools) > poolLimit {
			delete(p.pools, model)
		}
	}
}

func (p *Picker) countDomains() {
	for _, d := range p.domains {
		d.targets = 0
	}
	for _, t := range p.targets {
		t.domain.targets++
	}
	for key, d := range p.domains {
		if d.targets == 0 {
			delete(p.domains, key)
		}
	}
}

// CacheEvent takes in what target id announced about its prefix cache. The
// events are hints: they come late, and after a gap in the sequence all hints
// of the target are dropped, since a block whose removal was missed would draw
// requests to a server that must compute it again.
func (p *Picker) CacheEvent(_ time.Time, id string, sequence uint64, add, drop []uint64) {
	t := p.targets[id]
	if t == nil {
		return
	}
	if sequence != t.hints.sequence+1 {
		p.hints.dropAll(t)
	}
	t.hints.sequence = sequence
	for _, block := range add {
		p.hints.add(t, block)
	}
	for _, block := range drop {
		p.hints.drop(t, block)
	}
}

// Started notes that an attempt was sent to a target.
func (p *Picker) Started(now time.Time, attemptID, targetID string, tokens int) {
	t := p.targets[targetID]
	_, known := p.running[attemptID]
	if !invariant.Check(!known, "placement_attempt_unique", "attempt %q started twice", attemptID) || t == nil {
		return
	}
	tokens = max(1, tokens)
	a := &attempt{target: t, tokens: tokens, long: tokens >= p.options.LongTokens}
	p.running[attemptID] = a
	if a.long {
		t.pendingLongPrefills++
	}
	t.give(now, tokens)
	t.throttle.sent(now)
}

// give adds tokens of work, or takes them off if they are negative.
func (t *target) give(now time.Time, tokens int) {
	if t.own == 0 {
		t.lastProgress = now
	}
	t.own += tokens
	t.ledger.add(now, tokens)
	t.estimate(now)
}

// Progress notes that an attempt received tokens.
func (p *Picker) Progress(now time.Time, attemptID string, tokens int) {
	a := p.running[attemptID]
	if a == nil {
		return
	}
	if !a.seen.IsZero() && now.After(a.seen) {
		a.target.progress(now, tokens, now.Sub(a.seen))
	}
	if a.seen.IsZero() {
		a.computed()
		a.target.pool.misses.clear()
	}
	a.seen = now
	a.target.lastProgress = now
}

// computed notes that the prompt of a is computed, by its first token or end.
func (a *attempt) computed() {
	if a.long && a.seen.IsZero() {
		a.target.pendingLongPrefills--
	}
}

// Finished notes the end of an attempt. It must be called once for each.
func (p *Picker) Finished(now time.Time, attemptID string, r Result) {
	a := p.running[attemptID]
	if a == nil {
		return
	}
	delete(p.running, attemptID)
	t := a.target
	a.computed()
	t.give(now, -a.tokens)
	t.pool.misses.clear()
	switch {
	case r.OK:
		t.success(now)
		t.judgeWhole(now, a, r)
	case !r.Cancelled:
		t.failure(now, r.RetryAfter)
	}
}

// judgeWhole judges the pace of an attempt that gave its answer at once, as
// plain services do.
func (t *target) judgeWhole(now time.Time, a *attempt, r Result) {
	if a.seen.IsZero() && r.Took > 0 {
		t.judge(now, float64(a.tokens)/r.Took.Seconds())
	}
}
