package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

func TestHomesOfRouteAndWorkspaceBothBind(t *testing.T) {
	assert.Assert(t, homesOf(nil, nil) == nil)
	assert.DeepEqual(t, homesOf([]string{"b", "a"}, nil), []string{"a", "b"})
	assert.DeepEqual(t, homesOf([]string{"a", "b"}, []string{"b", "c"}), []string{"b"})
	none := homesOf([]string{"a"}, []string{"b"})
	assert.Assert(t, none != nil && len(none) == 0)
	assert.Assert(t, allowsRegion(nil, "a") && !allowsRegion(none, "a") && !allowsRegion([]string{"a"}, ""))
}

// serverWithHomes returns a server with three instances in two of three regions. Its route
// "many" has the given homes.
func serverWithHomes(t *testing.T, f *scriptedForwarder, homes ...string) *Server {
	t.Helper()
	s := unconfiguredServer(t, f)
	board := withDataCentres(s)
	s.o.Regions = map[string]string{"dc-a": "north", "dc-b": "south", "dc-c": "south", "dc-d": "west"}
	routes := make(map[string]blackboard.Route)
	for name, r := range board.Config.Routes {
		if name == "many" {
			r.Homes = homes
		}
		routes[name] = r
	}
	board.Config.Routes = routes
	s.o.Follower = fixedBoard{board: board, lease: time.Minute}
	s.ApplyBoard(board)
	s.updateRoutes()
	return s
}

// Guards against a request that reaches a backend server outside its homes, at its first
// attempt or a later one.
func TestRequestStaysInItsHomes(t *testing.T) {
	f := &scriptedForwarder{}
	for range 6 {
		f.answers = append(f.answers, answerWith(500, "failed", false))
	}
	s := serverWithHomes(t, f, "south")
	for range 3 {
		send(s, ForwardRequest{Path: "/many/x"})
	}
	assert.Assert(t, len(f.calls) > 1)
	for _, c := range f.calls {
		assert.Assert(t, c.Incarnation != "i-a")
	}
}

// Guards against a request that has no backend server in its homes and blocks other requests.
func TestRequestWithoutBackendServerInItsHomesBlocksNoOther(t *testing.T) {
	f := &scriptedForwarder{answers: []func(backend.ForwardCall) (*backend.ForwardAnswer, error){answerWith(200, events("1"), false)}}
	s := serverWithHomes(t, f, "west")
	refused := make(chan *failure.Error)
	go func() {
		_, e, _ := send(s, ForwardRequest{ID: "homed", Path: "/many/x"})
		refused <- e
	}()
	w, e, _ := send(s, ForwardRequest{ID: "free", Path: "/stream/x"})
	assert.Assert(t, e == nil)
	assert.Equal(t, w.Code, 200)
	e = <-refused
	assert.Equal(t, e.Ran, failure.RanNo)
	assert.Equal(t, len(f.calls), 1)
}

// Guards against holding a request although no region can ever serve it.
func TestRequestWithUnknownHomesIsRefusedAtOnce(t *testing.T) {
	s := serverWithHomes(t, &scriptedForwarder{}, "elsewhere")
	began := time.Now()
	_, e, _ := send(s, ForwardRequest{Path: "/many/x"})
	assert.Equal(t, e.Type, failure.TypeNoBackendServer)
	assert.Equal(t, e.Ran, failure.RanNo)
	assert.Assert(t, time.Since(began) < failoverWait)
}
