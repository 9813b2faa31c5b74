package control

import (
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// suspectLog logs the requests that several crashes ended, when what the board counts of them
// changes. An on-call engineer needs it to tell a crash that nobody reported from one that was
// reported and is not attributed.
type suspectLog struct {
	suspects map[string]blackboard.Suspect
	logged   map[string]blackboard.Attribution
}

// logSuspects logs the suspects that have changed since the last call. Only Run calls it.
func (s *Server) logSuspects(board *blackboard.Board) {
	l := &s.suspectLog
	if blackboard.IsSameTable(l.suspects, board.Suspects) {
		return
	}
	l.suspects = board.Suspects
	now := board.Attributions()
	for _, fingerprint := range sortedKeys(now) {
		a := now[fingerprint]
		if l.logged[fingerprint] == a {
			continue
		}
		_ = level.Info(s.o.Logger).Log("event", "suspect", "fingerprint", fingerprint, "runs", a.Runs, "crashes", a.Crashes,
			"needed", a.Needed, "attributed", a.IsAttributed, "covered_by", a.CoveredBy)
	}
	l.logged = now
}
