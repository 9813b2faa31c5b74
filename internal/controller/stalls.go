package controller

import "time"

const (
	// stallWitnesses is how many entries, of more than one data centre, must find
	// a group silent at the same time for it to be broken.
	//
	// Load: the links of one data centre lose a packet in twenty-five; each stream
	// that crosses them stands still for a moment now and then, and each entry there
	// has one or two streams of a group. Harm of acting on one
	// entry's report, or on several of that data centre: groups in order are broken
	// one after the other, and their streams with them. Reason for the limits:
	// streams that lose packets do so each at a time of its own and on one way; those
	// of a group that stands still all stop in one pass, wherever they come from.
	stallWitnesses = 3
	// sameLinkWitnesses suffice if they are all of one data centre, as when all
	// callers are there: more than are wrong together.
	sameLinkWitnesses = 6
	// stallTogether is how far apart reports of one stall may arrive: entries look
	// every 20 ms, and a report crosses a region in some milliseconds.
	stallTogether = 100 * time.Millisecond
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
	at         time.Time
	silent     time.Duration
	dataCentre string
}

// NewStalls returns Stalls that have heard nothing.
func NewStalls() *Stalls { return &Stalls{reports: make(map[StalledGroup]map[string]stallReport)} }

// Note takes the report of an entry in a data centre that all its streams on a
// group have been silent for so long.
func (s *Stalls) Note(now time.Time, entry, dataCentre string, g StalledGroup, silent time.Duration) {
	if s.reports[g] == nil {
		s.reports[g] = make(map[string]stallReport)
	}
	s.reports[g][entry] = stallReport{now, silent, dataCentre}
}

// Stalled returns the groups whose stall is confirmed, each with the time now.
// entries counts those that take callers' requests, by data centre.
func (s *Stalls) Stalled(now time.Time, entries map[string]int) map[StalledGroup]time.Time {
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
func confirmed(now time.Time, reports map[string]stallReport, entries map[string]int) bool {
	together := make(map[string]int)
	long := 0
	for _, report := range reports {
		age := now.Sub(report.at)
		if age <= stallTogether {
			together[report.dataCentre]++
		}
		if report.silent >= longStall && age <= longStall {
			long++
		}
		if report.silent >= lastingStall && age <= stallTogether {
			return true
		}
	}
	all := total(entries)
	return agree(together, len(entries), all) || long >= min(2, max(1, all))
}

// agree tells whether reports that came together, counted by data centre, show a
// stall and not a bad link. dataCentres and all count the entries that there are.
func agree(together map[string]int, dataCentres, all int) bool {
	reports := total(together)
	if len(together) >= min(2, max(1, dataCentres)) {
		return reports >= min(stallWitnesses, max(1, all))
	}
	return reports >= sameLinkWitnesses
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
