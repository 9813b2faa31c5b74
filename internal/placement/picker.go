package placement

import (
	"time"

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
	// learned holds the limits of targets that were taken off the list.
	learned map[Target]float64
}

// learnedLimit bounds Picker.learned. Past it all are forgotten, and targets
// that return begin at their stated capacity.
const learnedLimit = 2048

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
		options: o.withDefaults(),
		targets: make(map[string]*target),
		pools:   make(map[string]*pool),
		domains: make(map[domainKey]*domain),
		running: make(map[string]*attempt),
		hints:   make(hints),
		random:  o.Seed,
		learned: make(map[Target]float64),
	}
}

// SetTargets replaces the set of routable targets. A target that is left out
// gets nothing new at once; its attempts go on. One that comes beside others
// gets its part by the ramp.
func (p *Picker) SetTargets(now time.Time, list []Target) {
	first := len(p.targets) == 0
	for _, t := range p.targets {
		t.listed = false
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
	if t == nil || t.Model != o.Model {
		t = p.replaceTarget(t, o)
		if !first {
			t.rampFrom = now
		}
	}
	if t.Capacity != o.Capacity {
		t.limit = startLimit(o.Capacity)
	}
	t.Target = o
	t.listed = true
	t.domain = p.domain(domainKey{o.DataCentre, o.FabricDomain})
}

// replaceTarget makes the state for o. Attempts of the old state, if there is
// one, still end on the old state.
func (p *Picker) replaceTarget(old *target, o Target) *target {
	if old != nil {
		p.hints.dropAll(old)
	}
	t := newTarget(o)
	if limit, ok := p.learned[o]; ok {
		t.limit = limit
		delete(p.learned, o)
	}
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
		if t.listed {
			continue
		}
		p.hints.dropAll(t)
		delete(p.targets, id)
		if len(p.learned) >= learnedLimit {
			clear(p.learned)
		}
		p.learned[t.Target] = t.limit
	}
}

func (p *Picker) rebuildPools() {
	for _, pool := range p.pools {
		pool.targets = pool.targets[:0]
		pool.reference.slow = 0
		pool.full.clear()
	}
	for _, t := range p.targets {
		pool := p.pools[t.Model]
		if pool == nil {
			pool = newPool()
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
		if len(pool.targets) == 0 {
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
		t.pendingLong++
	}
	t.give(now, tokens)
}

// give adds tokens of work, or takes them off if they are negative.
func (t *target) give(now time.Time, tokens int) {
	if t.mine == 0 {
		t.progressAt = now
	}
	t.mine += tokens
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
		a.target.pool.full.clear()
	}
	a.seen = now
	a.target.progressAt = now
}

// computed notes that the prompt of a is computed, by its first token or end.
func (a *attempt) computed() {
	if a.long && a.seen.IsZero() {
		a.target.pendingLong--
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
	t.pool.full.clear()
	switch {
	case r.OK:
		t.success(now)
		t.judgeWhole(now, a, r)
	case !r.Cancelled:
		t.failure(now)
	}
}

// judgeWhole judges the pace of an attempt that gave its answer at once, as
// plain services do.
func (t *target) judgeWhole(now time.Time, a *attempt, r Result) {
	if a.seen.IsZero() && r.Took > 0 {
		t.judge(now, float64(a.tokens)/r.Took.Seconds())
	}
}
