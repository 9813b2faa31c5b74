package control

import (
	"strings"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// logSuspects logs the requests, and the parts of prompts, that several crashes ended, when what the board counts of them has
// changed since the last call. An on-call engineer needs it to tell a crash that nobody reported from
// one that was reported and is not attributed. Only Run calls it.
func (s *Server) logSuspects(board *blackboard.Board) {
	before := s.loggedSuspects
	if blackboard.IsSameTable(before, board.Suspects) {
		return
	}
	s.loggedSuspects = board.Suspects
	changed := board.Attributions(before)
	for _, fingerprint := range sortedKeys(changed) {
		a := changed[fingerprint]
		line := []any{"event", "suspect", "fingerprint", fingerprint, "runs", a.Runs, "crashes", a.Crashes,
			"answers", a.Answers, "answered_before", a.Cause.AnsweredBefore, "needed", a.Needed, "crash_chance", a.Chance, "attributed", a.IsAttributed, "doubtful", a.Cause.Doubtful, "covered_by", a.CoveredBy}
		if part := a.Cause; part.Kind == blackboard.CausePart {
			line = append(line, "part", part.Name, "inseparable", part.Inseparable,
				"workspaces", strings.Join(part.Workspaces, ","))
		}
		_ = level.Info(s.o.Logger).Log(line...)
	}
}
