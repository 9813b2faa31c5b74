package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharingEntries is how many entries share a limit that a backend server names, and
	// one more for each request a second of it. Each may be one request ahead of its
	// share, so their number bounds what they can send at once.
	sharingEntries = 5
	// leastRate is the limit, in requests a second, that one below it is taken for: the
	// end of a limit shows in answers alone.
	leastRate = 0.1
	// countedFor is how long before a limit was learned the requests of this entry count
	// against it: countedFor where a backend server names the limit, coldWindow where it
	// is cold.
	countedFor = 4 * time.Second
	coldWindow = time.Second
	// coldSharing is the part of what a cold backend server bears in a second that the
	// entries which share it may send at once, and coldMargin the part that is left for
	// entries that do not know yet.
	coldSharing = 1.0 / 3
	coldMargin  = 0.1
	// never is when a throttle opens that has no share.
	never = 24 * time.Hour
)

// Cause is why a backend server's rate is limited. One may have several limits at once;
// each holds.
type Cause int

// The causes.
const (
	// Named is a limit that the backend server itself names.
	Named Cause = iota
	// Cold is that of a backend server that has just started. It ends by itself.
	Cold
	causes
)

// RateLimit is how many requests a backend server takes from all entries together.
type RateLimit struct {
	// PerSecond is the rate that they keep to, and Sharing how many of them share it.
	PerSecond float64
	Sharing   int
	// Window is the time before in which their requests count.
	Window time.Duration
}

// NamedLimit returns the limit that a backend server names, in requests a second.
func NamedLimit(perSecond float64) RateLimit {
	perSecond = max(perSecond, leastRate)
	const many = 1 << 20
	return RateLimit{PerSecond: perSecond, Sharing: sharingEntries + int(min(perSecond, many)), Window: countedFor}
}

// ColdLimit returns the limit of a cold backend server whose service states a rate, in
// requests a second, where at most allowed requests may reach it in any second.
//
// Entries that share it, each up to one request ahead, and the rate of all together stay
// below what is allowed, with some left for entries that were not told.
func ColdLimit(perSecond, allowed float64) RateLimit {
	sharing := max(1, int(coldSharing*allowed))
	rate := min(perSecond, (1-coldMargin)*allowed-float64(sharing))
	return RateLimit{PerSecond: max(rate, leastRate), Sharing: sharing, Window: coldWindow}
}

// throttle paces the requests of this entry to a backend server that limits its rate.
//
// Load: a backend server in need, or one that has just started, takes some requests a second
// from all entries together. Each entry holds to its share; if each held to the whole, the
// backend server would get as many times its limit as there are entries.
type throttle struct {
	limits [causes]*RateLimit
	// share is this entry's part of the tightest limit, in requests a second.
	share float64
	// last is when the last request was sent, or would have been for the next one to be
	// due one interval later.
	last time.Time
}

// interval is the time between two requests of this entry.
func (t *throttle) interval() time.Duration {
	if t.share == 0 {
		return never
	}
	return time.Duration(float64(time.Second) / t.share)
}

// opens is when the next request may be sent.
func (t *throttle) opens() time.Time { return t.last.Add(t.interval()) }

// shut tells whether a request must wait or go elsewhere. A nil throttle is open.
func (t *throttle) shut(now time.Time) bool { return t != nil && now.Before(t.opens()) }

// passes tells whether the limit ends by itself within seconds.
func (t *throttle) passes() bool { return t.limits[Named] == nil }

// places returns how many requests may be sent from now until a time.
func (t *throttle) places(now, until time.Time) int {
	first := t.opens()
	if first.Before(now) {
		first = now
	}
	if until.Before(first) {
		return 0
	}
	return 1 + int(until.Sub(first)/t.interval())
}

func (t *throttle) sent(now time.Time) {
	if t != nil {
		t.last = now
	}
}

// SetEntries names the entries that send to the backend servers, this one included.
func (p *Picker) SetEntries(ids []string) {
	p.entryHashes = p.entryHashes[:0]
	for _, id := range ids {
		p.entryHashes = append(p.entryHashes, xxhash.Sum64String(id))
	}
	for server, t := range p.throttles {
		t.share, _ = p.sharesOf(server, t)
	}
}

