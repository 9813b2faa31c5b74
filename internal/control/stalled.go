package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Suspect handles an entry's report that groups make no progress. Entries have requests running
// on the groups, so they notice a stall seconds before a member's missing announcements would
// reveal it.
func (s *Server) Suspect(_ context.Context, r *noderpc.SuspectRequest) (*noderpc.SuspectReply, error) {
	if _, err := s.leading(); err != nil {
		return nil, rpcError(err)
	}
	board := s.o.Machine.Board()
	if r.ClusterId != board.ClusterID {
		return nil, rpcError(failure.New(failure.TypeConflict, "the entry follows another cluster").WithRan(failure.RanNo))
	}
	now := time.Now()
	dataCentre := board.Entries[r.EntryId].DataCentre
	s.mu.Lock()
	for _, g := range r.Groups {
		group := controller.GroupEpoch{Group: g.Group, Epoch: g.Epoch}
		s.stalls.Record(now, r.EntryId, dataCentre, group, time.Duration(g.SilentMs)*time.Millisecond)
	}
	s.mu.Unlock()
	for _, g := range r.Groups {
		_ = level.Info(s.o.Logger).Log("event", "group_suspected", "group", g.Group, "epoch", g.Epoch,
			"by", r.EntryId, "silent_ms", g.SilentMs)
	}
	s.Wake()
	return &noderpc.SuspectReply{}, nil
}

// Wake makes the controllers run now if this process leads.
func (s *Server) Wake() {
	select {
	case s.woken <- struct{}{}:
	default:
	}
}

// stalledGroups returns the groups that are to be broken for a stall by the entries' reports.
func (s *Server) stalledGroups(now time.Time, board *blackboard.Board) map[controller.GroupEpoch]time.Time {
	if !s.hasStallReports() {
		return nil
	}
	var announcements controller.Announcements
	s.o.Evidence.WithTable(func(t *evidence.Table) { announcements = controller.AnnouncementsOfMembers(board, t) })
	entries := make(map[string]int)
	for _, e := range board.Entries {
		if e.Address != "" {
			entries[e.DataCentre]++
		}
	}
	s.mu.Lock()
	stalled, withheld := s.stalls.Stalled(now, entries, announcements)
	isNew := withheld > s.withheldStalls
	s.withheldStalls = withheld
	s.mu.Unlock()
	if isNew {
		_ = level.Info(s.o.Logger).Log("event", "stalls_withheld", "groups", withheld, "board", board.Revision,
			"reason", "no backend server announces itself meanwhile")
	}
	return stalled
}

func (s *Server) hasStallReports() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stalls.IsEmpty()
}
