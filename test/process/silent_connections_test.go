package process

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against requests that hang on dead connections. A firewall between entry and engines
// loses the state of the open connections and drops their packets, while new connections work.
// Requests in flight on the dead connections, and requests that take an idle one from the pool,
// must be answered over new connections.
func TestSilentEngineConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2, "-token-interval", "10ms")
	entry := c.Entries()[0].Entry
	startLookups := func(count int) (wait func()) {
		var wg sync.WaitGroup
		for range count {
			request := harness.Completion{Model: "demo", Prompt: uniquePrompt("lookup"), MaxTokens: 100, Stream: true}
			wg.Add(1)
			go func() {
				defer wg.Done()
				reply := harness.Complete(t.Context(), entry, request)
				assert.Check(t, reply.Right(request), "%+v", reply)
			}()
		}
		return wg.Wait
	}
	startLookups(8)()
	before := len(c.Runs())
	wait := startLookups(4)
	// The test silences the connections in the middle of streams. Before a stream's
	// header, the client's own header timeout would detect the dead connection.
	harness.Await(t, "four streams run", func() bool { return len(c.Runs()) >= before+4 })
	silenced := 0
	for _, e := range engines {
		silenced += e.Link.Silence()
	}
	assert.Assert(t, silenced > 0)
	wait()
	startLookups(8)()
}

// Guards against repeated time-outs on dead connections to a plain service, whose answers have no
// keep-alives. A call on a dead connection waits until its deadline. No later call may do so.
func TestSilentServiceConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 1)
	service := c.StartService("audit-1", "audit")
	entry := c.Entries()[0]
	awaitService(t, entry, "audit")
	call := harness.ServiceRequest{Service: "audit", Method: http.MethodGet, Path: "/x", TimeoutMillis: 1000}
	var wg sync.WaitGroup
	for range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			assert.Check(t, harness.CallService(t.Context(), entry.Entry, call).Whole)
		}()
	}
	wg.Wait()
	assert.Assert(t, service.Link.Silence() > 0)
	harness.CallService(t.Context(), entry.Entry, call)
	for range 4 {
		reply := harness.CallService(t.Context(), entry.Entry, call)
		assert.Assert(t, reply.Whole, "%+v", reply)
	}
}

// Guards against entries that stop following the configuration because the open connections
// between the system's own processes drop all packets. A change must come into force on every
// entry over new connections.
func TestSilentConnectionsBetweenOwnProcessesAreReplaced(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 1)
	for _, n := range c.Nodes {
		n.Peers.Silence()
	}
	c.Change(blackboard.ConfigChange{ChangeID: "class", Classes: []blackboard.RequestClass{{Name: "night", Worth: 1}}})
	for _, n := range c.Entries() {
		awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("night"), MaxTokens: 2, Class: "night"})
	}
}
