package control

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/replica"
)

// Limits of the admin API.
const (
	maxAdminBody = 4 << 20
	// maxEventsWait bounds a long poll for events.
	maxEventsWait = 30 * time.Second
	// adminTimeout bounds the commit of one operator's change.
	adminTimeout = 5 * time.Second
)

// AdminHandler returns the operators' API, which requires the bearer token. A non-nil forward
// relays requests to the leader. Pass nil for the peer listener, which receives the forwarded
// requests, so that no request is forwarded twice.
func (s *Server) AdminHandler(token string, forward *Forwarder) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = func(err error, c echo.Context) { writeError(c, err) }
	e.Use(auth.RequireTokenMiddleware(token))
	if forward != nil {
		e.Use(forward.middleware(s))
	}
	e.GET(adminapi.PathStatus, s.getStatus)
	e.POST(adminapi.PathInit, s.postInit)
	e.GET(adminapi.PathConfiguration, s.getConfiguration)
	e.POST(adminapi.PathConfiguration, s.postConfiguration)
	e.POST(adminapi.PathReplaceConfiguration, s.postWholeConfiguration)
	e.GET(adminapi.PathInForce, s.getInForce)
	e.GET(adminapi.PathEvacuations, s.getEvacuations)
	e.POST(adminapi.PathEvacuations+"/:data_centre", s.postEvacuation)
	e.DELETE(adminapi.PathEvacuations+"/:data_centre", s.deleteEvacuation)
	e.GET(adminapi.PathEvents, s.getEvents)
	return e
}

func writeError(c echo.Context, err error) {
	var he *echo.HTTPError
	if errors.As(err, &he) {
		t := failure.TypeBadRequest
		if he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed {
			t = failure.TypeNotFound
		}
		err = failure.New(t, http.StatusText(he.Code))
	}
	failure.Write(c.Response(), err)
}

func (s *Server) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Status())
}

// Status returns the state of the system as this process has applied it.
func (s *Server) Status() adminapi.Status {
	board := s.o.Machine.Board()
	st := adminapi.Status{
		ClusterID:      board.ClusterID,
		Founded:        s.o.Consensus.Status().Founded,
		BoardRevision:  board.Revision,
		ConfigRevision: board.Config.Revision,
		ActivePreset:   board.Config.ActivePreset,
		Presets:        sortedKeys(board.Config.Presets),
		Replicas:       s.replicas(),
		Voters:         s.voters(),
		Entries:        s.entries(board),
		Measures:       s.measures(),
	}
	for _, id := range sortedKeys(board.Groups) {
		st.Groups = append(st.Groups, board.Groups[id])
	}
	for _, id := range sortedKeys(board.VMs) {
		st.VMs = append(st.VMs, board.VMs[id])
	}
	for _, id := range sortedKeys(board.Services) {
		st.Services = append(st.Services, board.Services[id])
	}
	return st
}

func (s *Server) replicas() []adminapi.Replica {
	st := s.o.Consensus.Status()
	var list []adminapi.Replica
	for _, m := range st.Members {
		role := "voter"
		if m.Learner {
			role = "learner"
		}
		if m.ID == st.Leader.ID {
			role = "leader"
		}
		list = append(list, adminapi.Replica{
			ID: strconv.FormatUint(uint64(m.ID), 16), VM: m.VM, DataCentre: m.DataCentre, Address: m.Address, Role: role,
			SilentMillis: st.SilentFor[m.ID].Milliseconds(),
		})
	}
	return list
}

func (s *Server) voters() adminapi.Voters {
	v := s.o.Consensus.Status().Voters
	return adminapi.Voters{
		Wanted: v.Wanted, Answering: v.Answering,
		MissingMillis: v.MissingFor.Milliseconds(), Action: string(v.Action),
	}
}

func (s *Server) entries(board *blackboard.Board) []adminapi.EntryStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	var list []adminapi.EntryStatus
	for _, id := range sortedKeys(board.Entries) {
		list = append(list, adminapi.EntryStatus{
			Entry:          board.Entries[id],
			ConfigRevision: s.leases.holding(id).config,
			LeaseMillis:    s.leases.remaining(id, now).Milliseconds(),
		})
	}
	return list
}

