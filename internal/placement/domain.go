package placement

import "time"

const (
	// firstBackoff is how long a target is avoided after one failed attempt;
	// it doubles with each further one.
	firstBackoff = 250 * time.Millisecond
	// maxBackoff bounds it, so that targets return soon after an outage of
	// all: the aim is to be back to normal within 5 s.
	maxBackoff = 2 * time.Second
	// domainWindow is within which failures in one fabric domain count as one
	// event.
	domainWindow = 3 * time.Second
	// domainBackoff is how long a domain is avoided before it is tried again.
	// The control VMs remove its targets meanwhile if it is gone for good.
	domainBackoff = 2 * time.Second
)

// domain is a fabric domain of a data centre.
//
// When one goes dark, each of its targets would have to fail a few requests
// before it is avoided. After half of them failed within seconds the others
// are avoided without a try.
type domain struct {
	targets    int
	failed     map[string]time.Time
	avoidUntil time.Time
}

// domainKey names a fabric domain.
type domainKey struct {
	dataCentre, fabricDomain string
}

func (d *domain) failure(now time.Time, id string) {
	for other, at := range d.failed {
		if now.Sub(at) > domainWindow {
			delete(d.failed, other)
		}
	}
	d.failed[id] = now
	if len(d.failed) >= 2 && 2*len(d.failed) >= d.targets {
		d.avoidUntil = now.Add(domainBackoff)
	}
}

func (d *domain) success(id string) {
	delete(d.failed, id)
	d.avoidUntil = time.Time{}
}

// maxRetryAfter bounds how long a backend server is left alone at its own word.
const maxRetryAfter = 10 * time.Second

// failure notes a failed attempt on t, whose backend server asked to be left alone for a
// while, or 0.
func (t *target) failure(now time.Time, retryAfter time.Duration) {
	t.failures++
	backoff := min(firstBackoff<<min(t.failures-1, 8), maxBackoff)
	t.avoidUntil = now.Add(max(backoff, min(retryAfter, maxRetryAfter)))
	t.domain.failure(now, t.ID)
	t.pool.failure(now)
}

// success notes a whole answer of t. A target that failed several times in a
// row returns by the ramp, unless most of the pool failed as well: ramps of all
// would hold back the recovery from an outage, and a cold cache is then no reason
// to prefer another.
func (t *target) success(now time.Time) {
	if t.failures >= 2 && now.After(t.pool.outageUntil) {
		t.rampFrom = now
	}
	t.failures = 0
	t.lastProgress = now
	if len(t.domain.failed) > 0 {
		t.domain.success(t.ID)
	}
}

// failure notes whether most of the pool fails.
func (p *pool) failure(now time.Time) {
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

// vouched forgets the failures of a target that the control VMs list anew.
func (t *target) vouched() {
	t.failures = 0
	t.avoidUntil = time.Time{}
}
