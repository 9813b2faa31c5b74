package entry

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// noteServing logs once when the entry first admits requests: how long after its start, with which configuration, and
// whether it holds a lease. Only the route loop calls it.
func (s *Server) noteServing(now time.Time) {
	board := s.o.Follower.Board()
	if s.isServing || board.Config.Revision == 0 || s.mayAdmit() != nil {
		return
	}
	s.isServing = true
	lease := s.o.Follower.LeaseRemaining()
	_ = level.Info(s.stateLogger()).Log("event", "serving", "after_ms", now.Sub(s.startedAt).Milliseconds(), "board", board.Revision,
		"config", board.Config.Revision, "has_lease", lease > 0, "lease_ms", max(0, lease).Milliseconds())
}

// stateLogger returns the logger of lines about the state of the entry as a whole.
func (s *Server) stateLogger() log.Logger {
	if s.o.StateLogger == nil {
		return s.o.Logger
	}
	return s.o.StateLogger
}
