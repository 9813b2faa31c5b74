package controller

import "time"

const (
	// stallWitnesses is how many entries must find a group silent at the same
	// time for it to be broken.
	//
	// Load: a link loses one packet in forty; each stream that crosses it stands
	// still for a fifth of a second now and then, and each entry has one or two
	// streams of a group. Harm of acting on one entry's report: all groups behind the
	// link are broken, one after the other, and their streams with them. Reason
	// for three within stallTogether: streams that lose packets do so each at a
	// time of its own; those of a group that stands still all stop in one pass.
	stallWitnesses = 3
	stallTogether  = 250 * time.Millisecond
	// longStall is the silence from which two entries within it suffice, and
	// lastingStall that from which one does: a group that few use must be found
	// too, and a packet is seldom lost three times in a row.
	longStall    = time.Second
	lastingStall = 2 * time.Second
	// stallMemory is how long an entry's report is kept.
	stallMemory = 5 * time.Second
)

// Stalls gathers what entries say of groups that make no progress, and decides
// when they confirm each other. It is not safe for concurrent use.
type Stalls struct {
	reports map[StalledGroup]map[string]stallReport
}

// stallReport is what one entry last said of a group.
type stallReport struct {
	at     time.Time
	silent time.Duration
}

// NewStalls returns Stalls that have heard nothing.
func NewStalls() *Stalls { return &Stalls{reports: make(map[StalledGroup]map[string]stallReport)} }

// Note takes an entry's report that all its streams on a group have been silent
// for so long.
func (s *Stalls) Note(now time.Time, entry string, g StalledGroup, silent time.Duration) {
	if s.reports[g] == nil {
		s.reports[g] = make(map[string]stallReport)
	}
	s.reports[g][entry] = stallReport{now, silent}
}

// Stalled returns the groups whose stall is confirmed, each with the time now.
// entries is how many take callers' requests.
func (s *Stalls) Stalled(now time.Time, entries int) map[StalledGroup]time.Time {
	out := make(map[StalledGroup]time.Time)
	for g, reports := range s.reports {
		if confirmed(now, reports, entries) {
			out[g] = now
		}
		for entry, report := range reports {
			if now.Sub(report.at) > stallMemory {
				delete(reports, entry)
			}
		}
		if len(reports) == 0 {
			delete(s.reports, g)
		}
	}
	return out
}

// confirmed tells whether the reports on one group bear each other out.
func confirmed(now time.Time, reports map[string]stallReport, entries int) bool {
	together, long := 0, 0
	for _, report := range reports {
		age := now.Sub(report.at)
		if age <= stallTogether {
			together++
		}
		if report.silent >= longStall && age <= longStall {
			long++
		}
		if report.silent >= lastingStall && age <= stallTogether {
			return true
		}
	}
	return together >= min(stallWitnesses, max(1, entries)) || long >= min(2, max(1, entries))
}
