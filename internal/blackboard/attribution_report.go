package blackboard

// Attribution is why crashes are attributed to a suspect, or not.
type Attribution struct {
	// Cause is the suspect.
	Cause Suspect
	// Runs counts the crashes that ended a run of the request, Crashes those of them that followed
	// one another.
	Runs, Crashes int
	// Answers counts the answers that speak for the request.
	Answers int
	// Needed is how many crashes have to follow one another.
	Needed int
	// Chance is how likely a run of the request is to be ended by a server that crashes by itself.
	Chance float64
	// CoveredBy is another suspect that was running in all the crashes; "" if there is none.
	CoveredBy    string
	IsAttributed bool
}

// crashesNeeded returns how many crashes are attributed to a suspect of any kind.
func crashesNeeded(unexplained map[string]*unexplainedCrash, s Suspect) int {
	if s.Kind == CausePart && s.MayBeAnswered() {
		return certainPartCrashes
	}
	return neededCrashes(unexplained, s)
}

// Attributions returns the attribution of each suspect with two runs or more whose row differs from that
// in an earlier table.
func (b *Board) Attributions(before map[string]Suspect) map[string]Attribution {
	unexplained := unexplainedCrashes(b.Suspects)
	var requests []Suspect
	for _, s := range b.Suspects {
		if s.Kind == CauseRequest && len(s.Runs) > 1 {
			requests = append(requests, s)
		}
	}
	changed := make(map[string]Attribution)
	for f, s := range b.Suspects {
		if len(s.Runs) < 2 || s.equal(before[f]) {
			continue
		}
		changed[f] = Attribution{
			Cause: s, Runs: len(s.Runs), Crashes: s.Crashes, Answers: s.Answers, Needed: crashesNeeded(unexplained, s),
			Chance:    chanceOfCrash(unexplained, s),
			CoveredBy: coveringSuspect(requests, s).Fingerprint, IsAttributed: s.IsAttributed(),
		}
	}
	return changed
}
