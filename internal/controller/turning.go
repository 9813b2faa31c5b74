package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

const (
	// shortageDuration is how long a model must be short before groups are turned for it. Rates
	// are smoothed, so a shortage shows about a second after it begins.
	shortageDuration = time.Second
	// minUnserved is the fraction of a model's requests that must be late or refused before groups
	// are turned for it: figures alone may understate what its groups carry.
	minUnserved = 0.05
	// turnTimeout ends a turn whose new groups have not formed. It is longer than finishTimeout and
	// a load from the host.
	turnTimeout = 15 * time.Second
	// reversalWait is how long after a turn a turn in the other direction waits, longer than the
	// period of a common swing of the traffic. It doubles with each reversal up to
	// maxReversalWait, and is forgotten reversalMemory after the last turn.
	reversalWait    = 15 * time.Second
	maxReversalWait = 2 * time.Minute
	reversalMemory  = 5 * time.Minute
	// peakTime is the time constant with which the recent peak of a demand decays. It is longer than
	// the period of a common swing: in the trough, a model keeps the groups for its mean demand.
	peakTime = 15 * time.Second
	// demandTolerance is the relative change of a demand that changes the layouts of VMs in no
	// group.
	demandTolerance = 0.1
)

// turning is what a leader knows about the turns of its term. Its loss ends no turn: a group that
// is draining goes on to drain, and its VMs form what the next leader's layouts say.
type turning struct {
	// groups holds the groups that are given up.
	groups map[groupEpoch]turnOf
	// coming holds the turns by domain until their groups have formed.
	coming map[string]comingGroups
	// shortSince holds the time since which each model has been short.
	shortSince map[string]time.Time
	// demanded holds the groups that each model's demand needs, as last used.
	demanded map[string]float64
	// peaks holds the recent peak of each model's demand.
	peaks map[string]peakDemand
	// carried holds the load that each model's groups have carried on time.
	carried map[string]carriedLoad
	// turns holds the last turn of each pair of models.
	turns map[modelPair]lastTurn
}

// peakDemand is a decaying maximum of a demand, in groups, as of a time.
type peakDemand struct {
	groups float64
	at     time.Time
}

// recentPeak updates and returns the recent peak of a model's demand.
//
// Load: the demand for two models swings in phase and one of them is short. Without the peak, the
// other gives up in the trough what it needs some seconds later.
func (t *turning) recentPeak(now time.Time, model string, groups float64) float64 {
	p, known := t.peaks[model]
	if !known {
		p.at = now
	}
	p.groups = max(groups, groups+(p.groups-groups)*math.Exp(-now.Sub(p.at).Seconds()/peakTime.Seconds()))
	p.at = now
	t.peaks[model] = p
	return p.groups
}

// turnOf is why a group is given up.
type turnOf struct{ to, reason string }

// comingGroups are the groups that a domain should have once its turn is complete.
type comingGroups struct {
	model string
	total int
	at    time.Time
}

// modelPair is two models, in the order of their names.
type modelPair struct{ first, second string }

func pairOf(a, b string) modelPair { return modelPair{min(a, b), max(a, b)} }

// lastTurn is the last turn between two models.
type lastTurn struct {
	to string
	at time.Time
	// wait is how long a turn in the other direction waits after at.
	wait time.Duration
}

func newTurning() turning {
	return turning{
		groups: make(map[groupEpoch]turnOf), coming: make(map[string]comingGroups), shortSince: make(map[string]time.Time),
		demanded: make(map[string]float64), peaks: make(map[string]peakDemand), turns: make(map[modelPair]lastTurn), carried: make(map[string]carriedLoad),
	}
}

// mayTurn reports whether groups of one model may be turned into groups of another now.
//
// Load: the demand for two models swings in opposite phases. Without the wait, groups would be
// turned to and fro with each swing, and each turn costs some seconds of service.
func (t *turning) mayTurn(now time.Time, from, to string) bool {
	last, known := t.turns[pairOf(from, to)]
	return !known || last.to == to || now.Sub(last.at) >= last.wait
}

// record records a turn between two models.
func (t *turning) record(now time.Time, from, to string) {
	last, known := t.turns[pairOf(from, to)]
	switch {
	case !known || now.Sub(last.at) > reversalMemory:
		last.wait = reversalWait
	case last.to != to:
		last.wait = min(2*last.wait, maxReversalWait)
	}
	last.to, last.at = to, now
	t.turns[pairOf(from, to)] = last
}

// steadyDemand returns the models with the demand that was last used for each, unless the demand
// has changed enough, so that the layouts of VMs in no group do not change with each report.
func (t *turning) steadyDemand(models []packing.Model) []packing.Model {
	steady := slices.Clone(models)
	for i, m := range steady {
		if m.Demand == nil {
			delete(t.demanded, m.Name)
			continue
		}
		before := t.demanded[m.Name]
		if change := m.Demand.Groups - before; max(change, -change) > demandTolerance*before {
			t.demanded[m.Name] = m.Demand.Groups
		}
		steady[i].Demand = &packing.Demand{Groups: t.demanded[m.Name], RecentPeak: m.Demand.RecentPeak, Age: m.Demand.Age}
	}
	return steady
}

