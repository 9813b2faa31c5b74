package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronstep/citronstep/internal/invariant"
	"github.com/citronstep/citronstep/internal/placement/firstevent"
)

// Picker holds the state that one entry keeps of the backend servers.
type Picker struct {
	options  Options
	targets  map[string]*target
	pools    map[string]*pool
	domains  map[domainKey]*domain
	attempts map[string]*attempt
	hints    hints
	random   uint64
	// selfHash is the hash of this entry's id; entryHashes are the hashes of all entries that
	// send to the backend servers, this one included.
	selfHash    uint64
	entryHashes []uint64
	// throttles are keyed by backend server. They outlive the targets that a backend server
	// heads.
	throttles map[string]*throttle
	// backoffs are keyed by backend server and outlive the targets that it heads.
	backoffs map[string]*backoff
	// distrusts are keyed by backend server and outlive the targets that it heads.
	distrusts map[string]*distrust
	// figures are the published figures of engines by model.
	figures map[string]firstevent.Figures
	// unlisted holds targets that SetTargets removed. A target that returns keeps its limit,
	// its pace and its attempts in flight.
	unlisted map[string]*target
}

// maxPools bounds the number of pools. Pools without targets are kept up to it, because they
// hold what was learned of peers and of other entries when the targets return.
const maxPools = 1024

// maxUnlisted bounds Picker.unlisted, to about 6 MB. When it is reached, all entries of the map
// are dropped, and targets that return begin as new ones.
const maxUnlisted = 2048

// attempt is one request in flight on a target.
type attempt struct {
	target *target
	tokens int
	isLong bool
	// predicted is the time to the first event that was expected at the start; 0 if unknown.
	predicted time.Duration
	// lastProgress is when the attempt last made progress; zero before the first token.
	lastProgress time.Time
}

// New returns a Picker without targets.
func New(o Options) *Picker {
	return &Picker{
		selfHash:  xxhash.Sum64String(o.Entry),
		throttles: make(map[string]*throttle),
		backoffs:  make(map[string]*backoff),
		distrusts: make(map[string]*distrust),

		options:  o.withDefaults(),
		targets:  make(map[string]*target),
		pools:    make(map[string]*pool),
		domains:  make(map[domainKey]*domain),
		attempts: make(map[string]*attempt),
		hints:    make(hints),
		random:   o.Seed,
		unlisted: make(map[string]*target),
	}
}

// SetTargets replaces the set of routable targets. A target that is no longer listed gets no
// new requests; its attempts in flight continue. A target that joins others ramps up.
func (p *Picker) SetTargets(now time.Time, list []Target) {
	isInitial := len(p.targets) == 0
	for _, t := range p.targets {
		t.isListed = false
	}
	for _, o := range list {
		p.listTarget(now, o, isInitial)
	}
	p.removeUnlisted()
	p.rebuildPools()
	p.countDomains()
}

func (p *Picker) listTarget(now time.Time, o Target, isInitial bool) {
	t := p.targets[o.ID]
	if t != nil && t.Model != o.Model {
		p.hints.dropAll(t)
		delete(p.targets, o.ID)
		t = nil
	}
	if t == nil {
		t = p.restoreOrCreate(o)
		if !isInitial {
			t.rampFrom = now
		}
	}
	t.updateDescription(o)
	if p.options.SoleSender {
		t.limit = o.startLimit()
	}
	t.throttle = p.throttles[o.Server]
	t.backoff = p.backoffs[o.Server]
	t.distrust = p.distrusts[o.Server]
	t.isListed = true
	t.domain = p.domain(domainKey{o.DataCentre, o.FabricDomain})
}

// restoreOrCreate returns the unlisted target with the id of o, or a new one.
//
// Serving groups may become routable and unroutable repeatedly. With a new state each time, the
// requests still in flight on the group would be forgotten, and the group would draw more as if
// it were idle.
func (p *Picker) restoreOrCreate(o Target) *target {
	t := p.unlisted[o.ID]
	delete(p.unlisted, o.ID)
	if t == nil || t.Model != o.Model {
		t = newTarget(o, p.options.Ramp)
	}
	t.resetFailures()
	p.targets[o.ID] = t
	return t
}

func (p *Picker) domain(key domainKey) *domain {
	d := p.domains[key]
	if d == nil {
		d = &domain{failedAt: make(map[string]time.Time)}
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
		if len(p.unlisted) >= maxUnlisted {
			clear(p.unlisted)
		}
		p.unlisted[id] = t
	}
}

