package control

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Committer writes a command through whichever control process leads.
type Committer interface {
	Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error)
}

// Replace writes a whole configuration through the leader, which may be
// another process. An error says by its type whether the outcome is known; the
// command may be sent again, as a version is taken in once.
func (s *Server) Replace(ctx context.Context, through Committer, c *blackboard.ReplaceConfiguration) (blackboard.ReplaceOutcome, error) {
	var outcome blackboard.ReplaceOutcome
	if e := c.Check(); e != nil {
		return outcome, e
	}
	encoded, err := blackboard.Encode(c)
	if err != nil {
		return outcome, errors.Trace(err)
	}
	board, _ := s.o.Machine.Board()
	if board.ClusterID == "" {
		return outcome, failure.New(failure.TypeNotFounded, "this process has not joined the cluster yet").WithRan(failure.RanNo)
	}
	data, err := through.Commit(ctx, &noderpc.CommitRequest{
		ClusterId: board.ClusterID, Machine: noderpc.Machine_MACHINE_BOARD, Command: encoded,
	})
	if err != nil {
		return outcome, errors.Trace(err)
	}
	if err := json.Unmarshal(data, &outcome); err != nil {
		return outcome, errors.Trace(err)
	}
	if outcome.Failure != nil {
		return outcome, outcome.Failure
	}
	return outcome, nil
}

// Newest returns the configuration in force, if this process leads and so
// surely knows it; else a failure of type not_leader, with the leader's peer
// address as its detail if one is known.
func (s *Server) Newest(ctx context.Context) (*blackboard.Configuration, error) {
	if err := s.o.Consensus.ReadBarrier(ctx); err != nil {
		return nil, typed(err)
	}
	board, _ := s.o.Machine.Board()
	return &board.Config, nil
}
