package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
)

// withDataCentres returns the server's board with the instances a, b and c in the data centres
// dc-a, dc-b and dc-c.
func withDataCentres(s *Server) *blackboard.Board {
	board := *s.o.Follower.Board()
	board.Services = make(map[string]blackboard.ServiceInstance)
	for id, i := range s.o.Follower.Board().Services {
		i.DataCentre = "dc-" + id
		board.Services[id] = i
	}
	return &board
}

// evacuate sets the server's board to one on which the given data centres are evacuated since an
// unknown time, and updates the routes.
func evacuate(s *Server, board *blackboard.Board, dataCentres ...string) {
	evacuateSince(s, board, 0, dataCentres...)
}

func evacuateSince(s *Server, board *blackboard.Board, since clock.Boot, dataCentres ...string) {
	next := *board
	next.Revision++
	next.Evacuations = make(map[string]blackboard.Evacuation)
	for _, dataCentre := range dataCentres {
		next.Evacuations[dataCentre] = blackboard.Evacuation{Revision: next.Revision}
	}
	s.o.Follower = fixedBoard{board: &next, lease: time.Minute, evacuatedSince: since}
	s.updateRoutes()
}

// Guards against requests and retries that are sent to an evacuated data centre.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	failing := answerWith(500, "failed", false)
	f := &scriptedForwarder{}
	for range 6 {
		f.answers = append(f.answers, failing)
	}
	s := configuredServer(t, f)
	evacuate(s, withDataCentres(s), "dc-b")
	for range 3 {
		send(s, ForwardRequest{Path: "/many/x"})
	}
	assert.Assert(t, len(f.calls) > 1)
	for _, c := range f.calls {
		assert.Assert(t, c.Incarnation != "i-b")
	}

	evacuate(s, withDataCentres(s))
	assert.Equal(t, len(s.loggedRoutes), 3)
}

// Guards against closing a data centre at the order, before other data centres can serve its
// requests, and against sending requests there after the closing time.
func TestEvacuatedTargetsStayOpenUntilClosingTime(t *testing.T) {
	ok := answerWith(200, "x", false)
	s := configuredServer(t, &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){ok, ok}})
	s.o.Settings.EvacuateMillis, s.o.Settings.Deaf = 60_000, true
	board := withDataCentres(s)
	evacuateSince(s, board, clock.Now(), "dc-a")
	assert.Equal(t, len(s.loggedRoutes), 3)
	assert.Assert(t, s.areRoutesCurrent(), "nothing closes yet")
	assert.Assert(t, s.permit(&job{}, s.loggedRoutes["a"])())

	evacuateSince(s, board, clock.Now(), "dc-a", "dc-b", "dc-c")
	_, e, _ := send(s, ForwardRequest{Path: "/many/x"})
	assert.Assert(t, e == nil, "all data centres are evacuated and none is closed")

	open := s.loggedRoutes["a"]
	open.closesAt = clock.Now().Add(-time.Millisecond)
	assert.Assert(t, !s.permit(&job{}, open)(), "granted before the closing time and not sent yet")
	s.routesCloseAt = clock.Now().Add(-time.Millisecond)
	assert.Assert(t, !s.areRoutesCurrent(), "the targets close with time alone")

	evacuateSince(s, board, clock.Now().Add(-time.Minute), "dc-a", "dc-b", "dc-c")
	assert.Equal(t, len(s.loggedRoutes), 0)
	began := time.Now()
	_, e, _ = send(s, ForwardRequest{Path: "/many/x"})
	assert.Equal(t, e.Type, failure.TypeNoBackendServer)
	assert.Equal(t, e.Ran, failure.RanNo)
	assert.Assert(t, e.RetryAfter > 0 && time.Since(began) < failoverWait, "refused at once")
}

// Guards against callers that are told to return each second for as long as all backend servers of
// their service are in evacuated data centres.
func TestRetryAfterGrowsWhileAllTargetsAreEvacuated(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{})
	s.o.Settings.EvacuateMillis = 1
	board := withDataCentres(s)
	evacuate(s, board, "dc-a", "dc-b", "dc-c")
	_, first, _ := send(s, ForwardRequest{Path: "/many/x"})
	assert.Equal(t, first.Type, failure.TypeNoBackendServer)
	for pool := range s.dispatcher.emptySince {
		s.dispatcher.emptySince[pool] = time.Now().Add(-20 * time.Second)
	}
	_, later, _ := send(s, ForwardRequest{Path: "/many/x"})
	assert.Assert(t, first.RetryAfter < 2*evacuatedRetryAfter, "%s at first", first.RetryAfter)
	assert.Assert(t, later.RetryAfter >= 20*time.Second && later.RetryAfter <= 40*time.Second, "%s after 20 s", later.RetryAfter)
}

// Guards against an entry that sends a cold backend server its full share of requests, and
// against one that limits the server for good.
func TestColdBackendServerIsLimited(t *testing.T) {
	s := configuredServer(t, &scriptedForwarder{})
	s.o.Settings.ColdFactor = 1
	board := withDataCentres(s)
	board.Config.Services = map[string]blackboard.ServiceSpec{"files": {Name: "files", ColdPerSecond: 1}}
	board.ColdServers = map[string]blackboard.ColdServer{"i-a": {Service: "files"}, "i-b": {Service: "unknown"}}
	evacuate(s, board)
	now := time.Now()
	assert.Equal(t, len(s.cold), 1)
	s.dispatcher.noteIsolated(now, "a")
	assert.Assert(t, s.dispatcher.picker.IsBlocked(now, "a"))
	assert.Assert(t, !s.dispatcher.picker.IsBlocked(now, "b"))

	board.ColdServers = nil
	evacuate(s, board)
	assert.Assert(t, !s.dispatcher.picker.IsBlocked(now, "a"))
}