// LimitRate puts the limit that a backend server has for a cause in force; nil ends it. It
// returns this entry's part of all its limits, in requests a second.
func (p *Picker) LimitRate(now time.Time, server string, cause Cause, limit *RateLimit) float64 {
	t, known := p.throttles[server]
	if !known {
		if limit == nil {
			return 0
		}
		t = &throttle{}
	}
	added := t.limits[cause] == nil && limit != nil
	t.limits[cause] = limit
	if t.limits == [causes]*RateLimit{} {
		p.setThrottle(server, nil)
		return 0
	}
	phase := 0.0
	t.share, phase = p.sharesOf(server, t)
	if added {
		t.last = later(t.last, p.begins(now, server, t, limit.Window, phase))
	}
	if !known {
		p.setThrottle(server, t)
	}
	return t.share
}

// begins returns the time of the last request that a limit which is new begins with: the
// entries learn of it together, and what each has sent shortly before counts.
func (p *Picker) begins(now time.Time, server string, t *throttle, window time.Duration, phase float64) time.Time {
	if t.share == 0 {
		return now
	}
	interval := t.interval()
	wait := min(window, interval*time.Duration(p.sentSince(server, now.Add(-window))))
	wait += time.Duration(phase * float64(interval))
	return now.Add(wait - interval)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (p *Picker) setThrottle(server string, t *throttle) {
	delete(p.throttles, server)
	if t != nil {
		p.throttles[server] = t
	}
	for _, target := range p.targets {
		if target.Server == server {
			target.throttle = t
		}
	}
	for _, pool := range p.pools {
		pool.misses.clear()
	}
}

// sentSince returns how many requests this entry has sent a backend server since a time.
func (p *Picker) sentSince(server string, since time.Time) int {
	sent := 0
	for _, target := range p.targets {
		if target.Server == server {
			sent += target.ledger.given(since)
		}
	}
	return sent
}

// sharesOf returns this entry's part of the tightest limit of a backend server, in requests
// a second, and how far into its interval it begins, from 0 to 1.
func (p *Picker) sharesOf(server string, t *throttle) (share, phase float64) {
	first := true
	for _, limit := range t.limits {
		if limit == nil {
			continue
		}
		if s, at := p.shareOf(server, *limit); first || s < share {
			share, phase, first = s, at, false
		}
	}
	return share, phase
}

// shareOf returns this entry's part of a limit, in requests a second, and how far into its
// interval it begins, from 0 to 1: entries learn of a limit together, and their first
// requests must not come together.
//
// A few entries share the limit, chosen for each backend server by rendezvous hashing; the
// others have no part. With equal parts for two hundred entries, requests that come at once
// by chance would be many times the limit.
func (p *Picker) shareOf(server string, limit RateLimit) (share, phase float64) {
	key := xxhash.Sum64String(server)
	mine, rank := weight(key, p.selfHash), 0
	for _, entry := range p.entryHashes {
		if entry != p.selfHash && weight(key, entry) > mine {
			rank++
		}
	}
	sharing := min(max(len(p.entryHashes), rank+1), limit.Sharing)
	if rank >= sharing {
		return 0, 0
	}
	return limit.PerSecond / float64(sharing), float64(rank) / float64(sharing)
}

// Throttled tells whether all targets that a request may go to are shut by the rate limits
// of their backend servers, and when the first of them opens. passes says that one of these
// limits ends by itself, perhaps sooner.
func (p *Picker) Throttled(now time.Time, r Request) (opens time.Time, passes, throttled bool) {
	pool := p.pools[r.Model]
	if pool == nil {
		return time.Time{}, false, false
	}
	for _, t := range pool.targets {
		if isExcluded(t, r.Exclude) || !t.isInRegions(r.Homes) {
			continue
		}
		if !t.throttle.shut(now) {
			return time.Time{}, false, false
		}
		passes = passes || t.throttle.passes()
		if at := t.throttle.opens(); opens.IsZero() || at.Before(opens) {
			opens = at
		}
	}
	return opens, passes, !opens.IsZero()
}

// Places returns how many requests of this entry the backend servers of a model, in the
// homes given, take until a time, if each of them limits its rate and none of the limits
// ends by itself.
func (p *Picker) Places(now, until time.Time, model string, homes []string) (places int, limited bool) {
	pool := p.pools[model]
	if pool == nil {
		return 0, false
	}
	for _, t := range pool.targets {
		if !t.isInRegions(homes) {
			continue
		}
		if t.throttle == nil || t.throttle.passes() {
			return 0, false
		}
		limited = true
		places += t.throttle.places(now, until)
	}
	return places, limited
}

// Shut tells whether a target's backend server may get no request of this entry now.
func (p *Picker) Shut(now time.Time, id string) bool {
	t := p.targets[id]
	return t != nil && t.throttle.shut(now)
}

// Sent notes a request to a target that Pick did not choose.
func (p *Picker) Sent(now time.Time, id string) {
	if t := p.targets[id]; t != nil {
		t.throttle.sent(now)
	}
}
