package process

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Lookups hang all afternoon while new connections work at once: a firewall
// between entry and engines has lost track of the open connections. Requests
// under way on them, and those that find them idle in the pool, must be
// answered over new ones.
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
	// The connections go silent in the middle of streams: before a stream's
	// header the client's own deadline would find it.
	harness.Await(t, "four streams run", func() bool { return len(c.Runs()) >= before+4 })
	silenced := 0
	for _, e := range engines {
		silenced += e.Link.Silence()
	}
	assert.Assert(t, silenced > 0)
	wait()
	startLookups(8)()
}

// The same with a plain service, whose answer has no keep-alives: a call on a
// silent connection waits for its deadline. It must be the last one that does.
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

// Entries stop following the configuration though all is well: the connections
// between the system's own processes have gone silent. A change must come into
// force on every entry over new ones.
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
