package blackboard

import (
	"cmp"
	"maps"
	"math"
	"reflect"
	"slices"
	"time"
)

// Suspect is a request, identified by its fingerprint, that was running on backend servers
// when they crashed. Written by: entries, through ReportCrash, ClearSuspect and
// RetryAttributed. Read by: entries, which refuse a suspect once IsAttributed reports true.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
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
	// Attributed is set if crashes are attributed to the request by the runs of all suspects.
	Attributed bool  `json:"attributed,omitempty"`
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
	// clockTolerance is how far the times of two reports may be off, by the time that each took to
	// reach the leader, for a run to count as sent after a crash.
	clockTolerance = 50 * time.Millisecond
	// maxSuspects bounds the table.
	maxSuspects = 2048
)

// Lifetimes of a suspect after its last crash.
const (
	suspectLifetime    = time.Hour
	attributedLifetime = 24 * time.Hour
)

// firstRetryAfter is the time from a request's last crash until it may run once more. The time
// doubles with each further crash.
//
// The causes of crashes pass: backend servers that crash under all requests are replaced, and
// requests that were sent again and again until then must not be refused for good.
const firstRetryAfter = time.Minute

// isCleared reports whether the request was answered so often that it is not the cause of the crashes.
func (s Suspect) isCleared() bool { return s.Answers > 0 && s.Answers >= answersPerCrash*len(s.Runs) }

// IsSuspected reports whether the request may be the cause of a crash.
func (s Suspect) IsSuspected() bool { return s.Crashes > 0 && !s.isCleared() }

// NeedsAnswers reports whether an answer to the request is to be counted: its answers don't clear it of
// its crashes and of one more yet.
func (s Suspect) NeedsAnswers() bool { return s.Crashes > 0 && s.Answers < s.maxAnswers() }

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
	if s.IsAttributed() {
		lifetime = attributedLifetime
	}
	return s.LastMillis + lifetime.Milliseconds()
}

