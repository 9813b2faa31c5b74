package controller

import (
	"fmt"
	"math"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/demand"
	"github.com/citronstep/citronstep/internal/placement/packing"
)

// Demand is what callers ask of the models whose groups are laid out by demand.
type Demand struct {
	Models []demand.Summary
	// MaxAge is the age from which a summary counts for nothing.
	MaxAge time.Duration
	// Observed is true if nearly all entries report to this leader. Otherwise the summaries are
	// those that an earlier leader wrote to the board.
	Observed bool
}

// of returns the demand for a model and its age, if it is younger than MaxAge. A time in the
// future by more than that is as useless as an old one: the clocks of two leaders differ.
func (d Demand) of(model string, now time.Time) (demand.Summary, time.Duration, bool) {
	for _, m := range d.Models {
		if m.Model != model {
			continue
		}
		age := now.Sub(m.UpdatedAt)
		return m, max(0, age), age < d.MaxAge && age > -d.MaxAge
	}
	return demand.Summary{}, 0, false
}

// capacitySlotsFraction is the fraction of a group's slots up to which its capacity is counted.
// The rest absorbs what arrives unevenly, and requests longer than the usual ones.
const capacitySlotsFraction = 0.75

// GroupCapacity returns how many requests a second one group of a model serves on time by the
// engine's figures; 0 if the figures are missing. tokens is the mean work of the model's
// requests, in tokens; 0 stands for the usual work.
//
// A group that runs n requests produces one token of each in a step. Prompts are read between
// the steps, so each request also takes the time to read its prompt from all others.
func GroupCapacity(e *blackboard.EngineSpec, model string, tokens float64) float64 {
	if e == nil || e.Slots < 1 || e.StepMillis <= 0 || e.PromptTokensPerSecond <= 0 {
		return 0
	}
	if tokens <= 0 {
		tokens = float64(e.UsualTokens())
	}
	pace := 1.0
	for _, m := range e.Models {
		if m.Name == model && m.Pace > 0 {
			pace = m.Pace
		}
	}
	prompt := tokens * float64(e.UsualPrompt) / float64(e.UsualTokens())
	running := max(1, capacitySlotsFraction*float64(e.Slots))
	step := e.StepMillis + running*(e.PerRequestMillis+e.ContextMillisPerThousand*prompt/1000)
	millis := float64(max(1, e.UsualAnswer))*step + running*1000*prompt/e.PromptTokensPerSecond
	return running * 1000 / (pace * millis)
}

// addDemand adds the observed demand to the models of a pool. It adds none unless it is known for
// all of them: a model without requests is known to have none only beside fresh demand for others.
func addDemand(v View, now time.Time, pool string, models []packing.Model) {
	if !v.Board.Config.Services[pool].FollowsDemand() {
		return
	}
	youngest, isFresh := v.Demand.MaxAge, false
	for _, m := range models {
		if _, age, fresh := v.Demand.of(m.Name, now); fresh {
			youngest, isFresh = min(youngest, age), true
		}
	}
	if !isFresh {
		return
	}
	for i, m := range models {
		byFigures := groupsFor(v, now, m.Name)
		models[i].Demand = &packing.Demand{
			Groups: max(byFigures, v.Memory.turning.groupsByEvidence(v, now, m.Name)), RecentPeak: v.Memory.turning.recentPeak(now, m.Name, byFigures), Age: youngest,
		}
	}
}

const (
	// loadGrowth is how many times the greatest load that a group of a model has carried on time it
	// is expected to carry. Published figures give what a group carries, and not what it carries on
	// time; by the figures alone, a model whose groups are well used would lose VMs to another.
	loadGrowth = 4.0 / 3
	// loadMemory is the time constant with which that load is forgotten.
	loadMemory = time.Minute
)

// carriedLoad is the greatest load, in requests a second, that a group of a model has carried on
// time, as of a time.
type carriedLoad struct {
	perGroup float64
	at       time.Time
}

// groupsByEvidence returns how many groups of a model serve its demand by what its groups have
// carried on time; 0 without evidence.
func (t *turning) groupsByEvidence(v View, now time.Time, model string) float64 {
	d, _, fresh := v.Demand.of(model, now)
	groups := 0
	for _, g := range v.Board.Groups {
		if g.Spec == model && g.State == blackboard.Serving {
			groups++
		}
	}
	if !fresh || groups == 0 {
		return 0
	}
	c := t.carried[model]
	c.perGroup *= math.Exp(-now.Sub(c.at).Seconds() / loadMemory.Seconds())
	c.at = now
	if d.LateFraction+d.RefusedFraction < minUnserved {
		c.perGroup = max(c.perGroup, d.RequestsPerSecond/float64(groups))
	}
	t.carried[model] = c
	if c.perGroup <= 0 {
		return 0
	}
	return d.RequestsPerSecond / (loadGrowth * c.perGroup)
}

// groupsFor returns how many groups of a model serve its demand.
func groupsFor(v View, now time.Time, model string) float64 {
	d, _, fresh := v.Demand.of(model, now)
	if !fresh || d.RequestsPerSecond <= 0 {
		return 0
	}
	capacity := GroupCapacity(engineSpec(v, model), model, d.TokensPerSecond/d.RequestsPerSecond)
	if capacity <= 0 {
		return 0
	}
	return d.RequestsPerSecond / capacity
}

// turnReason returns the inputs of a turn: the demand for each model, the groups that it needs and
// has, and what a group carries.
func turnReason(v View, now time.Time, models []packing.Model, domains []packing.Domain) string {
	text := ""
	for _, m := range models {
		have := 0
		for _, d := range domains {
			have += d.Groups[m.Name]
		}
		if text != "" {
			text += "; "
		}
		text += fmt.Sprintf("%s has %d groups, ", m.Name, have) + demandText(v, now, m)
	}
	return text
}

// demandText describes the demand for one model.
func demandText(v View, now time.Time, m packing.Model) string {
	d, age, fresh := v.Demand.of(m.Name, now)
	if m.Demand == nil || !fresh {
		return "no demand known"
	}
	tokens := d.TokensPerSecond / max(d.RequestsPerSecond, 1e-9)
	return fmt.Sprintf("needs %.1f, recently %.1f: %.0f requests/s of %.0f tokens, %.1f/s a group, %.2f late, %.2f refused, %d ms old",
		m.Demand.Groups, m.Demand.RecentPeak, d.RequestsPerSecond, tokens, GroupCapacity(engineSpec(v, m.Name), m.Name, tokens),
		d.LateFraction, d.RefusedFraction, age.Milliseconds())
}
