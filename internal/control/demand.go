package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/demand"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// demandWriteInterval is the shortest time between two writes of the demand to the board.
const demandWriteInterval = 2 * time.Second

// ReportDemand handles an entry's report of the demand that it observed.
func (s *Server) ReportDemand(_ context.Context, r *noderpc.DemandReport) (*noderpc.DemandReply, error) {
	if _, err := s.leading(); err != nil {
		return nil, rpcError(err)
	}
	board := s.o.Machine.Board()
	if r.ClusterId != board.ClusterID {
		return nil, rpcError(failure.New(failure.TypeConflict, "the entry follows another cluster").WithRan(failure.RanNo))
	}
	report := decodeDemand(r, &board.Config)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand.Record(now, report)
	return &noderpc.DemandReply{}, nil
}

// decodeDemand returns a report without the models whose demand is not followed, such as models
// that the configuration no longer contains.
func decodeDemand(r *noderpc.DemandReport, config *blackboard.Configuration) demand.Report {
	report := demand.Report{
		Entry: r.EntryId, Window: time.Duration(r.WindowMs) * time.Millisecond, Counts: make(map[demand.Class]demand.Count),
	}
	for _, c := range r.Classes {
		if !config.FollowsDemand(c.Model) {
			continue
		}
		report.Counts[demand.Class{Model: c.Model, Class: c.Class}] = demand.Count{
			Arrived: int(c.Arrived), Tokens: int(c.Tokens), OnTime: int(c.OnTime), Late: int(c.Late), Refused: int(c.Refused),
		}
	}
	return report
}

// observedDemand returns the demand for the controllers: by the entries' reports if nearly all
// entries report to this leader, and otherwise by the board, where the leader before wrote it.
func (s *Server) observedDemand(now time.Time, board *blackboard.Board) controller.Demand {
	if !board.Config.AnyFollowsDemand() {
		return controller.Demand{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := s.reportingEntries(board)
	if entries < s.demandMinEntries {
		return controller.Demand{}
	}
	d := controller.Demand{MaxAge: demand.MaxAge(entries), Observed: s.demand.IsComplete(now, entries)}
	if d.Observed {
		d.Models = s.demand.Summaries(now)
		return d
	}
	for _, model := range sortedKeys(board.Demand) {
		row := board.Demand[model]
		d.Models = append(d.Models, demand.Summary{
			Model: model, RequestsPerSecond: row.RequestsPerSecond, TokensPerSecond: row.TokensPerSecond,
			LateFraction: row.LateFraction, RefusedFraction: row.RefusedFraction, UpdatedAt: time.UnixMilli(row.UpdatedMillis),
		})
	}
	return d
}

// reportingEntries returns how many entries take callers' requests and should report. The lock
// is held.
func (s *Server) reportingEntries(board *blackboard.Board) int {
	n, now := 0, clock.Now()
	for id, e := range board.Entries {
		if e.Address != "" && s.leases.remaining(id, now) > 0 {
			n++
		}
	}
	return n
}

// writeDemand writes the demand to the board for the next leader, if it has changed enough. A
// write that fails is made up for by the next.
func (s *Server) writeDemand(ctx context.Context, board *blackboard.Board, now time.Time, d controller.Demand) {
	if !d.Observed || now.Sub(s.demandWrittenAt) < demandWriteInterval {
		return
	}
	rows := make(map[string]blackboard.ModelDemand, len(d.Models))
	for _, m := range d.Models {
		rows[m.Model] = blackboard.ModelDemand{
			RequestsPerSecond: m.RequestsPerSecond, TokensPerSecond: m.TokensPerSecond,
			LateFraction: m.LateFraction, RefusedFraction: m.RefusedFraction, UpdatedMillis: m.UpdatedAt.UnixMilli(),
		}
	}
	if !board.DemandChanged(rows) {
		return
	}
	s.demandWrittenAt = now
	for _, m := range d.Models {
		_ = level.Info(s.o.Logger).Log("event", "demand", "model", m.Model, "requests_per_s", m.RequestsPerSecond,
			"tokens_per_s", m.TokensPerSecond, "late", m.LateFraction, "refused", m.RefusedFraction,
			"age_ms", now.Sub(m.UpdatedAt).Milliseconds())
	}
	s.propose(ctx, []blackboard.Command{&blackboard.RecordDemand{Models: rows}})
}