// planTurns decides which standing groups of a pool are given up for groups of another model, and
// changes the domains and their previous layouts accordingly.
//
// A leader turns groups only by what entries report to it. What an earlier leader wrote to the
// board may be out of date, and a turn is not undone for some seconds.
func planTurns(v View, now time.Time, a *Actions, models []packing.Model, domains []packing.Domain) []packing.Domain {
	t := &v.Memory.turning
	if !v.Demand.Observed || len(models) == 0 || models[0].Demand == nil || noCallersYet(v) {
		clear(t.shortSince)
		return domains
	}
	state := turnState(v, now, models, domains)
	for _, turn := range packing.Turns(models, domains, state) {
		reason := turnReason(v, now, models, domains)
		t.record(now, turn.From, turn.To)
		for i := range domains {
			if domains[i].Name == turn.Domain {
				beginTurn(v, now, &domains[i], turn, reason)
			}
		}
		a.decide(Decision{
			Kind: "turn", Subject: turn.Domain, Choice: fmt.Sprintf("%d of %s", turn.Gain, turn.To),
			RunnerUp: fmt.Sprintf("%d of %s", len(turn.Groups), turn.From), Reason: reason,
		})
	}
	return domains
}

// turnState returns the state of the turns of a pool. It forgets the turns that are complete or
// have taken too long.
func turnState(v View, now time.Time, models []packing.Model, domains []packing.Domain) packing.TurnState {
	t := &v.Memory.turning
	s := packing.TurnState{
		Coming: make([]int, len(models)), Leaving: make([]int, len(models)), Short: make([]bool, len(models)),
		Busy:    make(map[string]bool),
		MayTurn: func(from, to string) bool { return t.mayTurn(now, from, to) },
	}
	have := make(map[string]int)
	for _, d := range domains {
		for model, n := range d.Groups {
			have[model] += n
		}
		for model, n := range d.PreviousGroups {
			s.Busy[d.Name] = s.Busy[d.Name] || n > d.Groups[model]
		}
		coming, known := t.coming[d.Name]
		if !known {
			continue
		}
		missing := coming.total - d.Groups[coming.model]
		if missing <= 0 || now.Sub(coming.at) > turnTimeout {
			delete(t.coming, d.Name)
			continue
		}
		s.Busy[d.Name] = true
		for i, m := range models {
			if m.Name == coming.model {
				s.Coming[i] += missing
			}
		}
	}
	for epoch := range t.groups {
		g := v.Board.Groups[epoch.group]
		if g.State == blackboard.Released {
			delete(t.groups, epoch)
			continue
		}
		for i, m := range models {
			if g.Spec == m.Name {
				s.Leaving[i]++
			}
		}
	}
	for i, m := range models {
		s.Short[i] = isShort(v, now, m, have[m.Name]+s.Coming[i])
	}
	return s
}

// isShort reports whether a model's demand has exceeded its groups for long enough, and its
// callers notice.
func isShort(v View, now time.Time, m packing.Model, groups int) bool {
	since := v.Memory.turning.shortSince
	d, _, fresh := v.Demand.of(m.Name, now)
	if !fresh || m.Demand.Groups <= float64(groups) {
		delete(since, m.Name)
		return false
	}
	lasting := now.Sub(firstSeen(since, m.Name, now)) >= shortageDuration
	return lasting && d.LateFraction+d.RefusedFraction >= minUnserved
}

// beginTurn marks the groups of a turn as given up, so that they are drained, and makes their
// successors the previous choice for the domain.
func beginTurn(v View, now time.Time, d *packing.Domain, turn packing.Turn, reason string) {
	t := &v.Memory.turning
	for _, id := range turn.Groups {
		t.groups[groupEpoch{id, v.Board.Groups[id].Epoch}] = turnOf{turn.To, reason}
	}
	next := maps.Clone(d.PreviousGroups)
	if next == nil {
		next = maps.Clone(d.Groups)
	}
	next[turn.From] = max(0, next[turn.From]-len(turn.Groups))
	next[turn.To] += turn.Gain
	d.PreviousGroups = next
	d.Groups[turn.From] -= len(turn.Groups)
	t.coming[d.Name] = comingGroups{turn.To, d.Groups[turn.To] + turn.Gain, now}
	given := make(map[string]bool)
	for _, id := range turn.Groups {
		given[id] = true
	}
	for i, vm := range d.VMs {
		if given[vm.Group] {
			d.VMs[i].InGroup, d.VMs[i].Group, d.VMs[i].Serves = false, "", ""
		}
	}
}

// isTurning reports whether a group is given up for groups of another model, and why.
func (m *Memory) isTurning(g blackboard.Group) (turnOf, bool) {
	t, turning := m.turning.groups[groupEpoch{g.ID, g.Epoch}]
	return t, turning
}
