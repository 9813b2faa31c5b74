package blackboard

import "time"

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
