package entry

import (
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
)

const (
	// answerMemory is the least time for which a request counts as answered lately.
	answerMemory = 30 * time.Second
	// maxRecentAnswers bounds each half of the memory. With more answers in answerMemory, the
	// oldest are forgotten earlier.
	maxRecentAnswers = 8192
	// attributionGrace is how long a request that was answered lately is still sent after crashes are
	// attributed to it: until the reports of all entries about the last crash have been written. It
	// lies well within the time in which a request that has come to crash its servers must be stopped.
	attributionGrace = 500 * time.Millisecond
	// settleTime is how long a request is still sent after crashes are attributed to it if reports about the last of
	// them may be missing: two entries that look for one crash end up to that far apart.
	settleTime = 250 * time.Millisecond
	// partGraceLength is the same for a part of prompts: until requests with it that were sent since its crashes have
	// been answered.
	partGraceLength = 2 * time.Second
	// answerHistory is how long an entry has to run to know that it has not answered something lately.
	answerHistory = 10 * time.Second
)

// answerGrace tells the requests, or the parts of prompts, that this entry has answered lately. It is safe for
// concurrent use.
//
// Failure: entries report a crash one after the other. Until the report about its cause is written, a
// popular request that was running there, or one that has followed the cause from server to server, stands alone in
// three crashes, and is refused.
type answerGrace struct {
	// length is for how long after its attribution a suspect is still sent.
	length time.Duration
	// startedAt is the start of this process.
	startedAt time.Time

	mu sync.Mutex
	// current and previous hold the fingerprints of answered requests; current was begun at since.
	current, previous map[string]bool
	since             time.Time
	// isSet is set once setAttributed has been called.
	isSet bool
	// attributed holds since when crashes are attributed to requests that were answered.
	attributed map[string]time.Time
}

func newAnswerGrace(now time.Time, length time.Duration) *answerGrace {
	return &answerGrace{
		length: length, startedAt: now, since: now,
		current: make(map[string]bool), attributed: make(map[string]time.Time),
	}
}

// answered records an answer.
func (g *answerGrace) answered(now time.Time, fingerprint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.since) >= answerMemory || len(g.current) >= maxRecentAnswers {
		g.previous, g.current, g.since = g.current, make(map[string]bool), now
	}
	g.current[fingerprint] = true
}

// wasAnswered reports whether this entry has answered something lately. It can't tell (isKnown) if it has not
// and started a short time ago.
func (g *answerGrace) wasAnswered(now time.Time, fingerprint string) (answered, isKnown bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	answered = g.current[fingerprint] || g.previous[fingerprint]
	return answered, answered || now.Sub(g.startedAt) >= answerHistory
}

// isSettling reports whether crashes have just been attributed to a suspect. The time runs from setAttributed or the
// first call, as that of allows does.
func (g *answerGrace) isSettling(now time.Time, fingerprint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.attributedSince(now, fingerprint)) < settleTime
}

// attributedSince returns since when crashes are attributed to a suspect. The caller holds the lock.
func (g *answerGrace) attributedSince(now time.Time, fingerprint string) time.Time {
	since, ok := g.attributed[fingerprint]
	if !ok {
		since = now
		g.attributed[fingerprint] = since
	}
	return since
}

// isAttributed reports whether the grace of a suspect has begun.
func (g *answerGrace) isAttributed(fingerprint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.attributed[fingerprint]
	return ok
}

// setAttributed sets the suspects that crashes are attributed to. The grace of new ones runs from now; that of
// those in the first call is over, as this process has just started.
func (g *answerGrace) setAttributed(now time.Time, fingerprints map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for f := range g.attributed {
		if !fingerprints[f] {
			delete(g.attributed, f)
		}
	}
	if !g.isSet {
		now = now.Add(-g.length)
	}
	g.isSet = true
	for f := range fingerprints {
		if _, ok := g.attributed[f]; !ok {
			g.attributed[f] = now
		}
	}
}

// allows reports whether a suspect that crashes are attributed to is still sent, as this entry has answered it lately or
// all entries give it the grace. The time runs once for each suspect, from setAttributed or the first call,
// until cleared is called.
func (g *answerGrace) allows(now time.Time, fingerprint string, isGivenByAll bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isGivenByAll && !g.current[fingerprint] && !g.previous[fingerprint] {
		return false
	}
	return now.Sub(g.attributedSince(now, fingerprint)) < g.length
}

// cleared records that no crashes are attributed to a request.
func (g *answerGrace) cleared(fingerprint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.attributed, fingerprint)
}

// noteSuspectsOfBoard starts the grace of the suspects that crashes are attributed to, and ends that of others. Only
// ApplyBoard calls it.
func (s *Server) noteSuspectsOfBoard(now time.Time) {
	suspects := s.suspects()
	if blackboard.IsSameTable(s.gracedSuspects, suspects) {
		return
	}
	s.gracedSuspects = suspects
	parts, requests, awaitsComparison := make(map[string]bool), make(map[string]bool), false
	var added, uncompared []blackboard.Suspect
	for f, suspect := range suspects {
		awaitsComparison = awaitsComparison || suspect.AwaitsComparison()
		if suspect.LacksComparison() {
			uncompared = append(uncompared, suspect)
		}
		switch {
		case !suspect.IsAttributed():
			continue
		case suspect.Kind != blackboard.CausePart:
			requests[f] = true
			continue
		}
		parts[f] = true
		if !s.partGrace.isAttributed(f) {
			added = append(added, suspect)
		}
	}
	s.answerGrace.setAttributed(now, requests)
	s.partGrace.setAttributed(now, parts)
	s.comparesParts.Store(awaitsComparison)
	s.uncomparedParts.Store(&uncompared)
	s.refuseWaitingAfterGrace(added)
}
