package blackboard

import (
	"cmp"
	"slices"
)

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

// attributor decides again what crashes are attributed to after one change of a table of suspects.
type attributor struct {
	suspects map[string]Suspect
	// unexplained is the result of unexplainedCrashes; nil until it is needed and once an attribution has changed.
	unexplained map[string]*unexplainedCrash
}

// unexplainedCrashes returns the crashes that are attributed to no suspect.
func (a *attributor) unexplainedCrashes() map[string]*unexplainedCrash {
	if a.unexplained == nil {
		a.unexplained = unexplainedCrashes(a.suspects)
	}
	return a.unexplained
}

// set replaces the row of a suspect whose attribution has changed.
func (a *attributor) set(s Suspect) {
	a.suspects[s.Fingerprint] = s
	a.unexplained = nil
}

// attributeRequests decides again which of the requests that were running on one of some crashed incarnations the
// crashes are attributed to.
//
// Failure: requests that a crash cuts are sent to another group at once, where the request that
// causes the crashes may follow. After three crashes some of them have been in all three by
// chance. They differ from the cause in the crashes of which they were in no part, so a suspect
// is blamed once no other one was in all of its crashes.
func (a *attributor) attributeRequests(incarnations map[string]bool) {
	together := requestsOn(a.suspects, incarnations)
	var candidates []string
	for _, s := range together {
		if s.Crashes >= isolatedCrashes {
			candidates = append(candidates, s.Fingerprint)
		}
	}
	if len(candidates) == 0 {
		return
	}
	// The order matters, as attributed crashes count as explained.
	slices.Sort(candidates)
	parts := attributedSuspects(a.suspects, CausePart)
	for _, f := range candidates {
		s := a.suspects[f]
		covering := coveringSuspect(together, s)
		isAttributed := !isExplainedByPart(parts, s) && isCause(a.unexplainedCrashes(), s, covering)
		if isAttributed != s.Attributed {
			s.Attributed, s.Doubtful = isAttributed, isAttributed && covering.Fingerprint != ""
			s.Unsettled = isAttributed && a.isUnsettled(s)
			a.set(s)
		}
	}
}

// isUnsettled reports whether another request was running in all but one of the few crashes of a suspect. Several entries
// report a crash, one after the other.
//
// Failure: a request follows the one that crashes servers through three crashes. The entry that sent that one reports the
// last crash a moment later, and until then the other one alone was in all of them, and is refused.
func (a *attributor) isUnsettled(s Suspect) bool {
	if s.Crashes > attributedCrashes || s.Alone > 0 || s.hasSilentRuns() {
		return false
	}
	for _, other := range a.suspects {
		isCandidate := other.Kind == CauseRequest && other.Fingerprint != s.Fingerprint && !other.isCleared()
		if isCandidate && len(other.Runs) >= len(s.Runs)-1 && s.runsWithout(other) == 1 {
			return true
		}
	}
	return false
}

// requestsOn returns the requests that were running on one of some crashed incarnations.
func requestsOn(suspects map[string]Suspect, incarnations map[string]bool) []Suspect {
	var requests []Suspect
	for _, s := range suspects {
		if s.Kind == CauseRequest && s.wasRunningOnAny(incarnations) {
			requests = append(requests, s)
		}
	}
	return requests
}

// reviewRequests looks again at the suspects of a pool that crashes are attributed to: whether these crashes may be
// chance, as far as it is known by now how often servers crash by themselves, and whether another cause explains them.
//
// Failure: servers begin to crash one after the other. The first request that was running in three crashes is
// refused for a minute, although dozens of servers crash without it meanwhile.
// Failure: a request is refused together with one that it could not be told from, and still is when the other one
// has crashed further servers without it.
func (a *attributor) reviewRequests(pool string) {
	var attributed []Suspect
	for _, s := range a.suspects {
		if s.Kind == CauseRequest && s.IsAttributed() && len(s.Runs) > 0 && s.Runs[0].Pool == pool {
			attributed = append(attributed, s)
		}
	}
	if len(attributed) == 0 {
		return
	}
	unexplained := a.unexplainedCrashes()
	for _, s := range attributed {
		isExplained := slices.ContainsFunc(attributed, s.isExplainedBy)
		switch {
		case isExplained:
			s.Attributed, s.Doubtful, s.Unsettled = false, false, false
		case s.Doubtful || chanceOfAll(chanceOfCrash(unexplained, s), s.Crashes) < minDoubtChance:
			continue
		default:
			s.Doubtful = true
		}
		a.set(s)
	}
}