// postInit founds (bootstraps) the cluster and writes its first configuration. A request that
// is sent again after a lost response succeeds with the same reply.
func (s *Server) postInit(c echo.Context) error {
	var r adminapi.InitRequest
	if err := decode(c, &r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	if err := s.Found(ctx, r.Initial); err != nil {
		return err
	}
	board := s.o.Machine.Board()
	if refusal := board.Changes[r.Initial.ChangeID].Failure; refusal != nil {
		return refusal
	}
	return c.JSON(http.StatusOK, adminapi.InitReply{ClusterID: board.ClusterID})
}

// Found founds (bootstraps) the cluster with an initial configuration, which may be empty. In a
// process that already belongs to a cluster, it only makes sure that the board has been
// initialised.
func (s *Server) Found(ctx context.Context, initial blackboard.ConfigChange) error {
	if err := s.o.Consensus.Found(ctx); err != nil {
		return foundError(err)
	}
	if err := s.waitForLeadership(ctx); err != nil {
		return errors.Trace(err)
	}
	id := strconv.FormatUint(s.o.Consensus.Status().Cluster, 16)
	var verdict blackboard.Verdict
	return errors.Trace(s.commitBoard(ctx,
		&blackboard.Found{ClusterID: id, Initial: initial, NowMillis: time.Now().UnixMilli()}, &verdict))
}

// foundError distinguishes an existing cluster (conflict) from a peer that did not respond
// (unavailable). In the second case init may be run again.
func foundError(err error) *failure.Error {
	t := failure.TypeConflict
	if errors.Is(err, replica.ErrPeerUnreachable) {
		t = failure.TypeUnavailable
	}
	return failure.New(t, err.Error())
}

func (s *Server) waitForLeadership(ctx context.Context) error {
	const poll = 10 * time.Millisecond
	for {
		if _, err := s.leading(); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.New(failure.TypeUnavailable, "the cluster is founded but has no leader yet; run init again")
		case <-time.After(poll):
		}
	}
}

func (s *Server) getConfiguration(c echo.Context) error {
	if err := s.o.Consensus.ReadBarrier(c.Request().Context()); err != nil {
		return toFailure(err)
	}
	board := s.o.Machine.Board()
	return c.JSON(http.StatusOK, board.Config)
}

func (s *Server) postConfiguration(c echo.Context) error {
	var change blackboard.ConfigChange
	if err := decode(c, &change); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), adminTimeout)
	defer cancel()
	var outcome blackboard.ChangeOutcome
	if err := s.commitBoard(ctx, &change, &outcome); err != nil {
		return errors.Trace(err)
	}
	if outcome.Failure != nil {
		return outcome.Failure
	}
	s.event("configuration", change.ChangeID, "configuration revision "+strconv.FormatUint(outcome.Revision, 10)+" accepted")
	return c.JSON(http.StatusOK, adminapi.ChangeReply{Revision: outcome.Revision})
}

// getInForce replies only while this process leads, and checks that again after reading the
// lease table. A leader that was cut off would otherwise count only the leases that it granted
// itself.
func (s *Server) getInForce(c echo.Context) error {
	revision, err := strconv.ParseUint(c.QueryParam("revision"), 10, 64)
	if err != nil {
		return failure.New(failure.TypeBadRequest, "revision must be a whole number").WithDetail("revision")
	}
	if _, err := s.leading(); err != nil {
		return err
	}
	board := s.o.Machine.Board()
	s.mu.Lock()
	pending := s.leases.pending(s.leases.registeredOrLeased(board.Entries), revision, clock.Now())
	s.mu.Unlock()
	if _, err := s.leading(); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, adminapi.InForce{
		Revision: revision,
		InForce:  len(pending) == 0 && board.Config.Revision >= revision,
		Pending:  pending,
	})
}

func (s *Server) getEvents(c echo.Context) error {
	after, _ := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(c.QueryParam("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxEventsWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, changed := s.events.after(after), s.events.changed
		s.mu.Unlock()
		if len(events.Events) > 0 {
			return c.JSON(http.StatusOK, events)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, events)
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func decode(c echo.Context, into any) error {
	data, err := io.ReadAll(io.LimitReader(c.Request().Body, maxAdminBody))
	switch {
	case failure.Is(err, failure.TypeOverloaded):
		return failure.From(err)
	case err != nil:
		return failure.New(failure.TypeBadRequest, "body: "+err.Error())
	}
	if err := bounded.CheckElements(data); err != nil {
		return failure.New(failure.TypeBadRequest, "body: "+err.Error())
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return failure.New(failure.TypeBadRequest, "body: "+err.Error())
	}
	return nil
}
