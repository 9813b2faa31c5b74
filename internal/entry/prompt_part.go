package entry

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// promptPart is a part of a prompt that other requests may have in common.
type promptPart struct {
	name, fingerprint string
}

// promptParts returns the parts with the given names, each once.
func promptParts(names []string) []promptPart {
	var parts []promptPart
	seen := make(map[string]bool, len(names))
	for _, name := range names {
		if seen[name] {
			continue
		}
		seen[name] = true
		parts = append(parts, promptPart{name: name, fingerprint: fingerprint("prompt part", name)})
	}
	return parts
}

// maxLoggedParts bounds the part names of one log line, in bytes. Callers choose the names.
const maxLoggedParts = 256

// partNames returns the names of parts for the log.
func partNames(parts []promptPart) string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = p.name
	}
	text := strings.Join(names, ",")
	return text[:min(len(text), maxLoggedParts)]
}

// runningParts returns the parts of the prompts that a crash ended, for its report as of now.
func (s *Server) runningParts(cuts []cutAttempt, now time.Time) []blackboard.RunningPart {
	var running []blackboard.RunningPart
	index := make(map[string]int)
	for _, a := range cuts {
		for _, part := range a.parts {
			i, ok := index[part.fingerprint]
			if !ok {
				i = len(running)
				index[part.fingerprint] = i
				running = append(running, s.runningPart(part, now))
			}
			running[i].Add(a.workspace, now.Sub(a.sent))
		}
	}
	return running
}

func (s *Server) runningPart(part promptPart, now time.Time) blackboard.RunningPart {
	answered, isKnown := s.partGrace.wasAnswered(now, part.fingerprint)
	return blackboard.RunningPart{
		Fingerprint: part.fingerprint, Name: part.name, Answered: answered, Unanswered: !answered && isKnown,
	}
}

// sendRecord is what was known of a request when an attempt was sent.
type sendRecord struct {
	// wasSuspect is set if the request was known as a suspect.
	wasSuspect bool
	// suspectParts holds the fingerprints of the parts that were known as suspects.
	suspectParts []string
	sentAt       time.Time
}

// newSendRecord returns the record of an attempt that is sent now.
func (s *Server) newSendRecord(j *job) sendRecord {
	r := sendRecord{wasSuspect: s.suspectOf(j).Crashes > 0, sentAt: time.Now()}
	if len(j.sharedParts) == 0 {
		return r
	}
	suspects := s.suspects()
	for _, part := range j.sharedParts {
		if s.needsAnswer(suspects[part.fingerprint]) {
			r.suspectParts = append(r.suspectParts, part.fingerprint)
		}
	}
	return r
}

// noteAnsweredParts takes in an answer that shows that the parts of a prompt crash nothing, and tells the other
// entries of it if parts were suspects when the answered run was sent.
func (s *Server) noteAnsweredParts(j *job) {
	if !j.provesParts {
		return
	}
	now := time.Now()
	s.noteAnswerOfOthers(now, j)
	suspects := s.suspects()
	for _, part := range j.sharedParts {
		s.partGrace.answered(now, part.fingerprint)
	}
	for _, f := range j.suspectParts {
		isGranted := j.retryGranted == f
		if s.needsAnswer(suspects[f]) && (isGranted || s.isAnswerSampled()) {
			s.writeSuspect(blackboard.AnsweredPart(f, now.Sub(j.sentAt), isGranted).After(0, now))
		}
	}
}

// noteAnswerOfOthers writes an answer for the parts of other prompts that lack one of their pool to be compared with.
func (s *Server) noteAnswerOfOthers(now time.Time, j *job) {
	for _, part := range *s.uncomparedParts.Load() {
		holds := func(p promptPart) bool { return p.fingerprint == part.Fingerprint }
		if part.Runs[0].Pool != j.model || slices.ContainsFunc(j.sharedParts, holds) {
			continue
		}
		answer := blackboard.AnsweredWithout(part.Fingerprint, now.Sub(j.sentAt)).After(0, now)
		if !answer.IsIn(s.suspects()) && s.isAnswerSampled() {
			s.writeSuspect(answer)
		}
	}
}

// needsAnswer reports whether an answer to a request with a part is to be written: it clears a part that may come to
// be refused, or tells that others are answered while one of them may.
func (s *Server) needsAnswer(part blackboard.Suspect) bool {
	return part.NeedsAnswers() && (part.MayBeAttributed() || s.comparesParts.Load())
}

// maxAnswerWriters is about how many entries write the answers to requests with one suspect part. One answer
// clears the part; a thousand entries would write it at the same moment.
const maxAnswerWriters = 32

func (s *Server) isAnswerSampled() bool {
	entries := len(s.o.Follower.Board().Entries)
	return entries <= maxAnswerWriters || rand.N(entries) < maxAnswerWriters
}

// provesAnswer reports whether a complete answer shows that its backend server has not crashed under it: it is a
// success, and its end was announced. An answer that ends with its connection looks complete when the server has crashed.
func provesAnswer(a *backend.ForwardAnswer) bool {
	const firstError = 300
	return a.Status < firstError && !a.EndsWithConnection
}
