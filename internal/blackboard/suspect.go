package blackboard

import (
	"cmp"
	"slices"
	"time"
)

// Suspect is a request, identified by its fingerprint, that was running on backend servers
// when they crashed. Written by: entries, through ReportCrash, ForgetSuspect and
// RetryAttributed. Read by: entries, which refuse a suspect once IsAttributed reports true.
type Suspect struct {
	Fingerprint string `json:"fingerprint"`
	// Crashes counts the crashes that followed one another: the run that each of them ended was
	// sent after the crash before it.
	Crashes int `json:"crashes"`
	// Alone counts those that crashed while no other request was running on them.
	Alone int `json:"alone"`
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
// the reporting entry's clock.
type CrashedRun struct {
	Incarnation string `json:"incarnation"`
	SentMillis  int64  `json:"sent_ms"`
	EndMillis   int64  `json:"end_ms"`
}

const (
	// attributedCrashes is how many crashes that followed one another are attributed to a
	// request, if no other suspect was running in all of them. In fewer, requests that are sent
	// again after a crash meet the request that causes it once more by chance.
	attributedCrashes = 3
	// inseparableCrashes is how many are attributed although another suspect was running in all
	// of them.
	inseparableCrashes = 6
	// maxRuns bounds the runs of one suspect. It is above inseparableCrashes, so that a suspect
	// that crashes are attributed to covers the runs of the others.
	maxRuns = 16
	// clockTolerance is the difference between the clocks of two entries at which a run still
	// counts as sent after a crash.
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
const firstRetryAfter = 5 * time.Minute

// IsAttributed reports whether crashes are attributed to the request: it ran alone in one of two
// crashes, or it alone was running in all of several.
func (s Suspect) IsAttributed() bool {
	// Rows of older versions have no runs.
	byCount := len(s.Runs) == 0 && s.Crashes >= attributedCrashes
	return (s.Alone >= 1 && s.Crashes >= 2) || s.Attributed || byCount
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
// it had ended.
//
// Failure: a data centre fails, and a request that many callers send at the same time is running
// on many of its backend servers. They all crash at once, whatever ran on them.
func successiveRuns(runs []CrashedRun) int {
	runs = slices.SortedFunc(slices.Values(runs), func(a, b CrashedRun) int { return cmp.Compare(a.EndMillis, b.EndMillis) })
	n := 0
	var end int64
	for _, r := range runs {
		if n == 0 || r.SentMillis+clockTolerance.Milliseconds() >= end {
			n, end = n+1, r.EndMillis
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
	// Alone states that a single request was in flight on the backend server.
	Alone bool `json:"alone"`
	// NowMillis is the time of the crash.
	NowMillis int64 `json:"now_ms"`
}

func (c ReportCrash) apply(d *draft) (any, bool) {
	suspects := cloneMap(d.Suspects)
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
	if !changed {
		return refused("counted already")
	}
	attribute(suspects, c.Incarnation)
	for len(suspects) > maxSuspects {
		delete(suspects, leastSuspect(suspects))
	}
	d.Suspects = suspects
	return applied()
}

func (c ReportCrash) run(i int) CrashedRun {
	r := CrashedRun{Incarnation: c.Incarnation, SentMillis: c.NowMillis, EndMillis: c.NowMillis}
	if i < len(c.SentMillis) {
		r.SentMillis = c.SentMillis[i]
	}
	return r
}

// attribute decides again which of the suspects that were running on a crashed incarnation the
// crashes are attributed to.
//
// Failure: requests that a crash cuts are sent to another group at once, where the request that
// causes the crashes may follow. After three crashes some of them have been in all three by
// chance. They differ from the cause in the crashes of which they were in no part, so a suspect
// is blamed once no other one was in all of its crashes.
func attribute(suspects map[string]Suspect, incarnation string) {
	for f, s := range suspects {
		if s.Crashes < attributedCrashes || !s.wasRunningOn(incarnation) {
			continue
		}
		isAttributed := s.Crashes >= inseparableCrashes || !isCoveredByAnother(suspects, s)
		if isAttributed != s.Attributed {
			s.Attributed = isAttributed
			suspects[f] = s
		}
	}
}

func isCoveredByAnother(suspects map[string]Suspect, s Suspect) bool {
	for f, other := range suspects {
		if f != s.Fingerprint && other.wasRunningInAllOf(s) {
			return true
		}
	}
	return false
}

// leastSuspect returns the suspect to remove from a full table: one without attributed crashes
// before others, then the one whose last crash is the oldest.
func leastSuspect(suspects map[string]Suspect) string {
	least := ""
	for _, f := range sortedKeys(suspects) {
		if least == "" || isLessSuspect(suspects[f], suspects[least]) {
			least = f
		}
	}
	return least
}

func isLessSuspect(a, b Suspect) bool {
	if a.IsAttributed() != b.IsAttributed() {
		return b.IsAttributed()
	}
	return a.LastMillis < b.LastMillis
}

// ForgetSuspect removes a suspect that was answered completely, or whose last crash was long ago.
type ForgetSuspect struct {
	Fingerprint string `json:"fingerprint"`
}

func (c ForgetSuspect) apply(d *draft) (any, bool) {
	if _, ok := d.Suspects[c.Fingerprint]; !ok {
		return refused("no suspect")
	}
	d.Suspects = cloneMap(d.Suspects)
	delete(d.Suspects, c.Fingerprint)
	return applied()
}

// RetryAttributed requests that a request which crashes are attributed to may run once more. The
// entry that it is granted to runs the request once.
type RetryAttributed struct {
	Fingerprint string `json:"fingerprint"`
	NowMillis   int64  `json:"now_ms"`
}

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
