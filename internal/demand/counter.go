package demand

import "time"

// Outcome is how a request ended for its caller.
type Outcome int

// The outcomes.
const (
	// OnTime is an answer whose first event met its objective; Late is any other answer.
	OnTime Outcome = iota
	Late
	// Refused is a refusal or a failure.
	Refused
)

// Counter counts the requests that one entry receives between two reports. Its classes are
// bounded by the configuration: the caller counts requests of configured models and routes only.
type Counter struct {
	counts map[Class]Count
	since  time.Time
}

// NewCounter returns a counter that begins at now.
func NewCounter(now time.Time) *Counter { return &Counter{counts: make(map[Class]Count), since: now} }

// Arrived counts the first try of a request; tokens is its work.
func (c *Counter) Arrived(class Class, tokens int) {
	n := c.counts[class]
	n.Arrived++
	n.Tokens += tokens
	c.counts[class] = n
}

// Ended counts how the first try of a request ended.
func (c *Counter) Ended(class Class, o Outcome) {
	n := c.counts[class]
	switch o {
	case OnTime:
		n.OnTime++
	case Late:
		n.Late++
	case Refused:
		n.Refused++
	}
	c.counts[class] = n
}

// Take returns the counts since the last call and how long that time was, and begins anew.
func (c *Counter) Take(now time.Time) (time.Duration, map[Class]Count) {
	window, counts := now.Sub(c.since), c.counts
	c.since, c.counts = now, make(map[Class]Count, len(counts))
	return window, counts
}

const (
	// reportsPerSecond bounds the reports that the leader receives from all entries together. A
	// report takes some tenths of a millisecond of its processor.
	reportsPerSecond = 100
	// minInterval is the shortest time between two reports of one entry.
	minInterval = time.Second
)

// Interval returns the time between two reports of one entry, among a number of entries.
func Interval(entries int) time.Duration {
	return max(minInterval, time.Duration(entries)*time.Second/reportsPerSecond)
}

// MinEntries is the number of entries from which layouts follow demand. With fewer, the requests of a
// few callers move the rates of a model by more than a layout should follow, and each entry sees
// enough of them to order them itself.
const MinEntries = 17

// maxMissedReports is how many reports of one entry in a row may be lost before the entry counts
// as silent.
const maxMissedReports = 3

// MaxAge returns the age at which the demand observed by a number of entries is stale: nothing
// may be decided by it any more.
func MaxAge(entries int) time.Duration {
	return max(5*time.Second, maxMissedReports*Interval(entries))
}
