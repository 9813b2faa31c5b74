package placement

import "time"

const (
	// paceBuckets divides the load of a target, as a part of its limit, for
	// comparing it only with peers at a like load.
	paceBuckets = 8
	// paceWindow is the time of progress, summed over attempts, that makes one
	// sample: several tokens of each attempt, so that pauses of single tokens
	// average out.
	paceWindow = time.Second
	// paceWeight is the weight of a sample: a server that turns four times
	// slower is found after three.
	paceWeight = 0.25
	// paceSamples is how many samples are needed before judging.
	paceSamples = 3
	// referenceSamples is how many samples of peers a bucket needs.
	referenceSamples = 8
	// referenceStep is the relative step by which the median is followed.
	referenceStep = 0.02
	// slowBelow and steadyAbove are the speed against the peers at which a
	// target becomes slow and ceases to be; the gap keeps it from changing to
	// and fro.
	slowBelow   = 0.6
	steadyAbove = 0.8
	// leastSpeed keeps a slow target from being given nothing at all.
	leastSpeed = 0.05
	// slowestPart is the part of a pool that may be slow. More are not slow
	// servers but a common cause, and avoiding them would crowd the rest.
	slowestPart = 1.0 / 3
	// probeInterval is how often a slow target gets one request to show that
	// it is well again.
	probeInterval = 5 * time.Second
)

// pace follows how fast one target makes progress on each request.
//
// A loaded server and a slow one look alike to their callers. They are told
// apart by comparing with peers at the same load: a loaded server is as fast
// as they are, a slow one isn't.
type pace struct {
	seconds  float64
	tokens   int
	relative float64
	samples  int
	slow     bool
	probeAt  time.Time
}

// speed is the part of its limit that a slow target is given.
func (c *pace) speed() float64 {
	if !c.slow {
		return 1
	}
	return max(c.relative, leastSpeed)
}

// bucket holds the running median of the pool's pace at one load.
type bucket struct {
	median  float64
	samples int
}

// reference is the pace of a pool by load.
type reference struct {
	buckets [paceBuckets]bucket
	slow    int
}

func bucketOf(t *target) int {
	part := t.load / max(t.limit, 1)
	return min(max(int(part*paceBuckets), 0), paceBuckets-1)
}

// against returns the pace to compare with at load bucket i: that of peers
// with as much load or more, since they are slowed at least as much.
func (r *reference) against(i int) (float64, bool) {
	for ; i < paceBuckets; i++ {
		if r.buckets[i].samples >= referenceSamples {
			return r.buckets[i].median, true
		}
	}
	return 0, false
}

func (r *reference) observe(i int, sample float64) {
	b := &r.buckets[i]
	b.samples++
	switch {
	case b.median == 0:
		b.median = sample
	case sample > b.median:
		b.median *= 1 + referenceStep
	case sample < b.median:
		b.median *= 1 - referenceStep
	}
}

// progress notes that an attempt on t generated tokens within elapsed.
func (t *target) progress(now time.Time, tokens int, elapsed time.Duration) {
	c := &t.pace
	c.seconds += elapsed.Seconds()
	c.tokens += tokens
	if c.seconds < paceWindow.Seconds() {
		return
	}
	sample := float64(c.tokens) / c.seconds
	c.seconds, c.tokens = 0, 0
	t.judge(now, sample)
}

func (t *target) judge(now time.Time, sample float64) {
	c := &t.pace
	r := &t.pool.reference
	i := bucketOf(t)
	if want, ok := r.against(i); ok && want > 0 {
		relative := min(sample/want, 1.5)
		if c.samples == 0 {
			c.relative = relative
		}
		c.samples++
		c.relative += paceWeight * (relative - c.relative)
	}
	if !c.slow {
		r.observe(i, sample)
	}
	t.decideSlow(now)
}

func (t *target) decideSlow(now time.Time) {
	c := &t.pace
	r := &t.pool.reference
	allowed := int(slowestPart * float64(len(t.pool.targets)))
	switch {
	case !c.slow && c.samples >= paceSamples && c.relative < slowBelow && r.slow < allowed:
		c.slow = true
		c.probeAt = now.Add(probeInterval)
		r.slow++
	case c.slow && c.relative > steadyAbove:
		c.slow = false
		r.slow--
		t.rampFrom = now
	}
}
