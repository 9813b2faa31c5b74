package blackboard

import (
	"slices"
	"time"
)

// ClearSuspect counts answers to a suspect, or removes it if there are none: its last crash was long ago. An answer to a
// request without a part (Without) clears nothing, but shows that the part's pool still answers.
type ClearSuspect struct {
	Fingerprint string `json:"fingerprint"`
	// Without is the part that the answered request did not hold; Fingerprint is empty then.
	Without string `json:"without,omitempty"`
	// Answers counts complete answers of runs that were sent when the request was a suspect. Control
	// processes of older versions remove a suspect that was answered.
	Answers int `json:"answers,omitempty"`
	// Granted states that a further run of an attributed request was answered. That clears the
	// request until its next crash.
	Granted bool `json:"granted,omitempty"`
	// SentMillis is when the answered run was sent, SentAgoMillis how long before the command was sent; see
	// ReportCrash. They are set for parts of prompts alone.
	SentMillis    int64 `json:"sent_ms,omitempty"`
	SentAgoMillis int64 `json:"sent_ago_ms,omitempty"`
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

// IsIn reports whether the command changes nothing in a table.
func (c ClearSuspect) IsIn(suspects map[string]Suspect) bool {
	if c.Without != "" {
		return !suspects[c.Without].lacksComparisonAt(c.SentMillis)
	}
	s, ok := suspects[c.Fingerprint]
	switch {
	case !ok:
		return true
	case c.Answers == 0:
		return false
	case s.Kind == CausePart:
		return !slices.ContainsFunc(s.Runs, c.clearsRun)
	}
	return !s.NeedsAnswers()
}

// clearsRun reports whether an answer to a part clears it of a crash: what crashes each server that begins to answer it
// had not been answered later.
func (c ClearSuspect) clearsRun(r CrashedRun) bool {
	return c.Granted || r.EndMillis+clockTolerance.Milliseconds() <= c.SentMillis
}

func (c ClearSuspect) apply(d *draft) (any, bool) {
	if c.IsIn(d.Suspects) {
		return refused("no suspect")
	}
	d.cloneSuspectsOnce()
	c.changeSuspects(d.Suspects)
	return applied()
}

func (c ClearSuspect) changeSuspects(suspects map[string]Suspect) bool {
	if c.IsIn(suspects) {
		return false
	}
	if c.Without != "" {
		c.compare(suspects)
		return true
	}
	s := suspects[c.Fingerprint]
	switch {
	case c.Answers == 0:
		delete(suspects, c.Fingerprint)
		return true
	case s.Kind == CausePart:
		c.clearPart(suspects, s)
		return true
	}
	wasCleared, wasAnswered := s.isCleared(), s.Answers > 0
	s.Answers = min(s.Answers+c.Answers, s.maxAnswers())
	if c.Granted {
		s.Answers = max(s.Answers, answersPerCrash*len(s.Runs))
	}
	suspects[c.Fingerprint] = s
	if wasAnswered && s.isCleared() == wasCleared {
		return true
	}
	// The request no longer hides another one that was in the same crashes.
	a := attributor{suspects: suspects}
	a.attributeRequests(s.incarnations())
	return true
}

// AnsweredPart returns the command that takes in an answer to a request with a part. Its run was sent the given
// time ago.
func AnsweredPart(fingerprint string, sentAgo time.Duration, granted bool) *ClearSuspect {
	return &ClearSuspect{Fingerprint: fingerprint, Answers: 1, Granted: granted, SentAgoMillis: max(1, sentAgo.Milliseconds())}
}

// AnsweredWithout returns the command that takes in an answer of a part's pool to a request without the part, whose run
// was sent the given time ago. Control processes of older versions know no suspect of an empty fingerprint and change nothing.
func AnsweredWithout(part string, sentAgo time.Duration) *ClearSuspect {
	return &ClearSuspect{Without: part, Answers: 1, SentAgoMillis: max(1, sentAgo.Milliseconds())}
}

// After returns the command as it is to be sent now, a while after it was made.
func (c *ClearSuspect) After(passed time.Duration, now time.Time) *ClearSuspect {
	next := *c
	if c.SentAgoMillis > 0 {
		next.SentAgoMillis += passed.Milliseconds()
		next.SentMillis = now.UnixMilli() - next.SentAgoMillis
	}
	return &next
}

func (c *ClearSuspect) setTimes(now time.Time) {
	if c.SentAgoMillis > 0 {
		c.SentMillis, c.SentAgoMillis = now.UnixMilli()-c.SentAgoMillis, 0
	}
}

// compare records that a part's pool has answered a request without it.
func (c ClearSuspect) compare(suspects map[string]Suspect) {
	s := suspects[c.Without]
	s.OthersAnsweredMillis = max(s.OthersAnsweredMillis, c.SentMillis)
	suspects[c.Without] = s
	a := attributor{suspects: suspects}
	a.attributeParts()
}

// clearPart clears a part of the crashes before the answered run was sent.
func (c ClearSuspect) clearPart(suspects map[string]Suspect, s Suspect) {
	incarnations := s.incarnations()
	s.Runs = slices.DeleteFunc(slices.Clone(s.Runs), c.clearsRun)
	s.Crashes = successiveRuns(s.Runs)
	s.AnsweredBefore, s.AnsweredMillis = true, max(s.AnsweredMillis, c.SentMillis)
	s.Attributed, s.Inseparable, s.Retries, s.RetryMillis = false, false, 0, 0
	suspects[s.Fingerprint] = s
	a := attributor{suspects: suspects}
	a.attributeParts()
	// The part no longer explains the crashes of a request that holds it.
	a.attributeRequests(incarnations)
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
	if isAnotherRetried(d.Suspects, s, c.NowMillis) {
		return refused("another request of the pool runs once more")
	}
	s.Retries++
	s.RetryMillis = c.NowMillis
	d.cloneSuspectsOnce()
	d.Suspects[c.Fingerprint] = s
	return applied()
}

// isAnotherRetried reports whether another request that crashes of the pool are attributed to may be running once more
// right now.
func isAnotherRetried(suspects map[string]Suspect, s Suspect, nowMillis int64) bool {
	if !s.mayRetryEarly() {
		return false
	}
	for _, other := range suspects {
		isSamePool := len(other.Runs) > 0 && other.Runs[0].Pool == s.Runs[0].Pool
		isUnderWay := other.RetryMillis > other.LastMillis && nowMillis < other.RetryMillis+earlyRetryTime.Milliseconds()
		if other.Fingerprint != s.Fingerprint && isSamePool && isUnderWay && other.IsAttributed() {
			return true
		}
	}
	return false
}
