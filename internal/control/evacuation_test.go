package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// selfCommitter commits commands through the server itself.
type selfCommitter struct{ s *Server }

func (c selfCommitter) Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error) {
	return c.s.proposeDurably(ctx, LogCommand(r.Machine, r.Command))
}

func evacuatingServer(t *testing.T, minDisks, voters int) (*Server, *immediateConsensus) {
	t.Helper()
	s, c := leadingServer(t, minDisks, voters)
	s.o.DataCentres = []string{"quiet"}
	var verdict blackboard.Verdict
	assert.NilError(t, s.commitBoard(context.Background(), &blackboard.PutService{Instance: blackboard.ServiceInstance{
		ID: "f", Service: "files", DataCentre: "east",
	}}, &verdict))
	return s, c
}

// Guards against an order that names an unknown data centre, and so evacuates nothing.
func TestEvacuationOfAnUnknownDataCentreIsRefused(t *testing.T) {
	s, _ := evacuatingServer(t, 0, 1)
	_, err := s.Evacuate(context.Background(), selfCommitter{s}, "est", false)
	assert.Assert(t, failure.Is(err, failure.TypeNotFound))
	assert.ErrorContains(t, err, "east, quiet")
	_, err = s.Evacuate(context.Background(), selfCommitter{s}, "quiet", false)
	assert.NilError(t, err, "a data centre without backend servers that the settings name")
}

// Guards against an evacuation that is acknowledged and then lost with one disk.
func TestNoEvacuationIsAcknowledgedOnTooFewDisks(t *testing.T) {
	s, c := evacuatingServer(t, 3, 3)
	_, err := s.Evacuate(context.Background(), selfCommitter{s}, "east", false)
	assert.Assert(t, failure.Is(err, failure.TypeUnavailable))
	c.voters = 5
	outcome, err := s.Evacuate(context.Background(), selfCommitter{s}, "east", false)
	assert.NilError(t, err)
	assert.Assert(t, outcome.Changed)
	again, err := s.Evacuate(context.Background(), selfCommitter{s}, "east", false)
	assert.NilError(t, err)
	assert.Equal(t, again.Revision, outcome.Revision)
}

// Guards against an evacuation that is reported as in force while an entry may still send
// requests to the data centre.
func TestAnEvacuationIsInForceOnceEachEntryHoldsIt(t *testing.T) {
	s, _ := evacuatingServer(t, 0, 1)
	s.mu.Lock()
	s.leases.grant("e", clock.Now())
	s.mu.Unlock()
	admin := s.AdminHandler("", nil)
	call := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		admin.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	assert.Equal(t, call(http.MethodPost, adminapi.PathEvacuations+"/east").Code, http.StatusOK)
	assert.Assert(t, strings.Contains(call(http.MethodGet, adminapi.PathEvacuations).Body.String(), `"in_force":false,"pending":["e"]`))
	s.acknowledge(&noderpc.WatchRequest{EntryId: "e", HaveRevision: s.o.Machine.Board().Revision})
	assert.Assert(t, strings.Contains(call(http.MethodGet, adminapi.PathEvacuations).Body.String(), `"in_force":true,"services":["f"]`))
	assert.Equal(t, call(http.MethodDelete, adminapi.PathEvacuations+"/east").Code, http.StatusOK)
	assert.Assert(t, !s.o.Machine.Board().Evacuated("east"))
	assert.Equal(t, call(http.MethodPost, adminapi.PathEvacuations+"/nowhere").Code, http.StatusNotFound)
}
