package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// StallComparisonTime is how long a confirmed stall waits while entries report other groups as well. By then
	// silence has lasted for announcementWindow.
	StallComparisonTime = 200 * time.Millisecond
	// LoneStallTime is the same while no entry reports another group. The streams of all groups that stop together are
	// silent for their limit within a pass of each other, and most passes are shorter.
	LoneStallTime = 80 * time.Millisecond
	// stallEffect is how long a confirmed stall is remembered.
	stallEffect = time.Second
	// reportWindow is how far apart the reports of stalls with a common cause arrive.
	reportWindow = 300 * time.Millisecond
	// leastComparedGroups is the number of groups from which, with AnnouncementsUnknown, their stalls are compared,
	// commonStallShare the part of them whose stalls at the same time have a common cause, and commonReporterShare the part
	// of the entries that then report them. A fabric domain that is lost may hold half of the groups, and the entries of
	// one data centre may have bad links.
	leastComparedGroups = 4
	commonStallShare    = 0.6
	commonReporterShare = 0.5
	// commonStallIgnored is how long reports are ignored after a common stall, and commonStallQuiet how long
	// there must have been none by then. The reports of one standstill are late at a busy leader.
	commonStallIgnored = 700 * time.Millisecond
	commonStallQuiet   = 300 * time.Millisecond
	// maxCommonStallIgnored bounds that time. Entries report a group that stays silent again after
	// oneReporterStall.
	maxCommonStallIgnored = oneReporterStall
)

const (
	// announcementWindow is the time within which announcements of backend servers are counted. They are compared with
	// those of usualWindow before it: leastAnnouncements must be usual for the count to mean anything, and with less than
	// stoppedShare of the usual ones they have stopped.
	announcementWindow = 350 * time.Millisecond
	usualWindow        = 8 * time.Second
	leastAnnouncements = 3
	stoppedShare       = 0.2
)

// Announcements tells whether backend servers announce themselves to this process.
type Announcements int

// The states of Announcements.
const (
	// AnnouncementsUnknown: too few are usual, as with few servers or at a leader that has just been elected.
	AnnouncementsUnknown Announcements = iota
	// AnnouncementsArrive: they arrive about as usual.
	AnnouncementsArrive
	// AnnouncementsStopped: hardly any has arrived for a while.
	AnnouncementsStopped
)

// AnnouncementsAt compares the announcements that have just arrived with the usual ones.
func AnnouncementsAt(now time.Time, t *evidence.Table) Announcements {
	arrived := t.DirectArrivals(now, announcementWindow, 0)
	before := t.DirectArrivals(now, usualWindow+announcementWindow, announcementWindow)
	usual := float64(before) * announcementWindow.Seconds() / usualWindow.Seconds()
	switch {
	case usual < leastAnnouncements:
		return AnnouncementsUnknown
	case float64(arrived) < stoppedShare*usual:
		return AnnouncementsStopped
	}
	return AnnouncementsArrive
}

// isBrokenForStalls reports whether a group is broken once entries report a stall.
func isBrokenForStalls(g blackboard.Group) bool {
	return g.RequiresOpenHead && g.State == blackboard.Serving
}

// StallSubjects returns the groups that are broken once entries report a stall.
func StallSubjects(board *blackboard.Board) map[GroupEpoch]bool {
	groups := make(map[GroupEpoch]bool)
	for id, g := range board.Groups {
		if isBrokenForStalls(g) {
			groups[GroupEpoch{id, g.Epoch}] = true
		}
	}
	return groups
}

// stallComparison tells groups that have stalled from a standstill of everything behind the entries.
//
// Load: all backend servers, or the network between them and the system, stand still for a second or two. Harm of
// holding their silence against the groups: all of them are broken within a moment, their heads drop all answers, and no
// group is left where these could go on. Servers that are lost leave others that announce themselves.
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

// settled returns the groups whose stalls have been confirmed for long enough. isAlone is set if no other group is
// reported.
func (c *stallComparison) settled(now time.Time, isAlone bool) map[GroupEpoch]time.Time {
	wait := StallComparisonTime
	if isAlone {
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

// note records when stalls of the subjects were confirmed, and removes those that are older than stallEffect.
func (c *stallComparison) note(now time.Time, confirmed map[GroupEpoch]time.Time, subjects map[GroupEpoch]bool) {
	for g, at := range c.confirmedAt {
		if now.Sub(at) > stallEffect || !subjects[g] {
			delete(c.confirmedAt, g)
		}
	}
	for g := range confirmed {
		if _, known := c.confirmedAt[g]; !known && subjects[g] {
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
