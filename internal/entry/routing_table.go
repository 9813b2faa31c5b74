package entry

import (
	"math"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
)

// routingTable is the configuration that applies to requests of routes. A request keeps the
// table that it began with.
type routingTable struct {
	config *blackboard.Configuration
	index  *blackboard.RouteIndex
}

// applyConfiguration puts the board's configuration into effect on this entry.
func (s *Server) applyConfiguration(b *blackboard.Board) {
	p := policyOf(b.Config)
	if b.Config.Version > 0 {
		p.RetryRatio = s.o.Settings.RetryRatio
		p.RetryPerSecond = admission.RetriesPerSecondWithoutLoan(s.o.Settings.RetrySlack, len(callerFacingEntries(b)))
		s.routing.Store(&routingTable{config: &b.Config, index: blackboard.NewRouteIndex(b.Config.Routes)})
	}
	s.dispatcher.setPolicy(p)
}

// CallerLimits returns the limits for callers in the configuration in force. A limit that the
// configuration does not set, or sets higher, is that of most.
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

// callerFacingEntries returns the entries that serve callers' requests. They share the limit on
// retries and the rate limits of backend servers. Without any, it returns one empty id.
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
	// lowestRank is the rank of all priorities from 9 on.
	lowestRank = 9
	// workspaceStep is the factor in worth between two priorities of workspaces. It exceeds the
	// whole range of the routes' worth (see routeStep), so that the workspace's priority comes
	// first.
	workspaceStep = 4
	// routeStep is what one priority of routes adds to the worth.
	routeStep = 0.2
)

// applyPriorities sets the worth of workspaces and routes by their priorities.
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
