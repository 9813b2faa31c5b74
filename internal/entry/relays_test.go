package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/relay"
)

// Guards against requests that are relayed in another region than their callers sent them to, and
// by processes that serve no callers.
func TestPeersThatRelayAreOfTheRegion(t *testing.T) {
	s, _, _ := crashServer(backend.Listening)
	s.o.ID, s.o.DataCentre = "self", "a"
	s.o.Regions = map[string]string{"a": "east", "b": "east", "c": "west"}
	b := &blackboard.Board{}
	b.Entries = map[string]blackboard.Entry{
		"self": {Address: "10.0.0.1:80", DataCentre: "a"},
		"near": {Address: "10.0.0.2:80", PeerAddress: "10.0.0.2:81", DataCentre: "b"},
		"far":  {Address: "10.0.0.3:80", PeerAddress: "10.0.0.3:81", DataCentre: "c"},
		"idle": {PeerAddress: "10.0.0.4:81", DataCentre: "a"},
	}
	assert.DeepEqual(t, s.relayPeers(b), []relay.Peer{{ID: "near", Address: "10.0.0.2:81", DataCentre: "b"}})
}

// Guards against relays that a graceful stop cuts off, and against new ones while it waits.
func TestGracefulStopWaitsForRelays(t *testing.T) {
	s, _, _ := crashServer(backend.Listening)
	end, ok := s.beginRelay()
	assert.Assert(t, ok)
	stopped := make(chan bool, 1)
	go func() { stopped <- s.Drain(t.Context(), func() {}) }()
	for !s.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	_, ok = s.beginRelay()
	assert.Assert(t, !ok)
	assert.Equal(t, len(stopped), 0)
	end()
	assert.Assert(t, <-stopped)
}

// fixedPaths reaches all servers but those in unreachable.
type fixedPaths struct{ unreachable map[string]bool }

func (fixedPaths) IsCutOff() bool                        { return false }
func (fixedPaths) RelayedServers() int                   { return 0 }
func (fixedPaths) HasLinks(context.Context, string) bool { return true }
func (p fixedPaths) IsUnreachable(address string) bool   { return p.unreachable[address] }

// Guards against requests that wait although no entry reaches any of their targets, and against
// requests that are refused while one is reached.
func TestRequestIsRefusedAtOnceIfNoEntryReachesItsTargets(t *testing.T) {
	s, _, _ := crashServer(backend.Listening)
	s.updateRoutes()
	paths := fixedPaths{make(map[string]bool)}
	s.o.Paths = paths
	j := &job{id: "a", model: s.dispatcher.routes["wide-0"].pool}
	assert.Assert(t, s.refuseUnreachable(j) == nil)
	last := ""
	for _, r := range s.dispatcher.routes {
		if r.pool == j.model {
			last = r.address
			paths.unreachable[last] = true
		}
	}
	e := s.refuseUnreachable(j)
	assert.Assert(t, e != nil)
	assert.Equal(t, e.Ran, failure.RanNo)
	assert.Assert(t, e.RetryAfter >= unreachableRetryAfter)
	delete(paths.unreachable, last)
	assert.Assert(t, s.refuseUnreachable(j) == nil)
	assert.Assert(t, s.refuseUnreachable(&job{id: "b", model: "absent"}) == nil, "a pool without targets waits for a failover")
}
