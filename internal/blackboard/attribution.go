package blackboard

// Attribution is why crashes are attributed to a suspect, or not.
type Attribution struct {
	// Runs counts the crashes that ended a run of the request, Crashes those of them that followed
	// one another.
	Runs, Crashes int
	// Answers counts the answers that speak for the request.
	Answers int
	// Needed is how many crashes have to follow one another.
	Needed int
	// CoveredBy is another suspect that was running in all the crashes; "" if there is none.
	CoveredBy    string
	IsAttributed bool
}

// Attributions returns the attribution of each suspect with two runs or more whose row differs from that
// in an earlier table.
func (b *Board) Attributions(before map[string]Suspect) map[string]Attribution {
	unexplained := unexplainedCrashes(b.Suspects)
	changed := make(map[string]Attribution)
	for f, s := range b.Suspects {
		if len(s.Runs) < 2 || s.equal(before[f]) {
			continue
		}
		changed[f] = Attribution{
			Runs: len(s.Runs), Crashes: s.Crashes, Answers: s.Answers, Needed: neededCrashes(unexplained, s),
			CoveredBy: coveringSuspect(b.Suspects, s), IsAttributed: s.IsAttributed(),
		}
	}
	return changed
}
