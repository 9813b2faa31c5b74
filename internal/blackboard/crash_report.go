package blackboard

import (
	"cmp"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"
)

// ReportCrash records the requests that were running on a backend server when it crashed.
type ReportCrash struct {
	// Fingerprints identify the requests that the reporting entry had in flight.
	Fingerprints []string `json:"fingerprints"`
	// SentMillis holds when each of them was sent; empty in reports of older versions.
	SentMillis  []int64 `json:"sent_ms,omitempty"`
	Incarnation string  `json:"incarnation"`
	Pool        string  `json:"pool,omitempty"`
	DataCentre  string  `json:"data_centre,omitempty"`
	// Alone states that a single request was in flight on the backend server.
	Alone bool `json:"alone"`
	// NowMillis is the time of the crash.
	NowMillis int64 `json:"now_ms"`
	// EndAgoMillis and SentAgoMillis hold how long before the command was sent to the leader the
	// server crashed and each request was sent. The leader sets the other times by them. They are
	// not set in reports of older versions, nor in the log.
	EndAgoMillis  int64   `json:"end_ago_ms,omitempty"`
	SentAgoMillis []int64 `json:"sent_ago_ms,omitempty"`
}

// After returns the report as it is to be sent now, a while after it was made.
func (c *ReportCrash) After(passed time.Duration, now time.Time) *ReportCrash {
	next := *c
	next.EndAgoMillis += passed.Milliseconds()
	next.NowMillis = now.UnixMilli() - next.EndAgoMillis
	next.SentAgoMillis, next.SentMillis = nil, nil
	for _, ago := range c.SentAgoMillis {
		ago += passed.Milliseconds()
		next.SentAgoMillis = append(next.SentAgoMillis, ago)
		next.SentMillis = append(next.SentMillis, now.UnixMilli()-ago)
	}
	return &next
}

// IsIn reports whether a table of suspects shows the crash for all requests of the report.
func (c ReportCrash) IsIn(suspects map[string]Suspect) bool {
	for _, f := range c.Fingerprints {
		if !suspects[f].wasRunningOn(c.Incarnation) {
			return false
		}
	}
	return true
}

func (c *ReportCrash) setTimes(now time.Time) {
	if len(c.SentAgoMillis) != len(c.Fingerprints) {
		return
	}
	c.NowMillis, c.SentMillis = now.UnixMilli()-c.EndAgoMillis, nil
	for _, ago := range c.SentAgoMillis {
		c.SentMillis = append(c.SentMillis, now.UnixMilli()-ago)
	}
	c.EndAgoMillis, c.SentAgoMillis = 0, nil
}

// SuspectChange is a command that changes the table of suspects alone.
type SuspectChange interface {
	Command
	changeSuspects(suspects map[string]Suspect) bool
}

// ChangeSuspects returns a copy of a table of suspects with changes that the board does not show yet.
// One that it shows already changes nothing.
func ChangeSuspects(suspects map[string]Suspect, changes []SuspectChange) map[string]Suspect {
	next := cloneMap(suspects)
	for _, c := range changes {
		c.changeSuspects(next)
	}
	return next
}

// IsSameTable reports whether two boards have one table of suspects. A table is copied before it
// changes.
func IsSameTable(a, b map[string]Suspect) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

func (c ReportCrash) apply(d *draft) (any, bool) {
	if c.IsIn(d.Suspects) {
		return refused("counted already")
	}
	suspects := cloneMap(d.Suspects)
	if !c.changeSuspects(suspects) {
		return refused("counted already")
	}
	d.Suspects = suspects
	return applied()
}

func (c ReportCrash) changeSuspects(suspects map[string]Suspect) bool {
	changed := false
	for i, f := range c.Fingerprints {
		s, added := suspects[f].withRun(c.run(i), c.Alone)
		if !added {
			continue
		}
		s.Fingerprint = f
		suspects[f] = s
		changed = true
	}
	if changed {
		removeRunsAfterCrash(suspects, c.Incarnation)
		attribute(suspects, c.Incarnation)
		removeLeast(suspects, len(suspects)-maxSuspects)
	}
	return changed
}

func (c ReportCrash) run(i int) CrashedRun {
	r := CrashedRun{Incarnation: c.Incarnation, Pool: c.Pool, DataCentre: c.DataCentre, SentMillis: c.NowMillis, EndMillis: c.NowMillis}
	if i < len(c.SentMillis) {
		r.SentMillis = c.SentMillis[i]
	}
	return r
}

// removeRunsAfterCrash removes the runs that were sent to a crashed incarnation after the first of
// its runs had ended. Such a run met the crashed server: a proxy before it accepts connections and
// closes them.
func removeRunsAfterCrash(suspects map[string]Suspect, incarnation string) {
	crash := int64(math.MaxInt64)
	for _, s := range suspects {
		for _, r := range s.Runs {
			if r.Incarnation == incarnation {
				crash = min(crash, r.EndMillis)
			}
		}
	}
	for f, s := range suspects {
		if s.wasRunningOn(incarnation) {
			suspects[f] = s.withoutRunsAfter(crash, incarnation)
		}
	}
}

// removeLeast removes n suspects from a full table: those without attributed crashes before others,
// then those whose last crash is the oldest.
func removeLeast(suspects map[string]Suspect, n int) {
	if n <= 0 {
		return
	}
	order := slices.SortedFunc(maps.Values(suspects), func(a, b Suspect) int {
		switch {
		case a.IsAttributed() && !b.IsAttributed():
			return 1
		case b.IsAttributed() && !a.IsAttributed():
			return -1
		}
		return cmp.Or(cmp.Compare(a.LastMillis, b.LastMillis), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, s := range order[:n] {
		delete(suspects, s.Fingerprint)
	}
}
