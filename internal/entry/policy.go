package entry

import (
	"math"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// priority returns the worth by which engines order their own queues: the worth in admission's
// policy, rounded.
func (s *Server) priority(j *job) int {
	return s.dispatcher.worth(j.workspace, j.class)
}

func (d *dispatcher) worth(workspace, class string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int(math.Round(d.policy.Worth(workspace, class)))
}

// policyOf converts the configuration in force into admission's policy.
func policyOf(c blackboard.Configuration) admission.Policy {
	p := admission.Policy{
		Workspaces: make(map[string]admission.WorkspacePolicy),
		Classes:    make(map[string]admission.ClassPolicy),
	}
	preset := c.Presets[c.ActivePreset]
	for name, w := range c.Workspaces {
		p.Workspaces[name] = admission.WorkspacePolicy{
			Worth: float64(preset.WorkspaceWorth[name]), Share: float64(w.Share),
		}
	}
	for name := range c.Classes {
		p.Classes[name] = admission.ClassPolicy{Worth: float64(c.ClassWorth(name))}
	}
	applyPriorities(c, &p)
	return p
}

func (d *dispatcher) setPolicy(p admission.Policy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.Seed = d.seed
	d.policy = p
	d.policyChanges++
	now := time.Now()
	d.queue.SetPolicy(now, p)
	d.dispatchWaiting(now)
}
