package blackboard

import (
	"slices"
	"time"
)

// CauseKind tells what a suspect is.
type CauseKind string

// The kinds of causes that crashes may have.
const (
	// CauseRequest is a request with all that it holds.
	CauseRequest CauseKind = ""
	// CausePart is a part of prompts that several requests have in common.
	CausePart CauseKind = "prompt_part"
)

// Suspect is a possible cause of crashes, identified by its fingerprint: it was running on backend
// servers when they crashed. Written by: entries, through ReportCrash, ClearSuspect and
// RetryAttributed. Read by: entries, which refuse the requests of a suspect once IsAttributed reports
// true.
type Suspect struct {
	Fingerprint string    `json:"fingerprint"`
	Kind        CauseKind `json:"kind,omitempty"`
	// Name is the start of the name that callers give a part; empty for a request.
	Name string `json:"name,omitempty"`
	// Workspaces holds the first maxPartWorkspaces workspaces under whose requests with a part servers
	// crashed.
	Workspaces []string `json:"workspaces,omitempty"`
	// AnsweredBefore is set if an entry had answered the request, or one with the part, before one of the crashes.
	// NeverAnswered is set for a part if an entry that would know had not. AnsweredMillis is when the last run with a
	// part was sent that has been answered since the first crash.
	AnsweredBefore bool  `json:"answered_before,omitempty"`
	NeverAnswered  bool  `json:"never_answered,omitempty"`
	AnsweredMillis int64 `json:"answered_ms,omitempty"`
	// OthersAnsweredMillis is when a run of a request without the part was sent that the part's pool has answered while
	// the part awaited a comparison.
	OthersAnsweredMillis int64 `json:"others_answered_ms,omitempty"`
	// Inseparable is set if crashes are attributed to a part that another one was always running with.
	Inseparable bool `json:"inseparable,omitempty"`
	// Crashes counts the crashes that followed one another in a data centre, over all data centres: the
	// run that each of them ended was sent after the crash before it there.
	Crashes int `json:"crashes"`
	// Alone counts those that crashed while no other request was running on them.
	Alone int `json:"alone"`
	// Answers counts complete answers of runs that were sent when the request was a suspect already,
	// up to as many as clear it of one more crash than it has.
	Answers int `json:"answers,omitempty"`
	// Runs holds the request's runs that a crash ended, at most maxRuns.
	Runs []CrashedRun `json:"runs,omitempty"`
	// Attributed is set if crashes are attributed to the request by the runs of all suspects, Doubtful if these
	// crashes may still have another cause.
	Attributed bool `json:"attributed,omitempty"`
	Doubtful   bool `json:"doubtful,omitempty"`
	// Unsettled is set if another suspect was running in all but one of these crashes, of which reports may be missing.
	Unsettled  bool  `json:"unsettled,omitempty"`
	LastMillis int64 `json:"last_ms"`
	// Retries counts the further runs that were granted to an attributed request, and
	// RetryMillis is the time of the last grant.
	Retries     int   `json:"retries,omitempty"`
	RetryMillis int64 `json:"retry_ms,omitempty"`
}

