package entry

import (
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement/firstevent"
)

// engineFigures returns the published figures of the engines that serve each model.
func engineFigures(c *blackboard.Configuration) map[string]firstevent.Figures {
	figures := make(map[string]firstevent.Figures)
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			figures[m.Name] = modelFigures(s.Engine, m)
		}
	}
	return figures
}

func modelFigures(e *blackboard.EngineSpec, m blackboard.ModelSpec) firstevent.Figures {
	return firstevent.Figures{
		Slots: e.Slots, Step: fromMillis(e.StepMillis), PerRequest: fromMillis(e.PerRequestMillis),
		StepsPerPass: e.TokensPerEvent, PromptTokensPerSecond: e.PromptTokensPerSecond, ChunkTokens: e.ChunkTokens,
		Pace: m.Pace, UsualPrompt: e.UsualPrompt, UsualAnswer: e.UsualAnswer,
	}
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// setFigures sets the published figures of the models' engines.
func (d *dispatcher) setFigures(figures map[string]firstevent.Figures) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.picker.SetFigures(figures)
}

// requestLimits returns the limit of a serving group in requests by model.
func (d *dispatcher) requestLimits() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.picker.RequestLimits()
}
