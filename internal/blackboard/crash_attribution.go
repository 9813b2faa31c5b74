package blackboard

import (
	"maps"
	"slices"
)

// crashAttribution records reports of crashes in a table of suspects and attributes them together.
//
// Failure: dozens of entries reach the leader again and write hundreds of reports at once. Each one goes through the
// whole table, on the leader and on each entry, and the leader answers nobody for seconds.
type crashAttribution struct {
	// incarnations and pools are those of the recorded crashes that are not attributed yet.
	incarnations, pools map[string]bool
	// hasParts is set if one of them ended requests with parts of prompts.
	hasParts bool
}

// record records the runs that a crash ended and reports whether any was not known yet.
func (a *crashAttribution) record(suspects map[string]Suspect, c *ReportCrash) bool {
	if !c.recordRuns(suspects) {
		return false
	}
	if a.incarnations == nil {
		a.incarnations, a.pools = make(map[string]bool), make(map[string]bool)
	}
	a.incarnations[c.Incarnation], a.pools[c.Pool] = true, true
	a.hasParts = a.hasParts || len(c.Parts) > 0
	return true
}

// attribute decides again what the recorded crashes are attributed to.
func (a *crashAttribution) attribute(suspects map[string]Suspect) {
	if len(a.incarnations) == 0 {
		return
	}
	removeRunsAfterCrash(suspects, a.incarnations)
	decision := attributor{suspects: suspects}
	if a.hasParts {
		decision.attributeParts()
	}
	decision.attributeRequests(a.incarnations)
	for _, pool := range slices.Sorted(maps.Keys(a.pools)) {
		decision.reviewRequests(pool)
	}
	removeLeastOf(suspects, CauseRequest, maxSuspects)
	removeLeastOf(suspects, CausePart, maxParts)
	*a = crashAttribution{}
}

// removeRunsAfterCrash removes the runs that were sent to a crashed incarnation after the first of
// its runs had ended. Such a run met the crashed server: a proxy before it accepts connections and
// closes them.
func removeRunsAfterCrash(suspects map[string]Suspect, incarnations map[string]bool) {
	crashes := make(map[string]int64, len(incarnations))
	for _, s := range suspects {
		for _, r := range s.Runs {
			if !incarnations[r.Incarnation] {
				continue
			}
			if crash, ok := crashes[r.Incarnation]; !ok || r.EndMillis < crash {
				crashes[r.Incarnation] = r.EndMillis
			}
		}
	}
	for f, s := range suspects {
		if next, changed := s.withoutRunsAfter(crashes); changed {
			suspects[f] = next
		}
	}
}