func (p *Picker) rebuildPools() {
	for _, pool := range p.pools {
		pool.targets = pool.targets[:0]
		pool.reference.slowCount = 0
		pool.misses.clear()
		pool.occupancy.entries = len(p.entryHashes)
		pool.occupancy.own = 0
	}
	for _, t := range p.targets {
		pool := p.pools[t.Model]
		if pool == nil {
			pool = newPool(len(p.entryHashes))
			pool.soleSender, pool.usualTime = p.options.SoleSender, p.options.UsualTime
			pool.occupancy.setFigures(p.figures[t.Model])
			p.pools[t.Model] = pool
		}
		t.pool = pool
		pool.occupancy.own += t.ownRequests
		pool.targets = append(pool.targets, t)
		if t.pace.isSlow {
			pool.reference.slowCount++
		}
	}
	for model, pool := range p.pools {
		pool.sort()
		if len(pool.targets) == 0 && len(p.pools) > maxPools {
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

// CacheEvent applies a change that target id announced in its prefix cache. Events are hints
// and arrive late. After a gap in the sequence all hints of the target are dropped: a block
// whose removal was missed would draw requests to a server that has to compute it again.
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

// RecordStart records that an attempt was sent to a target.
func (p *Picker) RecordStart(now time.Time, attemptID, targetID string, tokens int) {
	t := p.targets[targetID]
	_, known := p.attempts[attemptID]
	if !invariant.Check(!known, "placement_attempt_unique", "attempt %q started twice", attemptID) || t == nil {
		return
	}
	tokens = max(1, tokens)
	a := &attempt{target: t, tokens: tokens, isLong: tokens >= p.options.LongTokens}
	a.predicted = t.predict(now)
	p.attempts[attemptID] = a
	if a.isLong {
		t.pendingLongPrefills++
	}
	t.addWork(now, tokens, 1)
	t.throttle.recordSend(now)
	p.recordSend(now, t)
}

// addWork adds requests and tokens of work in flight; negative numbers remove them.
func (t *target) addWork(now time.Time, tokens, requests int) {
	if t.own == 0 {
		t.lastProgress = now
	}
	t.own += tokens
	t.ownRequests += requests
	if t.isListed {
		t.pool.occupancy.own += requests
	}
	t.ledger.add(now, tokens)
	t.estimate(now)
}

// RecordProgress records that an attempt received tokens.
func (p *Picker) RecordProgress(now time.Time, attemptID string, tokens int) {
	a := p.attempts[attemptID]
	if a == nil {
		return
	}
	if !a.lastProgress.IsZero() && now.After(a.lastProgress) {
		a.target.recordProgress(now, tokens, now.Sub(a.lastProgress))
	}
	if a.lastProgress.IsZero() {
		a.endPrefill()
		a.target.pool.misses.clear()
	}
	a.lastProgress = now
	a.target.lastProgress = now
}

// endPrefill records that the prompt of a has been computed, shown by its first token or its
// end.
func (a *attempt) endPrefill() {
	if a.isLong && a.lastProgress.IsZero() {
		a.target.pendingLongPrefills--
	}
}

// RecordFinish records the end of an attempt. Call it once for each attempt. It returns true with a change of the
// trust in the attempt's backend server.
func (p *Picker) RecordFinish(now time.Time, attemptID string, r Result) (TrustChange, bool) {
	a := p.attempts[attemptID]
	if a == nil {
		return TrustChange{}, false
	}
	delete(p.attempts, attemptID)
	t := a.target
	a.endPrefill()
	t.addWork(now, -a.tokens, -1)
	t.pool.misses.clear()
	switch {
	case r.OK:
		t.recordSuccess(now)
		t.judgeUnstreamed(now, a, r)
		return p.recordReadable(t)
	case !r.Cancelled:
		t.recordFailure(now)
	}
	if r.Unreadable != "" {
		return p.recordUnreadable(now, t, r.Unreadable)
	}
	return TrustChange{}, false
}

// judgeUnstreamed judges the pace of an attempt whose answer arrived at once, as those of plain
// services do.
func (t *target) judgeUnstreamed(now time.Time, a *attempt, r Result) {
	if a.lastProgress.IsZero() && r.Duration > 0 {
		t.judgePace(now, float64(a.tokens)/r.Duration.Seconds())
	}
}
