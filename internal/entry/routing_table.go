package entry

import (
	"math"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// routingTable is the configuration that requests of routes are judged by. A
// request keeps the one that it began with.
type routingTable struct {
	config *blackboard.Configuration
	index  *blackboard.RouteIndex
}

// takeConfiguration puts the board's configuration in force on this entry.
func (s *Server) applyConfiguration(b *blackboard.Board) {
	p := policyOf(b.Config)
	if b.Config.Version > 0 {
		p.RetryRatio = s.o.Settings.RetryRatio
		p.RetryPerSecond = admission.OwnRetries(s.o.Settings.RetrySlack, len(callerFacingEntries(b)))
		s.routing.Store(&routingTable{config: &b.Config, index: blackboard.NewRouteIndex(b.Config.Routes)})
	}
	s.dispatcher.setPolicy(p)
}

// CallerLimits returns what the configuration in force allows callers, each limit
// as in most if it does not say or says more.
func (s *Server) CallerLimits(most blackboard.CallerLimits) blackboard.CallerLimits {
	table := s.routing.Load()
	if table == nil {
		return most
	}
	if n := table.config.Limits.MaxBodyBytes; n > 0 {
		most.MaxBodyBytes = min(most.MaxBodyBytes, n)
	}
	if n := table.config.Limits.MaxHeaderBytes; n > 0 {
		most.MaxHeaderBytes = min(most.MaxHeaderBytes, n)
	}
	return most
}

// callersEntries returns the entries that take callers' requests, and so share the limit
// on retries and the rate limits of backend servers; one without a name if there are none.
func callerFacingEntries(b *blackboard.Board) []string {
	var ids []string
	for id, e := range b.Entries {
		if e.Address != "" {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return []string{""}
	}
	return ids
}

const (
	// lowestRank is the rank of the last priority that is told apart.
	lowestRank = 9
	// workspaceStep is the factor in worth between two priorities of workspaces.
	// It is over the whole range of routeWorth, so that the workspace's priority
	// comes first.
	workspaceStep = 4
	// routeStep is what one priority of routes adds to the worth.
	routeStep = 0.2
)

// rankRoutes gives workspaces and routes the worth of their priorities.
func applyPriorities(c blackboard.Configuration, p *admission.Policy) {
	if c.Version == 0 {
		return
	}
	for name, w := range c.Workspaces {
		entry := p.Workspaces[name]
		entry.Worth = math.Pow(workspaceStep, float64(lowestRank-rank(w.Priority)))
		p.Workspaces[name] = entry
	}
	for name, r := range c.Routes {
		p.Classes[name] = admission.ClassPolicy{Worth: 1 + routeStep*float64(lowestRank-rank(r.Priority))}
	}
}

func rank(priority int) int { return min(max(priority, 0), lowestRank) }
