package placement

import "time"

// TargetStats describes the Picker's view of a target.
type TargetStats struct {
	Target
	// Load is the estimated work in flight and Limit the most work allowed, both in tokens.
	Load, Limit float64
	// Own is the part of Load that this entry sent, in tokens.
	Own int
	// LimitFraction is the fraction of Limit that the target may use now: less than 1 while the target
	// is slow or ramps up.
	LimitFraction float64
	// Slow is true if the target is slower than its peers at similar load.
	Slow bool
	// Stalled is true while the target holds attempts and none makes progress.
	Stalled bool
	// Avoided is true while the target or its fabric domain is avoided after failures.
	Avoided bool
	// Hints is the number of cache blocks that the target is believed to hold.
	Hints int
	// ReportedAt is the time of the target's last measurement; zero if there is none.
	ReportedAt time.Time
}

// ModelStats describes the targets of one model or plain service.
type ModelStats struct {
	Model string
	// WorkRatio is the work in flight of all entries for each token of this entry's.
	WorkRatio float64
	Targets   []TargetStats
}

// Estimate returns the estimated work in flight on a target and its limit, in tokens; 0 for a
// target that is not listed.
func (p *Picker) Estimate(id string) (load, limit float64) {
	t := p.targets[id]
	if t == nil {
		return 0, 0
	}
	return t.load, t.limit
}

// LastReport returns the last report of a target, if there is one.
func (p *Picker) LastReport(id string) (Load, bool) {
	t := p.targets[id]
	if t == nil || t.reported.At.IsZero() {
		return Load{}, false
	}
	return t.reported, true
}

// MaySend reports whether a request may be sent to a target now: the target is listed, is
// eligible for the request, and has not just failed.
func (p *Picker) MaySend(now time.Time, id string, r Request) bool {
	t := p.targets[id]
	return t != nil && !t.isIneligible(now, r) && !t.isAvoided(now)
}

// Stats returns the Picker's state, for metrics and status pages. It copies all targets, so
// call it at a metrics interval and not for each request.
func (p *Picker) Stats(now time.Time) []ModelStats {
	all := make([]ModelStats, 0, len(p.pools))
	for model, pool := range p.pools {
		m := ModelStats{Model: model, WorkRatio: pool.workRatio}
		for _, t := range pool.targets {
			m.Targets = append(m.Targets, t.stats(now))
		}
		all = append(all, m)
	}
	return all
}

func (t *target) stats(now time.Time) TargetStats {
	return TargetStats{
		Target: t.Target, Load: t.load, Limit: t.limit, Own: t.own, LimitFraction: t.limitFraction(now),
		Slow: t.pace.isSlow, Stalled: t.isStalled(now), Avoided: t.isAvoided(now), Hints: len(t.hints.blocks), ReportedAt: t.reported.At,
	}
}
