package placement

import "time"

// nextSend returns when this entry may send the target's backend server its next request, by its
// rate limits, its back-off and the distrust of it; zero if none restricts it.
func (t *target) nextSend() time.Time {
	at := t.throttle.nextSend()
	if t.backoff != nil {
		at = later(at, t.backoff.until)
	}
	if t.distrust != nil {
		at = later(at, t.distrust.nextSend())
	}
	return at
}

// isBlocked reports whether a request must wait or use another backend server.
func (t *target) isBlocked(now time.Time) bool { return now.Before(t.nextSend()) }

// mayUnblockEarly reports whether a target that is blocked may be free before nextSend: its only
// limit ends by itself.
func (t *target) mayUnblockEarly(now time.Time) bool {
	return t.throttle != nil && t.throttle.isTemporary() && !t.backoff.isInForce(now) && !t.distrust.isInForce(now)
}

// sendCapacity returns how many requests this entry may send to the target's backend server
// between now and until. limited is false if their number has no limit that is known to last. A server that is set
// aside counts for none: the next request to it is a probe, and most likely fails.
func (t *target) sendCapacity(now, until time.Time) (capacity int, limited bool) {
	freeAt := t.nextSend()
	switch {
	case t.distrust.isInForce(now):
		return 0, true
	case t.mayUnblockEarly(now):
		return 0, false
	case until.Before(freeAt):
		return 0, true
	case t.throttle == nil || t.throttle.isTemporary():
		return 0, false
	}
	first := later(now, freeAt)
	if until.Before(first) {
		return 0, true
	}
	return 1 + int(until.Sub(first)/t.throttle.interval()), true
}

// SendCapacity returns how many requests this entry may send to the backend servers of a model, in
// the given regions, from now until a time. limited is false if one of them accepts any number of
// requests in that time, or has a limit that ends by itself.
func (p *Picker) SendCapacity(now, until time.Time, model string, homes []string) (capacity int, limited bool) {
	pool := p.pools[model]
	if pool == nil {
		return 0, false
	}
	for _, t := range pool.targets {
		if !t.isInRegions(homes) {
			continue
		}
		n, isLimited := t.sendCapacity(now, until)
		if !isLimited {
			return 0, false
		}
		limited = true
		capacity += n
	}
	return capacity, limited
}

// BlockedUntil reports whether rate limits and back-offs block all targets that a request may use,
// and when the first of them may receive a request again. mayUnblockEarly is true if one of the
// limits ends by itself, perhaps sooner.
func (p *Picker) BlockedUntil(now time.Time, r Request) (nextSend time.Time, mayUnblockEarly, blocked bool) {
	pool := p.pools[r.Model]
	if pool == nil {
		return time.Time{}, false, false
	}
	for _, t := range pool.targets {
		if isExcluded(t, r.Exclude) || !t.isInRegions(r.Homes) {
			continue
		}
		if !t.isBlocked(now) {
			return time.Time{}, false, false
		}
		mayUnblockEarly = mayUnblockEarly || t.mayUnblockEarly(now)
		if at := t.nextSend(); nextSend.IsZero() || at.Before(nextSend) {
			nextSend = at
		}
	}
	return nextSend, mayUnblockEarly, !nextSend.IsZero()
}

// IsBlocked reports whether the rate limits or the back-off of a target's backend server block
// requests of this entry now.
func (p *Picker) IsBlocked(now time.Time, id string) bool {
	t := p.targets[id]
	return t != nil && t.isBlocked(now)
}
