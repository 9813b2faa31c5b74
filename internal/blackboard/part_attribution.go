package blackboard

import (
	"cmp"
	"slices"
)

// MayBeAnswered reports whether requests with a part were answered before its crashes, or entries can't tell.
func (s Suspect) MayBeAnswered() bool { return s.AnsweredBefore || !s.NeverAnswered }

// partCandidate is a part that crashes may be attributed to.
type partCandidate struct {
	Suspect
	runSet string
}

// attributeParts decides again to which parts of prompts crashes are attributed.
//
// Failure: a part crashes one backend server after the other, under requests no two of which are alike. The parts
// that most requests begin with are running in nearly all of these crashes too. They differ from the cause in
// that requests with them were answered before, and are answered meanwhile, which clears them. So a part that was
// never answered comes first, and another one is held only for the crashes that no likelier one was running in.
func (a *attributor) attributeParts() {
	candidates := partCandidates(a.suspects)
	if len(candidates) == 0 {
		return
	}
	p := partAttribution{
		attributor: a, attributed: attributedSuspects(a.suspects, CauseRequest), unanswered: unansweredRequests(a.suspects),
		explained: make(map[string]bool),
	}
	for len(candidates) > 0 {
		n := 1
		for n < len(candidates) && candidates[n].isInseparableFrom(candidates[0]) {
			n++
		}
		p.decide(candidates[:n])
		candidates = candidates[n:]
	}
}

// partAttribution is one pass over the parts, from the likeliest cause on.
type partAttribution struct {
	*attributor
	// attributed holds the requests that crashes are attributed to, unanswered those that may explain a part.
	attributed, unanswered []Suspect
	// explained holds the incarnations whose crashes a likelier part explains.
	explained map[string]bool
}

// decide decides whether crashes are attributed to a part, or to several that can't be told from one another.
func (p partAttribution) decide(inseparable []partCandidate) {
	for _, c := range inseparable {
		isAttributed := p.isCause(c, len(inseparable) > 1)
		isInseparable := isAttributed && len(inseparable) > 1
		if s := c.Suspect; s.Attributed != isAttributed || s.Inseparable != isInseparable {
			s.Attributed, s.Inseparable = isAttributed, isInseparable
			p.set(s)
		}
	}
	for _, r := range inseparable[0].Runs {
		p.explained[r.Incarnation] = true
	}
}

func (p partAttribution) isCause(c partCandidate, isInseparable bool) bool {
	if isExplainedByRequest(p.unanswered, c.Suspect) {
		return false
	}
	left := c.runsBeside(p.explained)
	if c.staysAttributed(left) {
		return true
	}
	left = withoutOtherRequests(p.attributed, c.Suspect, left)
	return p.hasEvidence(c, left, isInseparable)
}

