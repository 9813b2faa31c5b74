package process

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// backoffGrace is the time after an answer that asks for a back-off in which requests do not
	// count, and maxArrivalsInBackoff is how many may reach the backend server after it.
	backoffGrace         = 500 * time.Millisecond
	maxArrivalsInBackoff = 2
	// drainTime is how long new requests may reach a backend server that is leaving.
	drainTime = 2 * time.Second
)

// maxInBackoff returns the most requests that arrived within one back-off. All come from one entry.
func maxInBackoff(arrivals []standin.Arrival) int {
	most := 0
	for i, asked := range arrivals {
		n := 0
		for _, a := range arrivals[i+1:] {
			if since := a.At.Sub(asked.At); since > backoffGrace && since < asked.RetryAfter {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// countAfterLeaving returns how many requests arrived later than drainTime after the first answer
// in which the backend server stated that it is leaving.
func countAfterLeaving(arrivals []standin.Arrival) int {
	n := 0
	var since time.Time
	for _, a := range arrivals {
		switch {
		case since.IsZero() && a.IsLeaving:
			since = a.At
		case !since.IsZero() && a.At.Sub(since) > drainTime:
			n++
		}
	}
	return n
}

// sendMixed sends completions and calls to one entry for a time, and returns the replies that are
// neither right nor typed refusals.
func sendMixed(t *testing.T, entry *harness.Node, length time.Duration) []harness.Reply {
	t.Helper()
	var open sync.WaitGroup
	var mu sync.Mutex
	var wrong []harness.Reply
	note := func(reply harness.Reply, isRight bool) {
		mu.Lock()
		defer mu.Unlock()
		if !isRight && reply.Refusal == nil {
			wrong = append(wrong, reply)
		}
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		open.Go(func() {
			r := harness.Completion{Model: "demo", Prompt: uniquePrompt("mixed"), MaxTokens: 2, TimeoutMillis: 5000}
			reply := harness.Complete(t.Context(), entry.Entry, r)
			note(reply, reply.Right(r))
		})
		open.Go(func() {
			r := harness.ServiceRequest{Service: "audit", Method: http.MethodGet, Path: "/x", TimeoutMillis: 5000}
			reply := harness.CallService(t.Context(), entry.Entry, r)
			note(reply, reply.Status == http.StatusOK)
		})
	}
	open.Wait()
	return wrong
}

// instanceOf returns the instance that answered a call.
func instanceOf(reply harness.Reply) string {
	var echo standin.ServiceEcho
	if json.Unmarshal(reply.Body, &echo) != nil {
		return ""
	}
	return echo.Instance
}

// Guards against requests to an engine or a service that has asked for a back-off in our own protocol.
func TestBackoffOfEnginesAndServicesIsObeyed(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2)
	services := []*harness.Standin{c.StartService("audit-1", "audit"), c.StartService("audit-2", "audit")}
	entry := c.Node("n2")
	awaitInstances(t, entry)
	asking, none := (4 * time.Second).Milliseconds(), int64(0)
	for _, s := range []*harness.Standin{engines[0], services[0]} {
		s.Fault(standin.FaultOrder{RetryAfterMillis: &asking})
	}
	wrong := sendMixed(t, entry, 6*time.Second)
	for _, s := range []*harness.Standin{engines[0], services[0]} {
		s.Fault(standin.FaultOrder{RetryAfterMillis: &none})
		arrivals := s.Arrivals()
		assert.Assert(t, len(arrivals) > 0, "%s got no request", s.ID)
		assert.Assert(t, arrivals[len(arrivals)-1].RetryAfter > 0, "%s rejected no request", s.ID)
		assert.Assert(t, maxInBackoff(arrivals) <= maxArrivalsInBackoff, "%s got %d requests in its back-off", s.ID, maxInBackoff(arrivals))
	}
	assert.Equal(t, len(wrong), 0, "%+v", wrong)
}

// Guards against requests to an engine or a service that says that it is leaving in our own protocol.
func TestLeavingEnginesAndServicesGetNoRequests(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2)
	services := []*harness.Standin{c.StartService("audit-1", "audit"), c.StartService("audit-2", "audit")}
	entry := c.Node("n2")
	awaitInstances(t, entry)
	leaving := true
	for _, s := range []*harness.Standin{engines[0], services[0]} {
		s.Fault(standin.FaultOrder{Leaving: &leaving})
	}
	wrong := sendMixed(t, entry, 4*time.Second)
	for _, s := range []*harness.Standin{engines[0], services[0]} {
		assert.Equal(t, countAfterLeaving(s.Arrivals()), 0, s.ID)
	}
	assert.Equal(t, len(wrong), 0, "%+v", wrong)
}

// awaitInstances waits until an entry reaches both instances of the service.
func awaitInstances(t *testing.T, entry *harness.Node) {
	t.Helper()
	harness.Await(t, "both instances of the service", func() bool {
		served := make(map[string]bool)
		for range 8 {
			reply := harness.CallService(t.Context(), entry.Entry, harness.ServiceRequest{Service: "audit", Method: http.MethodGet, Path: "/x"})
			if reply.Status != http.StatusOK {
				return false
			}
			served[instanceOf(reply)] = true
		}
		return len(served) >= 2
	})
}
