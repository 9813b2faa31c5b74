package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// announcementDelay is how late an announcement may arrive that was sent before a silence began.
	announcementDelay = 100 * time.Millisecond
	// reportDelay is how late a report may arrive. The silence may have ended by then, and announcements with it.
	reportDelay = 100 * time.Millisecond
	// announcedShare is the part of the announcements expected during a silence from which on others are alive.
	announcedShare = 0.2
)

// Announcements holds when the members of serving groups last announced themselves.
type Announcements struct {
	interval   time.Duration
	receivedAt []time.Time
}

// AnnouncementsOfMembers returns the last announcements of the members of all serving groups.
func AnnouncementsOfMembers(board *blackboard.Board, t *evidence.Table) Announcements {
	a := Announcements{interval: t.Interval()}
	for _, g := range board.Groups {
		if g.State != blackboard.Serving {
			continue
		}
		for _, m := range g.Members {
			r, _ := t.Get(m.VM)
			a.receivedAt = append(a.receivedAt, r.ReceivedAt)
		}
	}
	return a
}

// arrivedDuring reports whether members have announced themselves during a silence that lasted up to a time.
//
// Load: all backend servers, or the network between them and the system, stand still for a second or two. Harm of
// holding their silence against the groups: all of them are broken within a moment, their heads drop all answers, and no
// group is left where these could go on. Servers that are lost leave others that announce themselves.
func (a Announcements) arrivedDuring(until time.Time, silent time.Duration) bool {
	span := silent - announcementDelay
	from := until.Add(-span)
	late := min(reportDelay, span/2)
	until, span = until.Add(-late), span-late
	arrived := 0
	for _, at := range a.receivedAt {
		if at.After(from) && !at.After(until) {
			arrived++
		}
	}
	expected := float64(len(a.receivedAt)) * min(1, span.Seconds()/a.interval.Seconds())
	return arrived > 0 && float64(arrived) >= announcedShare*expected
}