// isExplainedBy reports whether the crashes of a suspect are those of another one, which has crashed further servers
// without it. While entries are silent the suspect may have done so too, so the other one must be the cause without
// these crashes as well.
func (s Suspect) isExplainedBy(other Suspect) bool {
	further := 1
	if s.hasSilentRuns() {
		further = attributedCrashes
	}
	return len(other.Runs) >= len(s.Runs)+further && other.wasRunningInAllOf(s)
}

// isCause reports whether a request's crashes are attributed to it. One that ran alone in a crash needs
// fewer, and no comparison with others. Several that were always running together are refused together: after some
// crashes, or at once while entries are silent, as those may have seen more of them. covering is another request that
// was running in all its crashes; without a fingerprint if there is none.
func isCause(unexplained map[string]*unexplainedCrash, s, covering Suspect) bool {
	needed := neededCrashes(unexplained, s)
	if s.Alone > 0 && s.Crashes >= neededCrashesAlone(unexplained, s) {
		return true
	}
	if s.Crashes < needed {
		return false
	}
	if covering.Fingerprint == "" {
		return true
	}
	isLessLikely := s.Answers > 0 && covering.Answers == 0
	return !isLessLikely && (s.Crashes >= inseparableCrashes || s.hasSilentRuns())
}

// neededCrashes returns how many crashes are attributed to a suspect: more if backend servers of its pool crash by
// themselves so often that it may have been running in fewer by chance, one more if any has crashed without it
// meanwhile, one more if the request has been answered lately, and as many as in any case if all its runs were as
// brief as one that is sent to a server that is gone and none of them was alone. While entries do not answer when they are asked about
// its crashes, fewer suffice: each of them may have seen others.
//
// Failure: backend servers crash by themselves, one after the other. A request that is sent on
// after each crash is running in three of them by chance, or in two, alone in one of them.
// Failure: half of the entries reach backend servers and nobody else. A request crashes servers through them that
// nobody else knows of, and servers that it shares with others, which seem to crash without it. The other entries
// may send it three times in all before they know of any crash.
// Failure: requests wait for a group while another one crashes each group as soon as it opens. They are sent to it in
// the same millisecond, each time.
// Failure: a popular request is running in each crash of another one. The entry that sent the other one reports the last
// crash late, and until then the popular one alone was in all of them.
func neededCrashes(unexplained map[string]*unexplainedCrash, s Suspect) int {
	needed := crashesBeyondChance(chanceOfCrash(unexplained, s), attributedCrashes)
	switch {
	case s.hasOnlySilentRuns():
		needed = attributedCrashes - 1
	case s.hasSilentRuns():
		needed = attributedCrashes
	case hasCrashesBeside(unexplained, s):
		needed = max(needed, crashesAmongOthers)
	}
	if s.Kind == CauseRequest && s.Alone == 0 && s.hasOnlyBriefRuns() {
		needed = inseparableCrashes
	}
	if s.Kind == CauseRequest && s.AnsweredBefore {
		needed++
	}
	return min(needed, inseparableCrashes)
}

// neededCrashesAlone returns the same for a suspect that ran alone in one of the crashes.
func neededCrashesAlone(unexplained map[string]*unexplainedCrash, s Suspect) int {
	beyondChance := crashesBeyondChance(chanceOfCrash(unexplained, s), isolatedCrashes)
	return max(beyondChance, neededCrashes(unexplained, s)+isolatedCrashes-attributedCrashes)
}

// hasCrashesBeside reports whether servers of the suspect's pool have crashed without it since its first run.
func hasCrashesBeside(unexplained map[string]*unexplainedCrash, s Suspect) bool {
	first, pool := s.firstSentMillis(), s.Runs[0].Pool
	for incarnation, last := range unexplained {
		if last.Pool == pool && last.EndMillis >= first && !last.HasSilentEntries && !s.wasRunningOn(incarnation) {
			return true
		}
	}
	return false
}

// coveringSuspect returns the one of some requests that was running in all crashes of s and is not cleared; one without
// a fingerprint if there is none. One that was never answered comes first. One that was answered does not cover one that
// was not: it is less likely to be the cause.
func coveringSuspect(requests []Suspect, s Suspect) Suspect {
	best := Suspect{}
	for _, other := range requests {
		isLessLikely := other.isCleared() || (other.Answers > 0 && s.Answers == 0)
		if other.Fingerprint == s.Fingerprint || isLessLikely || !other.wasRunningInAllOf(s) {
			continue
		}
		if best.Fingerprint == "" || comesFirst(other, best) {
			best = other
		}
	}
	return best
}

func comesFirst(a, b Suspect) bool {
	if (a.Answers == 0) != (b.Answers == 0) {
		return a.Answers == 0
	}
	return a.Fingerprint < b.Fingerprint
}
