package placement

import (
	"slices"
	"time"
)

const (
	// unreadableLimit is how many different requests in a row must get an unreadable answer from a backend server
	// for it to be set aside. One request alone may ask a sound server for too much.
	unreadableLimit = 3
	// unreadableWindow is how long such an answer counts.
	unreadableWindow = time.Minute
	// initialDistrust is for how long a backend server is set aside at first; the time doubles with each probe
	// that gets an unreadable answer, up to maxDistrust.
	initialDistrust = 4 * time.Second
	maxDistrust     = time.Minute
	// maxLoneDistrust is the longest such time while all others of the pool are set aside too, or there is none.
	maxLoneDistrust = 2 * time.Second
	// distrustProbeInterval is the least time between the first two probes whose results are not known yet. While
	// another server of the pool is trusted, it doubles with each further one, up to maxDistrust.
	distrustProbeInterval = time.Second
)

// distrust is the record of the unreadable answers of a backend server: bytes that follow no protocol, exceed a
// limit or do not end.
//
// Load: a backend server that is sound by its heartbeats answers each request with bytes without end. Harm: each
// attempt there costs memory and time, and the requests that may run once are lost.
type distrust struct {
	// requests are the requests that got an unreadable answer since the last complete one, at most
	// unreadableLimit; lastAt is the time of the last.
	requests []string
	lastAt   time.Time
	// rounds is how often the server was set aside since its last complete answer.
	rounds int
	// until is when it may get a request again, nextProbe when the next while the results of others are not known.
	until, nextProbe time.Time
	// probes counts the requests since until.
	probes int
}

// TrustChange is what an answer changed about a backend server.
type TrustChange struct {
	Server string
	// SetAside is for how long the server gets no request; 0 if it gets requests again.
	SetAside time.Duration
}

// isInForce reports whether the backend server is set aside. A nil distrust is not in force.
func (d *distrust) isInForce(now time.Time) bool { return d != nil && now.Before(d.nextSend()) }

// nextSend returns when the backend server may get its next request.
func (d *distrust) nextSend() time.Time { return later(d.until, d.nextProbe) }

// recordSend records a request to a target. It is a probe if its backend server was set aside.
//
// Load: a server's answers trickle until the deadlines of their requests, half a minute away. Harm: each probe until
// the first one's end is lost as well.
func (p *Picker) recordSend(now time.Time, t *target) {
	d := t.distrust
	if d == nil || d.rounds == 0 {
		return
	}
	wait := distrustProbeInterval
	if t.pool.hasTrustedBeside(t) {
		wait = min(wait<<min(d.probes, 8), maxDistrust)
	}
	d.probes++
	d.nextProbe = later(d.nextProbe, now.Add(wait))
}

// recordUnreadable records an unreadable answer to a request and returns for how long the server is set aside by
// it; 0 if it is not.
func (d *distrust) recordUnreadable(now time.Time, request string, longest time.Duration) time.Duration {
	if now.Sub(d.lastAt) > unreadableWindow {
		d.requests = nil
	}
	d.lastAt = now
	if !slices.Contains(d.requests, request) && len(d.requests) < unreadableLimit {
		d.requests = append(d.requests, request)
	}
	if d.rounds == 0 && len(d.requests) < unreadableLimit {
		return 0
	}
	wait := min(initialDistrust<<min(d.rounds, 8), longest)
	d.rounds++
	d.until, d.nextProbe, d.probes = now.Add(wait), time.Time{}, 0
	return wait
}

// recordUnreadable records an unreadable answer of t to a request.
func (p *Picker) recordUnreadable(now time.Time, t *target, request string) (TrustChange, bool) {
	if t.Server == "" {
		return TrustChange{}, false
	}
	d := p.distrusts[t.Server]
	if d == nil {
		d = &distrust{}
		p.setDistrust(t.Server, d)
	}
	if now.Before(d.until) {
		// The answer to a request that was sent before says nothing more.
		return TrustChange{}, false
	}
	longest := maxDistrust
	if !t.pool.hasTrustedBeside(t) {
		longest = maxLoneDistrust
	}
	wait := d.recordUnreadable(now, request, longest)
	return TrustChange{Server: t.Server, SetAside: wait}, wait > 0
}

// recordReadable ends the distrust of t's backend server, as it has given a complete answer.
func (p *Picker) recordReadable(t *target) (TrustChange, bool) {
	d := p.distrusts[t.Server]
	if d == nil {
		return TrustChange{}, false
	}
	p.setDistrust(t.Server, nil)
	return TrustChange{Server: t.Server}, d.rounds > 0
}

func (p *Picker) setDistrust(server string, d *distrust) {
	delete(p.distrusts, server)
	if d != nil {
		p.removeOldDistrusts(d)
		p.distrusts[server] = d
	}
	for _, t := range p.targets {
		if t.Server == server {
			t.distrust = d
		}
	}
	for _, pool := range p.pools {
		pool.misses.clear()
	}
}

// maxDistrusts bounds the number of backend servers whose unreadable answers are recorded. Past it, those without
// a target are forgotten: each start of a server is a new one.
const maxDistrusts = 256

func (p *Picker) removeOldDistrusts(keep *distrust) {
	if len(p.distrusts) < maxDistrusts {
		return
	}
	used := make(map[string]bool, len(p.targets))
	for _, t := range p.targets {
		used[t.Server] = true
	}
	for server, d := range p.distrusts {
		if d != keep && !used[server] {
			delete(p.distrusts, server)
		}
	}
}

// hasTrustedBeside reports whether the pool has a target besides t that is not set aside.
func (p *pool) hasTrustedBeside(t *target) bool {
	return slices.ContainsFunc(p.targets, func(o *target) bool {
		return o != t && (o.distrust == nil || o.distrust.rounds == 0)
	})
}

// IsDistrusted reports whether a backend server of a model, in the given regions, is set aside now.
func (p *Picker) IsDistrusted(now time.Time, model string, homes []string) bool {
	pool := p.pools[model]
	return pool != nil && slices.ContainsFunc(pool.targets, func(t *target) bool {
		return t.isInRegions(homes) && t.distrust.isInForce(now)
	})
}
