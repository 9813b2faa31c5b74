package placement

import "time"

// TargetStats describes what the Picker believes of a target.
type TargetStats struct {
	Target
	// Load and Limit are in tokens: the work it is believed to hold and the
	// most it is given.
	Load, Limit float64
	// Mine is this process's part of Load.
	Mine int
	// Part is how much of Limit it may be given now: less than 1 while it is
	// slow or ramps up.
	Part float64
	// Slow is true if it is slower than its peers at like load.
	Slow bool
	// Stalled is true while it holds requests and none makes progress.
	Stalled bool
	// Avoided is true while it or its fabric domain is left alone after
	// failures.
	Avoided bool
	// Hints is the number of blocks it is believed to hold.
	Hints int
	// ReportedAt is when it measured its last report; zero means none.
	ReportedAt time.Time
}

// ModelStats describes the targets of one model or plain service.
type ModelStats struct {
	Model string
	// Others is the work in flight of all entries for each token of this one.
	Others  float64
	Targets []TargetStats
}

// Stats returns the Picker's state, for metrics and status pages. It copies all
// targets, so it is meant for a metrics interval and not for each request.
func (p *Picker) Stats(now time.Time) []ModelStats {
	all := make([]ModelStats, 0, len(p.pools))
	for model, pool := range p.pools {
		m := ModelStats{Model: model, Others: pool.workRatio}
		for _, t := range pool.targets {
			m.Targets = append(m.Targets, t.stats(now))
		}
		all = append(all, m)
	}
	return all
}

func (t *target) stats(now time.Time) TargetStats {
	return TargetStats{
		Target: t.Target, Load: t.load, Limit: t.limit, Mine: t.own, Part: t.limitFraction(now),
		Slow: t.pace.isSlow, Stalled: t.isStalled(now), Avoided: t.isAvoided(now), Hints: len(t.hints.blocks), ReportedAt: t.reported.At,
	}
}
