package blackboard

import (
	"maps"
	"slices"
)

// crashBatch records reports of crashes in a table of suspects and attributes them together.
//
// Failure: dozens of entries reach the leader again and write hundreds of reports at once. Each one goes through the
// whole table, on the leader and on each entry, and the leader answers nobody for seconds.
type crashBatch struct {
	// incarnations and pools are those of the recorded crashes that are not attributed yet.
	incarnations, pools map[string]bool
	// hasParts is set if one of them ended requests with parts of prompts.
	hasParts bool
}

// record records the runs that a crash ended and reports whether any was not known yet.
func (b *crashBatch) record(suspects map[string]Suspect, c *ReportCrash) bool {
	if !c.recordRuns(suspects) {
		return false
	}
	if b.incarnations == nil {
		b.incarnations, b.pools = make(map[string]bool), make(map[string]bool)
	}
	b.incarnations[c.Incarnation], b.pools[c.Pool] = true, true
	b.hasParts = b.hasParts || len(c.Parts) > 0
	return true
}

// attribute decides again what the recorded crashes are attributed to.
func (b *crashBatch) attribute(suspects map[string]Suspect) {
	if len(b.incarnations) == 0 {
		return
	}
	removeRunsAfterCrash(suspects, b.incarnations)
	a := attributor{suspects: suspects}
	if b.hasParts {
		a.attributeParts()
	}
	a.attributeRequests(b.incarnations)
	for _, pool := range slices.Sorted(maps.Keys(b.pools)) {
		a.reviewRequests(pool)
	}
	removeLeastOf(suspects, CauseRequest, maxSuspects)
	removeLeastOf(suspects, CausePart, maxParts)
	*b = crashBatch{}
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
