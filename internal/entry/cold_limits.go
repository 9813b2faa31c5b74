package entry

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/placement"
)

// updateColdLimits limits the requests to the backend servers that the board marks as cold,
// that is within their slow-start period. It ends the limits of those that are no longer cold.
func (s *Server) updateColdLimits(b *blackboard.Board) {
	limits := s.coldLimits(b)
	for incarnation := range s.cold {
		if _, cold := limits[incarnation]; !cold {
			s.setColdLimit(incarnation, nil)
		}
	}
	for incarnation, limit := range limits {
		if s.cold[incarnation] != limit {
			s.setColdLimit(incarnation, &limit)
		}
	}
	s.cold = limits
}

// coldLimits returns the limits of the backend servers that the board marks as cold, by
// incarnation.
func (s *Server) coldLimits(b *blackboard.Board) map[string]placement.RateLimit {
	if len(b.ColdServers) == 0 {
		return nil
	}
	limits := make(map[string]placement.RateLimit, len(b.ColdServers))
	for incarnation, row := range b.ColdServers {
		perSecond := b.Config.Services[row.Service].ColdPerSecond
		if perSecond <= 0 {
			continue
		}
		allowed := perSecond*s.o.Settings.ColdFactor + s.o.Settings.ColdSlack
		limits[incarnation] = placement.ColdLimit(perSecond, allowed)
	}
	return limits
}

// setColdLimit applies the limit of a cold backend server on this entry; nil ends it.
func (s *Server) setColdLimit(incarnation string, limit *placement.RateLimit) {
	share := s.dispatcher.setRateLimit(time.Now(), incarnation, placement.CauseCold, limit)
	if limit == nil {
		_ = level.Info(s.o.Logger).Log("event", "cold_ended", "incarnation", incarnation)
		return
	}
	_ = level.Info(s.o.Logger).Log("event", "cold", "incarnation", incarnation, "per_second", limit.PerSecond,
		"sharing", limit.SharingEntries, "share", share)
}
