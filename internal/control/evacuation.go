package control

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Evacuate orders the evacuation of a data centre, or ends it if end is set. The command goes
// through the leader, which may be another process. The type of the error tells whether the
// outcome is known. The order may be sent again.
func (s *Server) Evacuate(ctx context.Context, through Committer, dataCentre string, end bool) (blackboard.EvacuationOutcome, error) {
	return s.evacuateVia(dataCentre, end, func(encoded []byte) ([]byte, error) { return s.commitThrough(ctx, through, encoded) })
}

// evacuateVia checks an order, writes it with commit and decodes the outcome.
func (s *Server) evacuateVia(dataCentre string, end bool, commit func(encoded []byte) ([]byte, error)) (blackboard.EvacuationOutcome, error) {
	var outcome blackboard.EvacuationOutcome
	if e := s.checkDataCentre(dataCentre); e != nil {
		return outcome, e
	}
	encoded, err := blackboard.Encode(&blackboard.SetEvacuation{DataCentre: dataCentre, End: end, NowMillis: time.Now().UnixMilli()})
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
	s.addEvacuationEvent(dataCentre, end, outcome)
	return outcome, nil
}

// checkDataCentre returns an error if neither the board nor the settings name the data centre.
func (s *Server) checkDataCentre(dataCentre string) *failure.Error {
	known := s.o.Machine.Board().DataCentres()
	for _, named := range s.o.DataCentres {
		if !slices.Contains(known, named) {
			known = append(known, named)
		}
	}
	if slices.Contains(known, dataCentre) {
		return nil
	}
	slices.Sort(known)
	return failure.New(failure.TypeNotFound, "unknown data centre; known data centres: "+strings.Join(known, ", ")).WithDetail(dataCentre)
}

func (s *Server) addEvacuationEvent(dataCentre string, end bool, outcome blackboard.EvacuationOutcome) {
	text := "evacuation ordered"
	if end {
		text = "evacuation ended"
	}
	if !outcome.Changed {
		text += "; nothing changed"
	}
	s.event("evacuation", dataCentre, text)
}

// postEvacuation and deleteEvacuation handle an operator's order to begin or end an evacuation.
func (s *Server) postEvacuation(c echo.Context) error { return s.changeEvacuation(c, false) }

func (s *Server) deleteEvacuation(c echo.Context) error { return s.changeEvacuation(c, true) }

func (s *Server) changeEvacuation(c echo.Context, end bool) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	outcome, err := s.evacuateVia(c.Param("data_centre"), end, func(encoded []byte) ([]byte, error) {
		return s.proposeDurably(ctx, LogCommand(noderpc.Machine_MACHINE_BOARD, encoded))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return c.JSON(http.StatusOK, adminapi.EvacuationReply{Revision: outcome.Revision, Changed: outcome.Changed})
}

// getEvacuations lists the data centres under evacuation. Like getInForce, it replies only
// while this process leads, and checks that again after reading the leases.
func (s *Server) getEvacuations(c echo.Context) error {
	if _, err := s.leading(); err != nil {
		return err
	}
	board := s.o.Machine.Board()
	list := adminapi.Evacuations{}
	for _, dataCentre := range sortedKeys(board.Evacuations) {
		list.Evacuations = append(list.Evacuations, s.evacuationOf(board, dataCentre))
	}
	if _, err := s.leading(); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}

// evacuationOf describes the evacuation of one data centre.
func (s *Server) evacuationOf(board *blackboard.Board, dataCentre string) adminapi.Evacuation {
	row := board.Evacuations[dataCentre]
	s.mu.Lock()
	pending := s.leases.pendingBoard(s.leases.registeredOrLeased(board.Entries), row.Revision, clock.Now())
	s.mu.Unlock()
	e := adminapi.Evacuation{
		DataCentre: dataCentre, SinceMillis: row.SinceMillis, Revision: row.Revision, InForce: len(pending) == 0, Pending: pending,
	}
	for _, id := range sortedKeys(board.Groups) {
		if g := board.Groups[id]; g.State == blackboard.Serving && g.DataCentre == dataCentre {
			e.Groups = append(e.Groups, id)
		}
	}
	for _, id := range sortedKeys(board.Services) {
		if board.Services[id].DataCentre == dataCentre {
			e.Services = append(e.Services, id)
		}
	}
	return e
}
