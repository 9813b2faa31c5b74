package placement

import "time"

const (
	// initialBackoff is how long a target is avoided after one failed attempt; the time doubles
	// with each further failure.
	initialBackoff = 250 * time.Millisecond
	// maxBackoff bounds the back-off, so that targets return soon after an outage of all: the
	// objective is normal operation within 5 s.
	maxBackoff = 2 * time.Second
	// domainFailureWindow is the time within which failures in one fabric domain count as one
	// event.
	domainFailureWindow = 3 * time.Second
	// domainBackoff is how long a domain is avoided before it is tried again. If the domain is
	// lost for good, the control VMs remove its targets in the meantime.
	domainBackoff = 2 * time.Second
)

// domain is the state kept for a fabric domain of a data centre.
//
// When a fabric domain fails, a few requests would have to fail on each of its targets before
// all are avoided. Once half of the targets failed within seconds, the others are avoided
// without a try.
type domain struct {
	targets    int
	failedAt   map[string]time.Time
	avoidUntil time.Time
}

// domainKey identifies a fabric domain.
type domainKey struct {
	dataCentre, fabricDomain string
}

func (d *domain) recordFailure(now time.Time, id string) {
	for other, at := range d.failedAt {
		if now.Sub(at) > domainFailureWindow {
			delete(d.failedAt, other)
		}
	}
	d.failedAt[id] = now
	if len(d.failedAt) >= 2 && 2*len(d.failedAt) >= d.targets {
		d.avoidUntil = now.Add(domainBackoff)
	}
}

func (d *domain) recordSuccess(id string) {
	delete(d.failedAt, id)
	d.avoidUntil = time.Time{}
}

// recordFailure records a failed attempt on t.
func (t *target) recordFailure(now time.Time) {
	t.failures++
	t.avoidUntil = now.Add(min(initialBackoff<<min(t.failures-1, 8), maxBackoff))
	if !t.backoff.isInForce(now) {
		// A backend server that asks for a back-off works, so its domain is not at fault.
		t.domain.recordFailure(now, t.ID)
	}
	t.pool.detectOutage(now)
}

// recordSuccess records a complete answer of t. A target that failed several times in a row
// ramps up again, unless most of the pool failed as well. Ramps of all targets would delay the
// recovery from an outage, and a cold cache is then no reason to prefer another target.
func (t *target) recordSuccess(now time.Time) {
	if t.failures >= 2 && now.After(t.pool.outageUntil) {
		t.rampFrom = now
	}
	t.failures = 0
	t.lastProgress = now
	if len(t.domain.failedAt) > 0 {
		t.domain.recordSuccess(t.ID)
	}
}

// detectOutage records an outage if most targets of the pool are failing.
func (p *pool) detectOutage(now time.Time) {
	failing := 0
	for _, t := range p.targets {
		if t.failures > 0 {
			failing++
		}
	}
	if 2*failing > len(p.targets) {
		p.outageUntil = now.Add(defaultRampTime)
	}
}

// resetFailures clears the failures of a target that the control VMs list again.
func (t *target) resetFailures() {
	t.failures = 0
	t.avoidUntil = time.Time{}
}
