package blackboard

// Attribution is why crashes are attributed to a suspect, or not.
type Attribution struct {
	// Runs counts the crashes that ended a run of the request, Crashes those of them that followed
	// one another.
	Runs, Crashes int
	// Needed is how many crashes have to follow one another.
	Needed int
	// CoveredBy is another suspect that was running in all the crashes; "" if there is none.
	CoveredBy    string
	IsAttributed bool
}

// Attributions returns the attribution of each suspect with two runs or more.
func (b *Board) Attributions() map[string]Attribution {
	all := make(map[string]Attribution)
	for f, s := range b.Suspects {
		if len(s.Runs) < 2 {
			continue
		}
		all[f] = Attribution{
			Runs: len(s.Runs), Crashes: s.Crashes, Needed: neededCrashes(b.Suspects, s),
			CoveredBy: coveringSuspect(b.Suspects, s), IsAttributed: s.IsAttributed(),
		}
	}
	return all
}