// partCandidates returns the parts with minPartRuns crashes or more, the likeliest cause first, and of equally
// likely ones that with the most crashes.
func partCandidates(suspects map[string]Suspect) []partCandidate {
	var candidates []partCandidate
	for _, s := range suspects {
		if s.Kind == CausePart && len(s.Runs) >= minPartRuns {
			candidates = append(candidates, partCandidate{Suspect: s, runSet: s.runSet()})
		}
	}
	slices.SortFunc(candidates, func(a, b partCandidate) int {
		switch {
		case a.MayBeAnswered() && !b.MayBeAnswered():
			return 1
		case b.MayBeAnswered() && !a.MayBeAnswered():
			return -1
		}
		return cmp.Or(
			cmp.Compare(len(b.Runs), len(a.Runs)),
			cmp.Compare(a.runSet, b.runSet),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	return candidates
}

// isInseparableFrom reports whether two equally likely parts were running in the same crashes.
func (c partCandidate) isInseparableFrom(other partCandidate) bool {
	return c.MayBeAnswered() == other.MayBeAnswered() && c.runSet == other.runSet
}

// runsBeside returns the runs that were ended by crashes without an explanation.
func (c partCandidate) runsBeside(explained map[string]bool) []CrashedRun {
	return slices.DeleteFunc(slices.Clone(c.Runs), func(r CrashedRun) bool { return explained[r.Incarnation] })
}

// staysAttributed reports whether crashes stay attributed to a part: until it is answered, or, if it could not be
// told from another one, until the other one explains all its crashes.
func (c partCandidate) staysAttributed(left []CrashedRun) bool {
	return c.Attributed && (!c.Inseparable || len(left) > 0)
}

// hasEvidence reports whether the crashes in left suffice to attribute them to a part.
func (p partAttribution) hasEvidence(c partCandidate, left []CrashedRun, isInseparable bool) bool {
	n := successiveRunsAnywhere(left)
	isCertain := len(left) >= certainPartCrashes
	if c.MayBeAnswered() {
		hasCrashesInTurn := n >= attributedCrashes || !c.AnsweredBefore
		isCompared := isAnotherAnswered(p.suspects, c.Suspect) || (n >= minPartRuns && c.areOthersAnswered())
		return isCertain && hasCrashesInTurn && (isCompared || isUnansweredForLong(left))
	}
	if n < minPartRuns && !isCertain {
		return false
	}
	unexplained := p.unexplainedCrashes()
	if isCertain && (n >= attributedCrashes || !hasCrashesBeside(unexplained, c.Suspect)) {
		return true
	}
	return !isInseparable && n >= neededCrashes(unexplained, c.Suspect)
}

// successiveRunsAnywhere returns the largest number of runs each of which was sent after the one before it had
// ended, wherever that was.
//
// Failure: all servers of a pool crash at once, and the parts that were running in each data centre are refused.
func successiveRunsAnywhere(runs []CrashedRun) int {
	runs = slices.Clone(runs)
	for i := range runs {
		runs[i].DataCentre = ""
	}
	return successiveRuns(runs)
}

// withoutOtherRequests returns the runs of a part without those that were ended by a request which has also crashed
// servers that the part was not running on.
func withoutOtherRequests(requests []Suspect, part Suspect, runs []CrashedRun) []CrashedRun {
	for _, s := range requests {
		if !part.wasRunningInAllOf(s) {
			runs = slices.DeleteFunc(runs, func(r CrashedRun) bool { return s.wasRunningOn(r.Incarnation) })
		}
	}
	return runs
}

// isAnotherAnswered reports whether a request with another part that was sent after a part's first crash has been
// answered, so that some with the part should have been as well.
func isAnotherAnswered(suspects map[string]Suspect, s Suspect) bool {
	first := s.firstEndMillis()
	for _, other := range suspects {
		if other.Kind == CausePart && other.Fingerprint != s.Fingerprint && other.AnsweredMillis > first {
			return true
		}
	}
	return false
}

// areOthersAnswered reports whether the part's pool has answered a request without it that was sent after the part's first
// crash. A request that was in no crash tells nothing of servers that all failed at once.
func (c partCandidate) areOthersAnswered() bool { return c.OthersAnsweredMillis > c.firstEndMillis() }

// isUnansweredForLong reports whether servers crashed one after the other for a while, without an answer.
func isUnansweredForLong(runs []CrashedRun) bool {
	first := Suspect{Runs: runs}.firstEndMillis()
	last := first
	for _, r := range runs {
		last = max(last, r.EndMillis)
	}
	return last-first >= unansweredSpan.Milliseconds() && successiveRunsAnywhere(runs) >= certainPartCrashes
}

// unansweredRequests returns the requests without an answer that were running in as many crashes as a part that may be
// a cause.
func unansweredRequests(suspects map[string]Suspect) []Suspect {
	var requests []Suspect
	for _, s := range suspects {
		if s.Kind == CauseRequest && s.Answers == 0 && len(s.Runs) >= minPartRuns {
			requests = append(requests, s)
		}
	}
	return requests
}

// isExplainedByRequest reports whether one request was running in all crashes of a part: then it is the request that
// is held for them.
func isExplainedByRequest(requests []Suspect, part Suspect) bool {
	return slices.ContainsFunc(requests, func(s Suspect) bool { return s.wasRunningInAllOf(part) })
}

// attributedSuspects returns the suspects of a kind that crashes are attributed to.
func attributedSuspects(suspects map[string]Suspect, kind CauseKind) []Suspect {
	var attributed []Suspect
	for _, s := range suspects {
		if s.Kind == kind && s.IsAttributed() {
			attributed = append(attributed, s)
		}
	}
	return attributed
}

// isExplainedByPart reports whether one of the parts that crashes are attributed to was running in all crashes of a
// request.
func isExplainedByPart(parts []Suspect, request Suspect) bool {
	return slices.ContainsFunc(parts, func(part Suspect) bool { return part.wasRunningInAllOf(request) })
}