// RetryAtMillis returns from when on an attributed request may run once more.
func (s Suspect) RetryAtMillis() int64 {
	wait := min(firstRetryAfter<<min(s.Retries, 16), attributedLifetime)
	return max(s.LastMillis, s.RetryMillis) + wait.Milliseconds()
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

// withoutRunsAfter returns the suspect without a run on a crashed incarnation that was sent after
// the crash.
func (s Suspect) withoutRunsAfter(crash int64, incarnation string) Suspect {
	isAfter := func(r CrashedRun) bool {
		return r.Incarnation == incarnation && r.SentMillis > crash+clockTolerance.Milliseconds()
	}
	if slices.ContainsFunc(s.Runs, isAfter) {
		s.Runs = slices.DeleteFunc(slices.Clone(s.Runs), isAfter)
		s.Crashes = successiveRuns(s.Runs)
	}
	return s
}

func (s Suspect) equal(other Suspect) bool {
	hasSameCounts := s.Crashes == other.Crashes && s.Alone == other.Alone && s.Attributed == other.Attributed &&
		s.Answers == other.Answers
	hasSameTimes := s.LastMillis == other.LastMillis && s.Retries == other.Retries && s.RetryMillis == other.RetryMillis
	return s.Fingerprint == other.Fingerprint && hasSameCounts && hasSameTimes && slices.Equal(s.Runs, other.Runs)
}

func (s Suspect) wasRunningOn(incarnation string) bool {
	return slices.ContainsFunc(s.Runs, func(r CrashedRun) bool { return r.Incarnation == incarnation })
}

// wasRunningInAllOf reports whether each crash of another suspect also ended a run of this one.
func (s Suspect) wasRunningInAllOf(other Suspect) bool {
	for _, r := range other.Runs {
		if !s.wasRunningOn(r.Incarnation) {
			return false
		}
	}
	return true
}

// successiveRuns returns the largest number of runs each of which was sent after the one before
// it in its data centre had ended.
//
// Failure: a data centre fails, and a request that many callers send at the same time is running
// on many of its backend servers. They all crash at once, whatever ran on them. Servers of several
// data centres that crash at once have the request in common.
func successiveRuns(runs []CrashedRun) int {
	runs = slices.SortedFunc(slices.Values(runs), func(a, b CrashedRun) int { return cmp.Compare(a.EndMillis, b.EndMillis) })
	n := 0
	ends := make(map[string]int64)
	for _, r := range runs {
		end, ok := ends[r.DataCentre]
		if !ok || r.SentMillis+clockTolerance.Milliseconds() >= end {
			n++
			ends[r.DataCentre] = r.EndMillis
		}
	}
	return n
}

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

// attribute decides again which of the suspects that were running on a crashed incarnation the
// crashes are attributed to.
//
// Failure: requests that a crash cuts are sent to another group at once, where the request that
// causes the crashes may follow. After three crashes some of them have been in all three by
// chance. They differ from the cause in the crashes of which they were in no part, so a suspect
// is blamed once no other one was in all of its crashes.
func attribute(suspects map[string]Suspect, incarnation string) {
	var candidates []string
	for f, s := range suspects {
		if s.Crashes >= isolatedCrashes && s.wasRunningOn(incarnation) {
			candidates = append(candidates, f)
		}
	}
	if len(candidates) == 0 {
		return
	}
	// The order matters, as attributed crashes count as explained.
	slices.Sort(candidates)
	unexplained := unexplainedCrashes(suspects)
	for _, f := range candidates {
		s := suspects[f]
		isAttributed := isCause(suspects, neededCrashes(unexplained, s), s)
		if isAttributed != s.Attributed {
			s.Attributed = isAttributed
			suspects[f] = s
			unexplained = unexplainedCrashes(suspects)
		}
	}
}

// isCause reports whether a suspect's crashes are attributed to it. One that ran alone in a crash needs
// fewer, and no comparison with others.
func isCause(suspects map[string]Suspect, needed int, s Suspect) bool {
	if s.Alone > 0 && s.Crashes >= needed+isolatedCrashes-attributedCrashes {
		return true
	}
	return s.Crashes >= needed && (s.Crashes >= inseparableCrashes || coveringSuspect(suspects, s) == "")
}

// neededCrashes returns how many crashes are attributed to a suspect: one more if backend servers of its
// pool have crashed without it meanwhile and nobody is blamed for that.
//
// Failure: backend servers crash by themselves, one after the other. A request that is sent on
// after each crash is running in three of them by chance, or in two, alone in one of them.
func neededCrashes(unexplained map[string]CrashedRun, s Suspect) int {
	first, pool := s.Runs[0].SentMillis, s.Runs[0].Pool
	for _, r := range s.Runs {
		first = min(first, r.SentMillis)
	}
	for incarnation, last := range unexplained {
		if last.Pool == pool && last.EndMillis >= first && !s.wasRunningOn(incarnation) {
			return crashesAmongOthers
		}
	}
	return attributedCrashes
}

// unexplainedCrashes returns the last run that was ended by each crash that is attributed to no suspect,
// by incarnation.
func unexplainedCrashes(suspects map[string]Suspect) map[string]CrashedRun {
	explained := make(map[string]bool)
	for _, s := range suspects {
		if !s.IsAttributed() {
			continue
		}
		for _, r := range s.Runs {
			explained[r.Incarnation] = true
		}
	}
	unexplained := make(map[string]CrashedRun)
	for _, s := range suspects {
		for _, r := range s.Runs {
			if last, ok := unexplained[r.Incarnation]; !explained[r.Incarnation] && (!ok || r.EndMillis > last.EndMillis) {
				unexplained[r.Incarnation] = r
			}
		}
	}
	return unexplained
}

// coveringSuspect returns the first other suspect, by fingerprint, that was running in all crashes
// of s and is not cleared, or "".
func coveringSuspect(suspects map[string]Suspect, s Suspect) string {
	first := ""
	for f, other := range suspects {
		if f != s.Fingerprint && (first == "" || f < first) && !other.isCleared() && other.wasRunningInAllOf(s) {
			first = f
		}
	}
	return first
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

// ClearSuspect counts answers to a suspect, or removes it if there are none: its last crash was long
// ago.
type ClearSuspect struct {
	Fingerprint string `json:"fingerprint"`
	// Answers counts complete answers of runs that were sent when the request was a suspect. Control
	// processes of older versions remove a suspect that was answered.
	Answers int `json:"answers,omitempty"`
	// Granted states that a further run of an attributed request was answered. That clears the
	// request until its next crash.
	Granted bool `json:"granted,omitempty"`
}

// Answered returns the command that counts an answer to a suspect. One that ran alone speaks against a
// whole crash.
func Answered(fingerprint string, alone, granted bool) *ClearSuspect {
	c := &ClearSuspect{Fingerprint: fingerprint, Answers: 1, Granted: granted}
	if alone {
		c.Answers = answersPerCrash
	}
	return c
}

func (c ClearSuspect) apply(d *draft) (any, bool) {
	suspects := cloneMap(d.Suspects)
	if !c.changeSuspects(suspects) {
		return refused("no suspect")
	}
	d.Suspects = suspects
	return applied()
}

func (c ClearSuspect) changeSuspects(suspects map[string]Suspect) bool {
	s, ok := suspects[c.Fingerprint]
	switch {
	case !ok:
		return false
	case c.Answers == 0:
		delete(suspects, c.Fingerprint)
		return true
	case !s.NeedsAnswers():
		return false
	}
	wasCleared := s.isCleared()
	s.Answers = min(s.Answers+c.Answers, s.maxAnswers())
	if c.Granted {
		s.Answers = max(s.Answers, answersPerCrash*len(s.Runs))
	}
	suspects[c.Fingerprint] = s
	if s.isCleared() == wasCleared {
		return true
	}
	// The request no longer hides another one that was in the same crashes.
	for _, r := range s.Runs {
		attribute(suspects, r.Incarnation)
	}
	return true
}

// RetryAttributed requests that a request which crashes are attributed to may run once more. The
// entry that it is granted to runs the request once.
type RetryAttributed struct {
	Fingerprint string `json:"fingerprint"`
	NowMillis   int64  `json:"now_ms"`
}

func (c *RetryAttributed) setTimes(now time.Time) { c.NowMillis = now.UnixMilli() }

func (c RetryAttributed) apply(d *draft) (any, bool) {
	s, ok := d.Suspects[c.Fingerprint]
	if !ok || !s.IsAttributed() {
		return refused("no crashes are attributed to the request")
	}
	if c.NowMillis < s.RetryAtMillis() {
		return refused("the request may not run yet")
	}
	s.Retries++
	s.RetryMillis = c.NowMillis
	d.Suspects = cloneMap(d.Suspects)
	d.Suspects[c.Fingerprint] = s
	return applied()
}
