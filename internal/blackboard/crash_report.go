package blackboard

import (
	"cmp"
	"reflect"
	"slices"
	"time"
)

// ReportCrash records the requests that were running on a backend server when it crashed.
type ReportCrash struct {
	// Fingerprints identify the requests that the reporting entry had in flight.
	Fingerprints []string `json:"fingerprints"`
	// Answered holds those of them that the entry has answered lately.
	Answered []string `json:"answered,omitempty"`
	// Parts holds the parts that the prompts of these requests may have in common with others.
	Parts []RunningPart `json:"parts,omitempty"`
	// SentMillis holds when each of them was sent; empty in reports of older versions.
	SentMillis  []int64 `json:"sent_ms,omitempty"`
	Incarnation string  `json:"incarnation"`
	Pool        string  `json:"pool,omitempty"`
	DataCentre  string  `json:"data_centre,omitempty"`
	// BusyTargets is how many targets of the pool had requests in flight at the time, by the entry's estimate.
	BusyTargets int `json:"busy_targets,omitempty"`
	// Alone states that a single request was in flight on the backend server.
	Alone bool `json:"alone"`
	// HasSilentEntries states that several entries did not answer when they were asked, see CrashedRun. An entry that runs suspects in
	// isolation does not set it, as isolation tells the cause.
	HasSilentEntries bool `json:"silent_entries,omitempty"`
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
	next.Parts = slices.Clone(c.Parts)
	for i := range next.Parts {
		next.Parts[i].SentAgoMillis += passed.Milliseconds()
		next.Parts[i].SentMillis = now.UnixMilli() - next.Parts[i].SentAgoMillis
	}
	return &next
}

// IsIn reports whether a table of suspects shows the crash for all that was running by the report.
func (c ReportCrash) IsIn(suspects map[string]Suspect) bool {
	for _, p := range c.Parts {
		s := suspects[p.Fingerprint]
		isCounted := s.wasRunningOn(c.Incarnation) || s.isFullSince(c.NowMillis)
		if !isCounted || (p.Answered && !s.AnsweredBefore) {
			return false
		}
	}
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
	for i, p := range c.Parts {
		c.Parts[i].SentMillis, c.Parts[i].SentAgoMillis = now.UnixMilli()-p.SentAgoMillis, 0
	}
	c.EndAgoMillis, c.SentAgoMillis = 0, nil
}

// SuspectChange is a command that changes the table of suspects alone.
type SuspectChange interface {
	Command
	// IsIn reports whether a table shows the change already, or has nothing that it changes.
	IsIn(suspects map[string]Suspect) bool
	changeSuspects(suspects map[string]Suspect) bool
}

// ChangeSuspects returns a copy of a table of suspects with changes that the board does not show yet.
// One that it shows already changes nothing.
func ChangeSuspects(suspects map[string]Suspect, changes []SuspectChange) map[string]Suspect {
	next := cloneMap(suspects)
	var crashes crashBatch
	for _, c := range changes {
		if report, ok := c.(*ReportCrash); ok {
			crashes.record(next, report)
			continue
		}
		crashes.attribute(next)
		c.changeSuspects(next)
	}
	crashes.attribute(next)
	return next
}

// IsSameTable reports whether two boards have one table of suspects. A table is copied before it
// changes.
func IsSameTable(a, b map[string]Suspect) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer()
}

func (c ReportCrash) apply(d *draft) (any, bool) {
	var crashes crashBatch
	result, changed := c.applyTo(d, &crashes)
	crashes.attribute(d.Suspects)
	return result, changed
}

// applyTo records the crash in a draft, to be attributed with the others of crashes.
func (c ReportCrash) applyTo(d *draft, crashes *crashBatch) (any, bool) {
	if c.IsIn(d.Suspects) {
		return refused("counted already")
	}
	d.cloneSuspectsOnce()
	if !crashes.record(d.Suspects, &c) {
		return refused("counted already")
	}
	return applied()
}

func (c ReportCrash) changeSuspects(suspects map[string]Suspect) bool {
	var crashes crashBatch
	changed := crashes.record(suspects, &c)
	crashes.attribute(suspects)
	return changed
}

// recordRuns adds the runs that the crash ended and reports whether any was not known yet.
func (c ReportCrash) recordRuns(suspects map[string]Suspect) bool {
	changed := false
	for i, f := range c.Fingerprints {
		s, added := suspects[f].withRun(c.run(i), c.Alone)
		if !added {
			continue
		}
		s.Fingerprint = f
		s.AnsweredBefore = s.AnsweredBefore || slices.Contains(c.Answered, f)
		suspects[f] = s
		changed = true
	}
	for _, p := range c.Parts {
		s, added := suspects[p.Fingerprint].withRunningPart(p, c.runSent(p.SentMillis))
		suspects[p.Fingerprint] = s
		changed = changed || added
	}
	return changed
}

func (c ReportCrash) run(i int) CrashedRun {
	if i < len(c.SentMillis) {
		return c.runSent(c.SentMillis[i])
	}
	return c.runSent(c.NowMillis)
}

func (c ReportCrash) runSent(sentMillis int64) CrashedRun {
	return CrashedRun{
		Incarnation: c.Incarnation, Pool: c.Pool, DataCentre: c.DataCentre, SentMillis: sentMillis, EndMillis: c.NowMillis,
		BusyTargets: c.BusyTargets, HasSilentEntries: c.HasSilentEntries,
	}
}

// removeLeastOf removes the least suspects of a kind that has more than limit: those without attributed
// crashes before others, then those whose last crash is the oldest. Parts with few crashes go first.
func removeLeastOf(suspects map[string]Suspect, kind CauseKind, limit int) {
	if len(suspects) <= limit {
		return
	}
	var order []Suspect
	for _, s := range suspects {
		if s.Kind == kind {
			order = append(order, s)
		}
	}
	if len(order) <= limit {
		return
	}
	slices.SortFunc(order, func(a, b Suspect) int {
		switch {
		case a.IsAttributed() && !b.IsAttributed():
			return 1
		case b.IsAttributed() && !a.IsAttributed():
			return -1
		case kind == CausePart && len(a.Runs) != len(b.Runs):
			return cmp.Compare(len(a.Runs), len(b.Runs))
		}
		return cmp.Or(cmp.Compare(a.LastMillis, b.LastMillis), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, s := range order[:len(order)-limit] {
		delete(suspects, s.Fingerprint)
	}
}