// CrashedRun is one run of a request that the crash of its backend server ended. The times are of
// the leader's clock.
type CrashedRun struct {
	Incarnation string `json:"incarnation"`
	// Pool is the model or the plain service that the backend server served, DataCentre where it was;
	// empty in reports of older versions.
	Pool       string `json:"pool,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	SentMillis int64  `json:"sent_ms"`
	EndMillis  int64  `json:"end_ms"`
	// BusyTargets is how many targets of the pool had requests in flight; 0 in reports of older versions.
	BusyTargets int `json:"busy_targets,omitempty"`
	// HasSilentEntries is set if several entries did not answer when they were asked about the crash: what they were
	// running there, and which other crashes they have seen, is not known.
	HasSilentEntries bool `json:"silent_entries,omitempty"`
}

const (
	// attributedCrashes is how many crashes that followed one another are attributed to a
	// request, if no other suspect was running in all of them. In fewer, requests that are sent
	// again after a crash meet the request that causes it once more by chance.
	attributedCrashes = 3
	// isolatedCrashes is how many are attributed to a request that ran alone in one of them.
	isolatedCrashes = 2
	// crashesAmongOthers is how many are attributed if backend servers of the pool also crashed
	// without the request in that time, for no known cause.
	crashesAmongOthers = 4
	// inseparableCrashes is how many are attributed although another suspect was running in all
	// of them.
	inseparableCrashes = 5
	// answersPerCrash is how many answers speak against one crash. A request that crashes its backend
	// server every other time is not cleared by the answers in between.
	answersPerCrash = 2
	// maxRuns bounds the runs of one suspect. It is above inseparableCrashes, so that a suspect
	// that crashes are attributed to covers the runs of the others.
	maxRuns = 16
	// briefRun is the length below which a run may have been sent to a server that had crashed already.
	briefRun = 2 * time.Millisecond
	// clockTolerance is how far the times of two reports may be off, by the time that each took to
	// reach the leader, for a run to count as sent after a crash.
	clockTolerance = 50 * time.Millisecond
	// maxSuspects bounds the table.
	maxSuspects = 2048
)

// Lifetimes of a suspect after its last crash.
const (
	suspectLifetime    = time.Hour
	partLifetime       = 10 * time.Minute
	attributedLifetime = 24 * time.Hour
)

// firstRetryAfter is the time from a request's last crash until it may run once more. The time
// doubles with each further crash.
//
// The causes of crashes pass: backend servers that crash under all requests are replaced, and
// requests that were sent again and again until then must not be refused for good.
const firstRetryAfter = time.Minute

const (
	// earlyRetryAfter is the same time for a request whose crashes may have another cause. Of one pool, one such
	// request runs at a time, for earlyRetryTime at most: one must not crash the server of the other.
	earlyRetryAfter = time.Second
	earlyRetryTime  = 3 * time.Second
	// maxDoubtfulRuns bounds the crashes of such a request together with these further runs.
	maxDoubtfulRuns = attributedCrashes + 3
)

// isCleared reports whether the request was answered so often that it is not the cause of the crashes.
func (s Suspect) isCleared() bool { return s.Answers > 0 && s.Answers >= answersPerCrash*len(s.Runs) }

// IsSuspected reports whether the request may be the cause of a crash.
func (s Suspect) IsSuspected() bool { return s.Crashes > 0 && !s.isCleared() }

// NeedsAnswers reports whether an answer to the request is to be counted: its answers don't clear it of
// its crashes and of one more yet.
func (s Suspect) NeedsAnswers() bool {
	if s.Kind == CausePart {
		return len(s.Runs) > 0
	}
	return s.Crashes > 0 && s.Answers < s.maxAnswers()
}

func (s Suspect) maxAnswers() int { return answersPerCrash * (len(s.Runs) + 1) }

// IsAttributed reports whether crashes are attributed to the request: it ran alone in one of two
// crashes, or it alone was running in all of several, and answers don't clear it.
func (s Suspect) IsAttributed() bool {
	if s.isCleared() {
		return false
	}
	if len(s.Runs) > 0 {
		return s.Attributed
	}
	// Rows of older versions have no runs.
	return (s.Alone >= 1 && s.Crashes >= isolatedCrashes) || s.Crashes >= attributedCrashes
}

// ExpiresMillis returns when the suspect is to be forgotten.
func (s Suspect) ExpiresMillis() int64 {
	lifetime := suspectLifetime
	if s.Kind == CausePart {
		lifetime = partLifetime
	}
	if s.IsAttributed() {
		lifetime = attributedLifetime
	}
	return s.LastMillis + lifetime.Milliseconds()
}

// RetryAtMillis returns from when on an attributed request may run once more.
func (s Suspect) RetryAtMillis() int64 {
	if s.Kind == CausePart {
		return s.partRetryAtMillis()
	}
	wait := min(firstRetryAfter<<min(s.Retries, 16), attributedLifetime)
	if s.mayRetryEarly() {
		wait = earlyRetryAfter
	}
	return max(s.LastMillis, s.RetryMillis) + wait.Milliseconds()
}

// mayRetryEarly reports whether an attributed request may run once more soon, as its crashes may have another cause.
// While entries are silent it may not: they may have seen other crashes.
func (s Suspect) mayRetryEarly() bool {
	return s.Doubtful && !s.hasSilentRuns() && len(s.Runs)+s.Retries < maxDoubtfulRuns
}

// withRun returns the suspect with one more run that a crash ended, and whether the run was not
// known yet. Several entries may report runs in one crash.
func (s Suspect) withRun(r CrashedRun, alone bool) (Suspect, bool) {
	if s.wasRunningOn(r.Incarnation) || len(s.Runs) >= maxRuns {
		return s, false
	}
	s.Runs = append(slices.Clone(s.Runs), r)
	s.Crashes = max(s.Crashes, successiveRuns(s.Runs))
	if alone {
		s.Alone++
	}
	s.LastMillis = max(s.LastMillis, r.EndMillis)
	return s, true
}

// withoutRunsAfter returns the suspect without the runs on crashed incarnations that were sent after the crash, and
// whether there were any. crashes holds the time of the crash by incarnation.
func (s Suspect) withoutRunsAfter(crashes map[string]int64) (Suspect, bool) {
	isAfter := func(r CrashedRun) bool {
		crash, ok := crashes[r.Incarnation]
		return ok && r.SentMillis > crash+clockTolerance.Milliseconds()
	}
	if !slices.ContainsFunc(s.Runs, isAfter) {
		return s, false
	}
	s.Runs = slices.DeleteFunc(slices.Clone(s.Runs), isAfter)
	s.Crashes = successiveRuns(s.Runs)
	return s, true
}

func (s Suspect) equal(other Suspect) bool {
	isSameCause := s.Fingerprint == other.Fingerprint && s.Kind == other.Kind && s.Name == other.Name &&
		slices.Equal(s.Workspaces, other.Workspaces) && s.AnsweredBefore == other.AnsweredBefore &&
		s.NeverAnswered == other.NeverAnswered && s.AnsweredMillis == other.AnsweredMillis &&
		s.OthersAnsweredMillis == other.OthersAnsweredMillis && s.Inseparable == other.Inseparable
	hasSameCounts := s.Crashes == other.Crashes && s.Alone == other.Alone && s.Attributed == other.Attributed &&
		s.Doubtful == other.Doubtful && s.Unsettled == other.Unsettled && s.Answers == other.Answers
	hasSameTimes := s.LastMillis == other.LastMillis && s.Retries == other.Retries && s.RetryMillis == other.RetryMillis
	return isSameCause && hasSameCounts && hasSameTimes && slices.Equal(s.Runs, other.Runs)
}

func (s Suspect) firstSentMillis() int64 {
	first := s.Runs[0].SentMillis
	for _, r := range s.Runs {
		first = min(first, r.SentMillis)
	}
	return first
}

// incarnations returns the set of incarnations whose crashes ended runs of the suspect.
func (s Suspect) incarnations() map[string]bool {
	incarnations := make(map[string]bool, len(s.Runs))
	for _, r := range s.Runs {
		incarnations[r.Incarnation] = true
	}
	return incarnations
}

// wasRunningOnAny reports whether the suspect was running on one of some crashed incarnations.
func (s Suspect) wasRunningOnAny(incarnations map[string]bool) bool {
	return slices.ContainsFunc(s.Runs, func(r CrashedRun) bool { return incarnations[r.Incarnation] })
}

// hasOnlyBriefRuns reports whether each run may have been sent to a server that had crashed already.
func (s Suspect) hasOnlyBriefRuns() bool {
	return !slices.ContainsFunc(s.Runs, func(r CrashedRun) bool { return r.EndMillis-r.SentMillis >= briefRun.Milliseconds() })
}

// hasOnlySilentRuns reports whether entries were silent about each of the crashes.
func (s Suspect) hasOnlySilentRuns() bool {
	return !slices.ContainsFunc(s.Runs, func(r CrashedRun) bool { return !r.HasSilentEntries })
}

// hasSilentRuns reports whether entries were silent about one of the crashes.
func (s Suspect) hasSilentRuns() bool {
	return slices.ContainsFunc(s.Runs, func(r CrashedRun) bool { return r.HasSilentEntries })
}

func (s Suspect) wasRunningOn(incarnation string) bool {
	return slices.ContainsFunc(s.Runs, func(r CrashedRun) bool { return r.Incarnation == incarnation })
}

// runsWithout counts the crashes of the suspect that ended no run of another one.
func (s Suspect) runsWithout(other Suspect) int {
	n := 0
	for _, r := range s.Runs {
		if !other.wasRunningOn(r.Incarnation) {
			n++
		}
	}
	return n
}

// wasRunningInAllOf reports whether each crash of another suspect also ended a run of this one.
func (s Suspect) wasRunningInAllOf(other Suspect) bool {
	if len(s.Runs) < len(other.Runs) {
		return false
	}
	for _, r := range other.Runs {
		if !s.wasRunningOn(r.Incarnation) {
			return false
		}
	}
	return true
}
