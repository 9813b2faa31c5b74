package control

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Committer writes a command through the leader, whichever control process that is.
type Committer interface {
	Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error)
}

// ReplaceConfiguration writes a complete configuration through the leader, which may be another
// process. The type of the error tells whether the outcome is known. The command may be sent
// again, because a version is applied only once.
func (s *Server) ReplaceConfiguration(ctx context.Context, through Committer, c *blackboard.ReplaceConfiguration) (blackboard.ReplaceOutcome, error) {
	return replaceVia(c, func(encoded []byte) ([]byte, error) { return s.commitThrough(ctx, through, encoded) })
}

// commitThrough writes a command for the board through the leader.
func (s *Server) commitThrough(ctx context.Context, through Committer, encoded []byte) ([]byte, error) {
	board := s.o.Machine.Board()
	if board.ClusterID == "" {
		return nil, failure.New(failure.TypeNotFounded, "this process has not joined the cluster yet").WithRan(failure.RanNo)
	}
	return through.Commit(ctx, &noderpc.CommitRequest{
		ClusterId: board.ClusterID, Machine: noderpc.Machine_MACHINE_BOARD, Command: encoded,
	})
}

// replaceVia checks a complete configuration, writes it with commit and decodes the outcome.
func replaceVia(c *blackboard.ReplaceConfiguration, commit func(encoded []byte) ([]byte, error)) (blackboard.ReplaceOutcome, error) {
	var outcome blackboard.ReplaceOutcome
	if e := c.Validate(); e != nil {
		return outcome, e
	}
	encoded, err := blackboard.Encode(c)
	if err != nil {
		return outcome, errors.Trace(err)
	}
	data, err := commit(encoded)
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

// postWholeConfiguration handles an operator's replacement of the complete configuration.
func (s *Server) postWholeConfiguration(c echo.Context) error {
	var whole blackboard.ReplaceConfiguration
	if err := decode(c, &whole); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	outcome, err := replaceVia(&whole, func(encoded []byte) ([]byte, error) {
		return s.proposeDurably(ctx, LogCommand(noderpc.Machine_MACHINE_BOARD, encoded))
	})
	if err != nil {
		return errors.Trace(err)
	}
	board := s.o.Machine.Board()
	version := strconv.FormatUint(outcome.Version, 10)
	s.event("configuration", version, "complete configuration of version "+version+" accepted")
	return c.JSON(http.StatusOK, adminapi.ReplaceReply{
		Version: outcome.Version, Revision: board.Config.Revision, Replaced: outcome.Replaced,
	})
}

// ConfigurationInForce returns the configuration in force if this process leads. Otherwise it
// returns a failure of type not_leader, whose detail is the leader's peer address if that is
// known.
func (s *Server) ConfigurationInForce(ctx context.Context) (*blackboard.Configuration, error) {
	if err := s.o.Consensus.ReadBarrier(ctx); err != nil {
		return nil, toFailure(err)
	}
	board := s.o.Machine.Board()
	return &board.Config, nil
}
