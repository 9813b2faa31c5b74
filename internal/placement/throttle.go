package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharingEntries is how many entries share a backend server's limit, and one more for
	// each request a second of it. Each may be one request ahead of its share, so their
	// number bounds what they can send at once.
	sharingEntries = 5
	// leastRate is the limit, in requests a second, that one below it is taken for: the
	// end of a limit shows in answers alone.
	leastRate = 0.1
	// countedFor is how long before a limit was learned the requests of this entry count
	// against it.
	countedFor = 4 * time.Second
	// never is when a throttle opens that has no share.
	never = 24 * time.Hour
)

// throttle paces the requests of this entry to a backend server that limits its rate.
//
// Load: a backend server in need names what it takes from all entries together. Each entry
// holds to its share; if each held to the whole, the backend server would get as many times
// its limit as there are entries.
type throttle struct {
	// limit is that of all entries in requests a second, share this entry's part.
	limit, share float64
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
	p.entries = p.entries[:0]
	for _, id := range ids {
		p.entries = append(p.entries, xxhash.Sum64String(id))
	}
	for server, t := range p.throttles {
		t.share, _ = p.shareOf(server, t.limit)
	}
}

// LimitRate says how many requests a second a backend server takes from all entries
// together; nil ends the limit. It returns this entry's part.
func (p *Picker) LimitRate(now time.Time, server string, limit *float64) float64 {
	if limit == nil {
		p.setThrottle(server, nil)
		return 0
	}
	share, phase := p.shareOf(server, *limit)
	if t := p.throttles[server]; t != nil {
		t.limit, t.share = *limit, share
		return share
	}
	t := &throttle{limit: *limit, share: share, last: now}
	if share > 0 {
		interval := t.interval()
		wait := min(countedFor, interval*time.Duration(p.sentSince(server, now.Add(-countedFor))))
		wait += time.Duration(phase * float64(interval))
		t.last = now.Add(wait - interval)
	}
	p.setThrottle(server, t)
	return share
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
		pool.full.clear()
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

// shareOf returns this entry's part of a limit, in requests a second, and how far into its
// interval it begins, from 0 to 1: entries learn of a limit together, and their first
// requests must not come together.
//
// A few entries share the limit, chosen for each backend server by rendezvous hashing; the
// others have no part. With equal parts for two hundred entries, requests that come at once
// by chance would be many times the limit.
func (p *Picker) shareOf(server string, limit float64) (share, phase float64) {
	limit = max(limit, leastRate)
	key := xxhash.Sum64String(server)
	mine, rank := weight(key, p.self), 0
	for _, entry := range p.entries {
		if entry != p.self && weight(key, entry) > mine {
			rank++
		}
	}
	all := max(len(p.entries), rank+1)
	sharing := min(all, sharingEntries+int(min(limit, float64(all))))
	if rank >= sharing {
		return 0, 0
	}
	return limit / float64(sharing), float64(rank) / float64(sharing)
}

// Throttled tells whether all targets of a model that are not excluded are shut by the
// rate limits of their backend servers, and when the first of them opens.
func (p *Picker) Throttled(now time.Time, model string, exclude []string) (opens time.Time, throttled bool) {
	pool := p.pools[model]
	if pool == nil {
		return time.Time{}, false
	}
	for _, t := range pool.targets {
		if excluded(t, exclude) {
			continue
		}
		if !t.throttle.shut(now) {
			return time.Time{}, false
		}
		if at := t.throttle.opens(); opens.IsZero() || at.Before(opens) {
			opens = at
		}
	}
	return opens, !opens.IsZero()
}

// Places returns how many requests of this entry the backend servers of a model take until
// a time, if each of them limits its rate.
func (p *Picker) Places(now, until time.Time, model string) (places int, limited bool) {
	pool := p.pools[model]
	if pool == nil || len(pool.targets) == 0 {
		return 0, false
	}
	for _, t := range pool.targets {
		if t.throttle == nil {
			return 0, false
		}
		places += t.throttle.places(now, until)
	}
	return places, true
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
