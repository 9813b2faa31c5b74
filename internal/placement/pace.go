package placement

import "time"

const (
	// paceBuckets is the number of buckets by load relative to the limit. A target is compared
	// only with peers at similar load.
	paceBuckets = 8
	// paceWindow is the time of progress, summed over attempts, that makes one sample. It spans
	// several tokens of each attempt, so that pauses of single tokens average out.
	paceWindow = time.Second
	// paceSampleWeight is the weight of one sample. A server that becomes four times slower is
	// detected after three samples.
	paceSampleWeight = 0.25
	// minPaceSamples is how many samples are needed before a target is judged.
	minPaceSamples = 3
	// minReferenceSamples is how many samples of peers a bucket needs.
	minReferenceSamples = 8
	// medianStep is the relative step by which the running median follows the samples.
	medianStep = 0.02
	// slowBelow and recoveredAbove are the speeds, relative to peers, at which a target becomes
	// slow and recovers. The gap between them prevents flapping.
	slowBelow      = 0.6
	recoveredAbove = 0.8
	// minSpeed keeps a slow target from getting no work at all.
	minSpeed = 0.05
	// maxSlowFraction is the fraction of a pool that may be slow. If more are slow, the cause
	// is common to all, and avoiding them would overload the rest.
	maxSlowFraction = 1.0 / 3
	// probeInterval is how often a slow target gets one request that can show its recovery.
	probeInterval = 5 * time.Second
)

// pace tracks how fast one target makes progress on each request.
//
// A loaded server and a slow one look alike to their callers. The comparison with peers at the
// same load tells them apart: a loaded server is as fast as its peers, a slow one isn't.
type pace struct {
	windowSeconds float64
	windowTokens  int
	relativeSpeed float64
	samples       int
	isSlow        bool
	nextProbe     time.Time
}

// speed returns the fraction of its limit that the target may use for its pace: 1 unless it is
// slow.
func (c *pace) speed() float64 {
	if !c.isSlow {
		return 1
	}
	return max(c.relativeSpeed, minSpeed)
}

// bucket holds the running median of the pool's pace at one load.
type bucket struct {
	median  float64
	samples int
}

// reference is the pace of a pool by load.
type reference struct {
	buckets   [paceBuckets]bucket
	slowCount int
}

func bucketOf(t *target) int {
	loadFraction := t.load / max(t.limit, 1)
	return min(max(int(loadFraction*paceBuckets), 0), paceBuckets-1)
}

// medianFrom returns the median pace to compare with at load bucket i: that of peers with at
// least as much load, since they are slowed at least as much. It returns false if no such
// bucket has enough samples.
func (r *reference) medianFrom(i int) (float64, bool) {
	for ; i < paceBuckets; i++ {
		if r.buckets[i].samples >= minReferenceSamples {
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
		b.median *= 1 + medianStep
	case sample < b.median:
		b.median *= 1 - medianStep
	}
}

// recordProgress records that an attempt on t generated tokens within elapsed.
func (t *target) recordProgress(now time.Time, tokens int, elapsed time.Duration) {
	c := &t.pace
	c.windowSeconds += elapsed.Seconds()
	c.windowTokens += tokens
	if c.windowSeconds < paceWindow.Seconds() {
		return
	}
	sample := float64(c.windowTokens) / c.windowSeconds
	c.windowSeconds, c.windowTokens = 0, 0
	t.judgePace(now, sample)
}

func (t *target) judgePace(now time.Time, sample float64) {
	c := &t.pace
	r := &t.pool.reference
	i := bucketOf(t)
	if expected, ok := r.medianFrom(i); ok && expected > 0 {
		relative := min(sample/expected, 1.5)
		if c.samples == 0 {
			c.relativeSpeed = relative
		}
		c.samples++
		c.relativeSpeed += paceSampleWeight * (relative - c.relativeSpeed)
	}
	if !c.isSlow {
		r.observe(i, sample)
	}
	t.updateSlow(now)
}

func (t *target) updateSlow(now time.Time) {
	c := &t.pace
	r := &t.pool.reference
	maxSlow := int(maxSlowFraction * float64(len(t.pool.targets)))
	switch {
	case !c.isSlow && c.samples >= minPaceSamples && c.relativeSpeed < slowBelow && r.slowCount < maxSlow:
		c.isSlow = true
		c.nextProbe = now.Add(probeInterval)
		r.slowCount++
	case c.isSlow && c.relativeSpeed > recoveredAbove:
		c.isSlow = false
		r.slowCount--
		t.rampFrom = now
	}
}
