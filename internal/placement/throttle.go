package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// baseSharingEntries is how many entries share a limit that a backend server names; one
	// more shares it for each request a second of the limit. Each entry may be one request
	// ahead of its share, so the number of sharing entries bounds the burst that they can send
	// at once.
	baseSharingEntries = 5
	// minRate is the smallest limit, in requests a second; a lower limit is raised to it. Only
	// an answer shows that a limit has ended, so some requests must be sent.
	minRate = 0.1
	// namedWindow and coldWindow are how far back this entry's requests count against a new
	// limit: namedWindow for a limit that a backend server names, coldWindow for a cold backend
	// server.
	namedWindow = 4 * time.Second
	coldWindow  = time.Second
	// coldSharingFraction is the fraction of the requests that a cold backend server accepts in
	// a second which the sharing entries may send at once. coldMarginFraction is the fraction
	// left for entries that do not know of the limit yet.
	coldSharingFraction = 1.0 / 3
	coldMarginFraction  = 0.1
	// noShareInterval is the time between two requests of an entry without a share.
	noShareInterval = 24 * time.Hour
)

// Cause is why a backend server's rate is limited. A backend server may have several limits at
// once; all of them apply.
type Cause int

// The causes.
const (
	// CauseNamed is the cause of a limit that the backend server itself names.
	CauseNamed Cause = iota
	// CauseCold is the cause of a limit on a backend server that has just started and is within its
	// slow-start period. This limit ends by itself.
	CauseCold
	causeCount
)

// RateLimit is how many requests a backend server accepts from all entries together.
type RateLimit struct {
	// PerSecond is the total rate, in requests a second. SharingEntries is how many entries share it.
	PerSecond      float64
	SharingEntries int
	// Window is how far back requests count against the limit when it is put in force.
	Window time.Duration
}

// NamedLimit returns the limit for a rate that a backend server names, in requests a second.
func NamedLimit(perSecond float64) RateLimit {
	perSecond = max(perSecond, minRate)
	const maxExtraSharing = 1 << 20
	return RateLimit{PerSecond: perSecond, SharingEntries: baseSharingEntries + int(min(perSecond, maxExtraSharing)), Window: namedWindow}
}

// ColdLimit returns the limit of a cold backend server. perSecond is the rate that its service
// states; allowed is the most requests that may reach it in any one second.
//
// The rate of all sharing entries, plus one request ahead for each of them, stays below
// allowed. The remainder is for entries that have not received the limit yet.
func ColdLimit(perSecond, allowed float64) RateLimit {
	sharing := max(1, int(coldSharingFraction*allowed))
	rate := min(perSecond, (1-coldMarginFraction)*allowed-float64(sharing))
	return RateLimit{PerSecond: max(rate, minRate), SharingEntries: sharing, Window: coldWindow}
}

// throttle paces the requests of this entry to a backend server that limits its rate.
//
// An overloaded or newly started backend server accepts some requests a second from all entries
// together. Each entry keeps to its share of the limit. If each entry used the full limit, the
// backend server would receive a multiple of it, by the number of entries.
type throttle struct {
	limits [causeCount]*RateLimit
	// share is this entry's share of the tightest limit, in requests a second; 0 if the entry
	// has no share.
	share float64
	// lastSend is when the last request was sent. For a new limit it is set so that the next
	// request is due one interval later.
	lastSend time.Time
}

// interval returns the time between two requests of this entry.
func (t *throttle) interval() time.Duration {
	if t.share == 0 {
		return noShareInterval
	}
	return time.Duration(float64(time.Second) / t.share)
}

// nextSend returns when the next request may be sent; zero for a nil throttle.
func (t *throttle) nextSend() time.Time {
	if t == nil {
		return time.Time{}
	}
	return t.lastSend.Add(t.interval())
}

// isTemporary reports whether the limit ends by itself within seconds.
func (t *throttle) isTemporary() bool { return t.limits[CauseNamed] == nil }

func (t *throttle) recordSend(now time.Time) {
	if t != nil {
		t.lastSend = now
	}
}

// SetEntries sets the ids of the entries that send to the backend servers, this one included.
func (p *Picker) SetEntries(ids []string) {
	p.entryHashes = p.entryHashes[:0]
	for _, id := range ids {
		p.entryHashes = append(p.entryHashes, xxhash.Sum64String(id))
	}
	for server, t := range p.throttles {
		t.share, _ = p.tightestShare(server, t)
	}
}

// SetRateLimit sets the limit of a backend server for a cause; nil removes it. It returns this
// entry's share of the tightest limit, in requests a second; 0 means no limit or no share.
func (p *Picker) SetRateLimit(now time.Time, server string, cause Cause, limit *RateLimit) float64 {
	t, known := p.throttles[server]
	if !known {
		if limit == nil {
			return 0
		}
		t = &throttle{}
	}
	added := t.limits[cause] == nil && limit != nil
	t.limits[cause] = limit
	if t.limits == [causeCount]*RateLimit{} {
		p.setThrottle(server, nil)
		return 0
	}
	phase := 0.0
	t.share, phase = p.tightestShare(server, t)
	if added {
		t.lastSend = later(t.lastSend, p.initialLastSend(now, server, t, limit.Window, phase))
	}
	if !known {
		p.setThrottle(server, t)
	}
	return t.share
}

// initialLastSend returns the lastSend with which a new limit begins. Entries learn of the
// limit together, so phase staggers their first requests, and requests that this entry sent
// within the window count against its share.
func (p *Picker) initialLastSend(now time.Time, server string, t *throttle, window time.Duration, phase float64) time.Time {
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

// sentSince returns how many requests this entry has sent to a backend server since a time.
func (p *Picker) sentSince(server string, since time.Time) int {
	sent := 0
	for _, target := range p.targets {
		if target.Server == server {
			sent += target.ledger.additionsSince(since)
		}
	}
	return sent
}

// tightestShare returns this entry's share of the tightest limit of a backend server, in
// requests a second, and its phase within the interval, from 0 to 1.
func (p *Picker) tightestShare(server string, t *throttle) (share, phase float64) {
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

// shareOf returns this entry's share of a limit, in requests a second, and its phase within the
// interval, from 0 to 1. Entries learn of a limit together, and the phase keeps their first
// requests from arriving together.
//
// Only a few entries share a limit, chosen for each backend server by rendezvous hashing; the
// others get no share. If two hundred entries had equal shares, requests that arrive by chance
// at the same moment would exceed the limit many times over.
func (p *Picker) shareOf(server string, limit RateLimit) (share, phase float64) {
	key := xxhash.Sum64String(server)
	ownWeight, rank := rendezvousWeight(key, p.selfHash), 0
	for _, entry := range p.entryHashes {
		if entry != p.selfHash && rendezvousWeight(key, entry) > ownWeight {
			rank++
		}
	}
	sharing := min(max(len(p.entryHashes), rank+1), limit.SharingEntries)
	if rank >= sharing {
		return 0, 0
	}
	return limit.PerSecond / float64(sharing), float64(rank) / float64(sharing)
}

// RecordSend records a request to a target that Pick did not choose.
func (p *Picker) RecordSend(now time.Time, id string) {
	if t := p.targets[id]; t != nil {
		t.throttle.recordSend(now)
		p.recordSend(now, t)
	}
}
