package controller

import "time"

const (
	// StallComparisonTime is how long a confirmed stall waits for the stalls of other groups, if entries report
	// some of them. The streams of all groups that stop together are silent for their limit within a pass of each other.
	StallComparisonTime = 200 * time.Millisecond
	// LoneStallTime is the same while no entry reports another group. Passes of most groups are shorter.
	LoneStallTime = 80 * time.Millisecond
	// commonStallWindow is how far apart stalls with a common cause may be confirmed.
	commonStallWindow = time.Second
	// leastComparedGroups is the number of serving groups from which their stalls are compared, and
	// commonStallShare the part of them whose stalls at the same time have a common cause.
	//
	// Load: all backend servers, or the network between them and the entries, stand still for a second or two.
	// Harm of holding that against the groups: all of them are broken within the same moment, their heads drop
	// all answers, and no group is left where these could go on. Reason for the limits: a fabric domain or
	// a data centre that is lost holds half of the groups or fewer.
	leastComparedGroups = 4
	commonStallShare    = 0.6
	// commonReportWindow is how far apart the reports of a common stall arrive, and commonReporterShare the part
	// of all entries from which they come. It exceeds the entries of one data centre, whose links may be bad.
	commonReportWindow  = 300 * time.Millisecond
	commonReporterShare = 0.5
	// commonStallIgnored is how long reports are ignored after a common stall, and commonStallQuiet how long
	// there must have been none by then. The reports of one standstill are late at a busy leader.
	commonStallIgnored = 700 * time.Millisecond
	commonStallQuiet   = 300 * time.Millisecond
	// maxCommonStallIgnored bounds that time. Entries report a group that stays silent again after
	// oneReporterStall.
	maxCommonStallIgnored = oneReporterStall
)

// stallComparison tells groups that have stalled from a standstill of everything behind the entries.
type stallComparison struct {
	// confirmedAt is when the stall of a group was first confirmed.
	confirmedAt map[GroupEpoch]time.Time
	// commonAt is when the last common stall was found, and ignoredUntil the end of the time in which reports are
	// ignored.
	commonAt, ignoredUntil time.Time
}

func newStallComparison() stallComparison {
	return stallComparison{confirmedAt: make(map[GroupEpoch]time.Time)}
}

// isCommon records which serving groups have a confirmed stall, and reports whether most of them have.
func (c *stallComparison) isCommon(now time.Time, confirmed map[GroupEpoch]time.Time, serving map[GroupEpoch]bool) bool {
	c.note(now, confirmed, serving)
	return isMostOf(len(c.confirmedAt), len(serving))
}

// isMostOf reports whether so many of the serving groups have stalled that the groups are not the cause.
func isMostOf(stalled, serving int) bool {
	return serving >= leastComparedGroups && float64(stalled) >= commonStallShare*float64(serving)
}

// settled returns the groups whose stall has been confirmed for long enough. isAlone is set if no other group is
// reported. Few groups are not compared.
func (c *stallComparison) settled(now time.Time, serving int, isAlone bool) map[GroupEpoch]time.Time {
	wait := StallComparisonTime
	switch {
	case serving < leastComparedGroups:
		wait = 0
	case isAlone:
		wait = LoneStallTime
	}
	stalled := make(map[GroupEpoch]time.Time)
	for g, at := range c.confirmedAt {
		if now.Sub(at) >= wait {
			stalled[g] = now
		}
	}
	return stalled
}

// note records when the stalls of serving groups were confirmed, and removes those that are older than
// commonStallWindow.
func (c *stallComparison) note(now time.Time, confirmed map[GroupEpoch]time.Time, serving map[GroupEpoch]bool) {
	for g, at := range c.confirmedAt {
		if now.Sub(at) > commonStallWindow || !serving[g] {
			delete(c.confirmedAt, g)
		}
	}
	for g := range confirmed {
		if _, known := c.confirmedAt[g]; !known && serving[g] {
			c.confirmedAt[g] = now
		}
	}
}

// ignoreReports makes the reports of a common stall that are still to come have no effect.
func (c *stallComparison) ignoreReports(now time.Time) {
	clear(c.confirmedAt)
	c.commonAt, c.ignoredUntil = now, now.Add(commonStallIgnored)
}

// ignores reports whether a report that arrives now belongs to a common stall, and extends the time in which
// reports are ignored.
func (c *stallComparison) ignores(now time.Time) bool {
	if !now.Before(c.ignoredUntil) {
		return false
	}
	extended := now.Add(commonStallQuiet)
	if latest := c.commonAt.Add(maxCommonStallIgnored); extended.After(latest) {
		extended = latest
	}
	if extended.After(c.ignoredUntil) {
		c.ignoredUntil = extended
	}
	return true
}
