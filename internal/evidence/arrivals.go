package evidence

import "time"

const (
	// arrivalBucket is the resolution of the counts of announcements, and arrivalBuckets the number of counts kept.
	arrivalBucket  = 50 * time.Millisecond
	arrivalBuckets = 256
)

// arrivals counts the announcements that reached this process directly, by the time of their arrival.
type arrivals struct {
	counts [arrivalBuckets]int
	// newest is the number of the newest bucket since the zero time.
	newest int64
}

func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(arrivalBucket) }

// add counts one arrival.
func (a *arrivals) add(now time.Time) {
	a.advance(now)
	a.counts[a.newest%arrivalBuckets]++
}

// advance empties the buckets between the newest one and now.
func (a *arrivals) advance(now time.Time) {
	to := bucketOf(now)
	for n := max(a.newest+1, to-arrivalBuckets+1); n <= to; n++ {
		a.counts[n%arrivalBuckets] = 0
	}
	a.newest = max(a.newest, to)
}

// between returns the number of arrivals from an age up to a younger one, to a bucket.
func (a *arrivals) between(now time.Time, from, to time.Duration) int {
	a.advance(now)
	n := 0
	for b := bucketOf(now.Add(-from)); b < bucketOf(now.Add(-to)); b++ {
		n += a.counts[b%arrivalBuckets]
	}
	return n
}

// DirectArrivals returns how many announcements reached this process directly from an age up to a younger one. Ages
// are at most twelve seconds.
func (t *Table) DirectArrivals(now time.Time, from, to time.Duration) int {
	return t.arrivals.between(now, from, to)
}
