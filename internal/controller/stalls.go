package controller

import "time"

const (
	// stallReporters is how many entries, from more than one data centre, must find a group
	// silent at the same time for the group to be broken.
	//
	// Load: the links of one data centre lose one packet in twenty-five. Each stream over these
	// links stalls for a moment now and then, and each entry there has one or two streams of a
	// group. Harm of acting on the report of one entry, or of several entries in that data
	// centre: healthy groups are broken one after the other, together with their streams. Reason
	// for the limits: streams that lose packets stall independently of each other and on one
	// path. The streams of a stalled group all stop within one pass, whatever their origin.
	stallReporters = 3
	// singleDataCentreReporters is how many entries suffice if all are in one data centre, as
	// when all callers are there. It is more than report wrongly at the same time.
	singleDataCentreReporters = 6
	// stallReportWindow is how far apart the reports of one stall may arrive: entries check every
	// 20 ms, and a report crosses a region in some milliseconds.
	stallReportWindow = 100 * time.Millisecond
	// twoReporterStall is the silence from which two reports within that time suffice, and
	// oneReporterStall the silence from which one report suffices. A group with few callers must
	// be found too, and a packet is seldom lost three times in a row.
	twoReporterStall = time.Second
	oneReporterStall = 2 * time.Second
	// stallReportTTL is how long an entry's report is kept.
	stallReportTTL = 5 * time.Second
)

// StallReports collects the reports of entries about groups that make no progress, and decides
// when the reports confirm each other. It is not safe for concurrent use.
type StallReports struct {
	reports map[GroupEpoch]map[string]stallReport
}

// stallReport is the last report of one entry about a group.
type stallReport struct {
	at         time.Time
	silent     time.Duration
	dataCentre string
}

// NewStallReports returns an empty StallReports.
func NewStallReports() *StallReports {
	return &StallReports{reports: make(map[GroupEpoch]map[string]stallReport)}
}

// Record records the report of an entry in a data centre that all its streams on a group have been
// silent for the given time.
func (s *StallReports) Record(now time.Time, entry, dataCentre string, g GroupEpoch, silent time.Duration) {
	if s.reports[g] == nil {
		s.reports[g] = make(map[string]stallReport)
	}
	s.reports[g][entry] = stallReport{now, silent, dataCentre}
}

// IsEmpty reports whether there are no reports.
func (s *StallReports) IsEmpty() bool { return len(s.reports) == 0 }

// Stalled returns the groups that are to be broken for a confirmed stall, each with the time now, and how many
// confirmed stalls are held against no group, because a silence tells nothing while no backend server announces itself.
func (s *StallReports) Stalled(now time.Time, entries map[string]int, a Announcements) (stalled map[GroupEpoch]time.Time, withheld int) {
	stalled = s.Confirmed(now, entries)
	for g := range stalled {
		if last := newest(s.reports[g]); !a.arrivedDuring(last.at, last.silent) {
			delete(stalled, g)
			withheld++
		}
	}
	return stalled, withheld
}

// newest returns the newest of some reports.
func newest(reports map[string]stallReport) stallReport {
	var last stallReport
	for _, report := range reports {
		if report.at.After(last.at) {
			last = report
		}
	}
	return last
}

// Confirmed returns the groups whose stall is confirmed, each with the time now. entries counts the
// entries that take callers' requests, by data centre.
func (s *StallReports) Confirmed(now time.Time, entries map[string]int) map[GroupEpoch]time.Time {
	out := make(map[GroupEpoch]time.Time)
	for g, reports := range s.reports {
		if isConfirmed(now, reports, entries) {
			out[g] = now
		}
		for entry, report := range reports {
			if now.Sub(report.at) > stallReportTTL {
				delete(reports, entry)
			}
		}
		if len(reports) == 0 {
			delete(s.reports, g)
		}
	}
	return out
}

// isConfirmed reports whether the reports on one group confirm each other.
func isConfirmed(now time.Time, reports map[string]stallReport, entries map[string]int) bool {
	together := make(map[string]int)
	long := 0
	for _, report := range reports {
		age := now.Sub(report.at)
		if age <= stallReportWindow {
			together[report.dataCentre]++
		}
		if report.silent >= twoReporterStall && age <= twoReporterStall {
			long++
		}
		if report.silent >= oneReporterStall && age <= stallReportWindow {
			return true
		}
	}
	all := total(entries)
	return isStall(together, len(entries), all) || long >= min(2, max(1, all))
}

// isStall reports whether reports that arrived together, counted by data centre, show a stall
// rather than a bad link. dataCentres is the number of data centres and all the number of
// entries.
func isStall(together map[string]int, dataCentres, all int) bool {
	reports := total(together)
	if len(together) >= min(2, max(1, dataCentres)) {
		return reports >= min(stallReporters, max(1, all))
	}
	return reports >= singleDataCentreReporters
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
