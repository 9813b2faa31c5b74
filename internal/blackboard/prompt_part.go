package blackboard

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// RunningPart is a part of a prompt that was running on a backend server when it crashed.
type RunningPart struct {
	Fingerprint string `json:"fingerprint"`
	Name        string `json:"name"`
	// Workspaces holds the workspaces whose requests with the part were running, at most maxPartWorkspaces.
	Workspaces []string `json:"workspaces,omitempty"`
	// SentMillis is when the last of these requests was sent, SentAgoMillis how long before the command was
	// sent; see ReportCrash.
	SentMillis    int64 `json:"sent_ms,omitempty"`
	SentAgoMillis int64 `json:"sent_ago_ms,omitempty"`
	// Answered states that the entry has answered a request with the part lately, Unanswered that it has not
	// and would know.
	Answered   bool `json:"answered,omitempty"`
	Unanswered bool `json:"unanswered,omitempty"`
}

// Add takes in a request with the part that was sent the given time before the report.
func (p *RunningPart) Add(workspace string, sentAgo time.Duration) {
	if !slices.Contains(p.Workspaces, workspace) && len(p.Workspaces) < maxPartWorkspaces {
		p.Workspaces = append(p.Workspaces, workspace)
	}
	if ago := sentAgo.Milliseconds(); p.SentAgoMillis == 0 || ago < p.SentAgoMillis {
		p.SentAgoMillis = ago
	}
}

const (
	// maxParts bounds the parts in the table of suspects.
	maxParts = 2048
	// maxPartWorkspaces is the number of workspaces from which on a part is refused to all of them.
	maxPartWorkspaces = 2
	// maxPartName bounds the name of a part, in bytes.
	maxPartName = 64
	// minPartRuns is the least number of crashes with which a part may come to be refused.
	minPartRuns = 2
	// certainPartCrashes is how many crashes are attributed to a part whether or not they followed one
	// another.
	certainPartCrashes = 5
	// unansweredSpan is how long requests with a part that was answered before must have crashed servers if
	// nothing else is answered either.
	unansweredSpan = 2 * time.Second
	// inseparableRetryAfter is the time to the first further run of requests that hold only one of several parts
	// that were always running together.
	inseparableRetryAfter = 5 * time.Second
)

// AppliesTo reports whether requests of a workspace are refused for the suspect. A part that crashed servers
// under the requests of one workspace alone is refused to that workspace alone.
func (s Suspect) AppliesTo(workspace string) bool {
	return s.Kind != CausePart || len(s.Workspaces) >= maxPartWorkspaces || slices.Contains(s.Workspaces, workspace)
}

// partRetryWaits returns the times from the last crash, or from the last further run, to each further run that is
// granted while crashes are attributed to a part; there are no others. A part that may have been answered before is
// tried again soon, as an answer clears it.
func (s Suspect) partRetryWaits() []time.Duration {
	if s.MayBeAnswered() {
		return []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Minute}
	}
	first := firstRetryAfter
	if s.Inseparable {
		first = inseparableRetryAfter
	}
	return []time.Duration{first, 10 * time.Minute, 100 * time.Minute}
}

func (s Suspect) partRetryAtMillis() int64 {
	waits := s.partRetryWaits()
	if s.Retries >= len(waits) {
		return s.LastMillis + attributedLifetime.Milliseconds()
	}
	return max(s.LastMillis, s.RetryMillis) + waits[s.Retries].Milliseconds()
}

// AwaitsComparison reports whether a part was running in so many crashes that only the answers to requests with
// other parts are missing to attribute them to it.
func (s Suspect) AwaitsComparison() bool {
	return s.Kind == CausePart && !s.Attributed && len(s.Runs) >= certainPartCrashes
}

// LacksComparison reports whether a part awaits a comparison, and no request without it has been answered that was sent
// since its first crash.
func (s Suspect) LacksComparison() bool {
	return s.AwaitsComparison() && s.OthersAnsweredMillis <= s.firstEndMillis()
}

// lacksComparisonAt reports whether an answer to a request without the part that was sent at a time is a comparison that
// the part lacks.
func (s Suspect) lacksComparisonAt(sentMillis int64) bool {
	return s.LacksComparison() && sentMillis > s.firstEndMillis()
}

// MayBeAttributed reports whether a part was running in crashes enough to be attributed to it soon.
func (s Suspect) MayBeAttributed() bool { return s.Kind == CausePart && len(s.Runs) >= minPartRuns }

// withRunningPart returns a part's row with one more run that a crash ended, and whether the row changed.
func (s Suspect) withRunningPart(p RunningPart, r CrashedRun) (Suspect, bool) {
	before := s
	s.Fingerprint, s.Kind, s.Name = p.Fingerprint, CausePart, p.Name[:min(len(p.Name), maxPartName)]
	if p.Answered && !s.AnsweredBefore {
		// It was held for a part that no entry had answered.
		s.AnsweredBefore, s.Attributed, s.Inseparable = true, false, false
	}
	s.NeverAnswered = s.NeverAnswered || p.Unanswered
	for _, w := range p.Workspaces {
		if !slices.Contains(s.Workspaces, w) && len(s.Workspaces) < maxPartWorkspaces {
			s.Workspaces = append(slices.Clone(s.Workspaces), w)
		}
	}
	if s.wasRunningOn(r.Incarnation) || s.isFullSince(r.EndMillis) {
		return s, !s.equal(before)
	}
	if len(s.Runs) >= maxRuns {
		s.Runs = slices.Delete(slices.Clone(s.Runs), s.oldestRun(), s.oldestRun()+1)
	}
	s, _ = s.withRun(r, false)
	return s, true
}

// isFullSince reports whether a part's row has no place for a crash at a time, as all in it are later.
func (s Suspect) isFullSince(endMillis int64) bool {
	return len(s.Runs) >= maxRuns && s.Runs[s.oldestRun()].EndMillis >= endMillis
}

func (s Suspect) firstEndMillis() int64 { return s.Runs[s.oldestRun()].EndMillis }

func (s Suspect) oldestRun() int {
	oldest := 0
	for i, r := range s.Runs {
		if r.EndMillis < s.Runs[oldest].EndMillis {
			oldest = i
		}
	}
	return oldest
}

// runSet identifies the set of crashed servers that a suspect was running on.
func (s Suspect) runSet() string {
	return strings.Join(slices.Sorted(maps.Keys(s.incarnations())), " ")
}
