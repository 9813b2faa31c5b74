package entry

import (
	"time"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// recordBackoff records that a backend server asked this entry not to send it any request until
// a time. It reports whether that is later than it asked before.
func (d *dispatcher) recordBackoff(now time.Time, incarnation string, until time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.RecordBackoff(now, incarnation, until)
}

// isBackedOff reports whether a backend server has asked this entry not to send it any request
// now.
func (d *dispatcher) isBackedOff(now time.Time, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.IsBackedOff(now, incarnation)
}

// backoffCount returns how many backend servers have asked this entry not to send them any
// request now.
func (d *dispatcher) backoffCount(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.BackoffCount(now)
}

// isBlocked reports whether rate limits or a back-off block requests of this entry to a target.
func (d *dispatcher) isBlocked(now time.Time, target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.IsBlocked(now, target)
}

// targetSearch is the result of one search for the target of a further attempt.
type targetSearch struct {
	grant grant
	found bool
	// refusal is set if no target becomes free while the job can wait.
	refusal *failure.Error
	// freeAt is when the first blocked target becomes free; zero unless all are blocked.
	freeAt time.Time
	// changed is closed when the routes change.
	changed <-chan struct{}
}

// nextTarget picks a target for a further attempt of a running job. If there is none it waits
// until the given time, as groups fail over within seconds and blocked targets become free again.
// It refuses at once if all targets are blocked for longer than the job can wait.
func (d *dispatcher) nextTarget(j *job, until time.Time) (grant, *failure.Error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		found := d.searchTarget(time.Now(), j, until)
		if found.found || found.refusal != nil {
			return found.grant, found.refusal
		}
		var free <-chan time.Time
		if !found.freeAt.IsZero() {
			free = time.After(time.Until(found.freeAt))
		}
		select {
		case <-free:
		case <-found.changed:
		case <-timer.C:
			return grant{}, noBackendServer()
		case <-j.ctx.Done():
			return grant{}, noBackendServer()
		}
	}
}

// searchTarget searches a target for a further attempt of a job that can wait until a time.
func (d *dispatcher) searchTarget(now time.Time, j *job, until time.Time) targetSearch {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g, ok := d.pickTarget(now, j); ok {
		return targetSearch{grant: g, found: true}
	}
	freeAt, mayUnblockEarly, blocked := d.picker.BlockedUntil(now, j.placementRequest(j.reserve))
	if !blocked {
		// A target that has failed this request may have recovered.
		j.tried = nil
		freeAt, mayUnblockEarly, blocked = d.picker.BlockedUntil(now, j.placementRequest(j.reserve))
	}
	if blocked && !mayUnblockEarly && freeAt.After(earlier(until, j.placeBy(now))) {
		return targetSearch{refusal: d.blockedRefusal(now, j)}
	}
	return targetSearch{freeAt: freeAt, changed: d.changed}
}

// blockedRefusal refuses a job whose targets are all blocked for longer than it can wait. The
// caller holds the lock.
func (d *dispatcher) blockedRefusal(now time.Time, j *job) *failure.Error {
	switch {
	case d.picker.HasBackoff(now, j.model, j.homes):
		return backoffRefusal(d.blockedWait(now, j))
	case d.picker.IsDistrusted(now, j.model, j.homes):
		return setAsideRefusal(d.blockedWait(now, j))
	}
	return rateLimitRefusal()
}

// blockedWait returns how long a caller should wait until one of the job's targets is free; 0 if
// one is free now. The caller holds the lock.
func (d *dispatcher) blockedWait(now time.Time, j *job) time.Duration {
	freeAt, _, blocked := d.picker.BlockedUntil(now, placement.Request{Model: j.model, Homes: j.homes})
	if !blocked {
		return 0
	}
	wait := min(freeAt.Sub(now), maxBlockedRetryAfter)
	return wait + time.Duration(blockedRetryJitter*hashFraction(j.id)*float64(wait))
}

// retryAfter returns when the caller of a job without a further attempt should come back.
func (d *dispatcher) retryAfter(j *job) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.picker.HasBackoff(now, j.model, j.homes) && !d.picker.IsDistrusted(now, j.model, j.homes) {
		return failedRetryAfter
	}
	return max(failedRetryAfter, d.blockedWait(now, j))
}

// noteIsolated records a request that was sent to a target in isolation.
func (d *dispatcher) noteIsolated(now time.Time, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.RecordSend(now, target)
}

// leastBusy returns the target of a pool that reports the fewest requests, among those that lie
// in homes and are not blocked.
func (d *dispatcher) leastBusy(pool string, homes []string) (route, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	best, found := route{}, false
	for _, r := range d.routes {
		if r.pool != pool || !allowsRegion(homes, r.region) || d.picker.IsBlocked(now, r.target) {
			continue
		}
		if !found || r.requestCount < best.requestCount || (r.requestCount == best.requestCount && r.target < best.target) {
			best, found = r, true
		}
	}
	return best, found
}

// busyTargetCount returns how many targets of a pool are estimated to have requests in flight, at least one.
func (d *dispatcher) busyTargetCount(pool string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for id, r := range d.routes {
		if r.pool != pool {
			continue
		}
		if load, _ := d.picker.Estimate(id); load > 0 {
			n++
		}
	}
	return max(1, n)
}
