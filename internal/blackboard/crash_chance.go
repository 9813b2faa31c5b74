package blackboard

import "time"

const (
	// maxBlameChance is the greatest chance with which all crashes that are attributed to a request may have been
	// those of backend servers that crash by themselves.
	maxBlameChance = 1e-5
	// minDoubtChance is the same chance from which on it is more likely that they were than that the request is the
	// cause: of a thousand requests, one is in such crashes.
	minDoubtChance = 1e-3
	// chanceWindow is how long before a request's first run crashes of its pool count towards their rate, and
	// minChanceTime the least time that the rate is taken over: two crashes in the same second are no rate.
	chanceWindow  = 30 * time.Second
	minChanceTime = 5 * time.Second
)

// unexplainedCrash is a crash that is attributed to no suspect.
type unexplainedCrash struct {
	// CrashedRun is the last run that it ended.
	CrashedRun
	// isRepeated is set if it ended a run of a request that was in another crash as well and is not answered: that
	// request may be the cause.
	isRepeated bool
}

// unexplainedCrashes returns the crashes that are attributed to no suspect, by incarnation.
func unexplainedCrashes(suspects map[string]Suspect) map[string]*unexplainedCrash {
	explained := make(map[string]bool)
	for _, s := range suspects {
		if !s.IsAttributed() {
			continue
		}
		for _, r := range s.Runs {
			explained[r.Incarnation] = true
		}
	}
	unexplained := make(map[string]*unexplainedCrash)
	for _, s := range suspects {
		isRepeated := s.Kind == CauseRequest && len(s.Runs) > 1 && s.Answers == 0
		for _, r := range s.Runs {
			if explained[r.Incarnation] {
				continue
			}
			crash := unexplained[r.Incarnation]
			if crash == nil {
				crash = &unexplainedCrash{CrashedRun: r}
				unexplained[r.Incarnation] = crash
			}
			if crash.isReplacedBy(r) {
				crash.CrashedRun = r
			}
			crash.isRepeated = crash.isRepeated || isRepeated
		}
	}
	return unexplained
}

// isReplacedBy reports whether a run ended later, or at the same time while no entries were silent: the result must not
// depend on the order of the runs.
func (c *unexplainedCrash) isReplacedBy(r CrashedRun) bool {
	if r.EndMillis != c.EndMillis {
		return r.EndMillis > c.EndMillis
	}
	return c.HasSilentEntries && !r.HasSilentEntries
}

// chanceOfCrash returns how likely a run of a suspect is to be ended by a backend server of its pool that crashes by
// itself: by the rate of such crashes from chanceWindow before its first run until now, the number of servers that were busy,
// as a crash of an idle one is not seen, and how long its runs are, which end halfway on average if a crash has nothing
// to do with them. It is 0 if reports do not state the number of servers.
func chanceOfCrash(unexplained map[string]*unexplainedCrash, s Suspect) float64 {
	if len(s.Runs) == 0 {
		return 0
	}
	from, targets, ran := s.firstSentMillis()-chanceWindow.Milliseconds(), s.Runs[0].BusyTargets, int64(0)
	for _, r := range s.Runs {
		targets = min(targets, r.BusyTargets)
		ran += max(0, r.EndMillis-r.SentMillis)
	}
	crashes, first, last := 0, s.firstSentMillis(), s.LastMillis
	for incarnation, c := range unexplained {
		isOther := c.Pool == s.Runs[0].Pool && !c.isRepeated && !c.HasSilentEntries && !s.wasRunningOn(incarnation)
		if isOther && c.EndMillis >= from {
			crashes++
			first, last = min(first, c.EndMillis), max(last, c.EndMillis)
		}
	}
	if targets == 0 || crashes == 0 {
		return 0
	}
	length := 2 * float64(ran) / float64(len(s.Runs))
	rate := float64(crashes) / float64(max(last-first, minChanceTime.Milliseconds()))
	return min(1, rate*length/float64(targets))
}

// crashesBeyondChance returns how many crashes of a request are no chance if each of its runs is ended by a crash with
// the given one: at least as many as given, and at most those that are attributed to a request in any case.
func crashesBeyondChance(chance float64, least int) int {
	n := least
	for n < inseparableCrashes && chanceOfAll(chance, n) > maxBlameChance {
		n++
	}
	return n
}

// chanceOfAll returns how likely a request is in a number of crashes by chance, if each of its runs is ended by one with
// the given chance.
func chanceOfAll(chance float64, crashes int) float64 {
	all := 1.0
	for range crashes {
		all *= chance
	}
	return all
}
