package process

import (
	"net/http"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
	"github.com/citronstep/citronstep/test/workload"
)

func answerRaw(s *harness.Standin, text string) { s.Fault(standin.FaultOrder{RawAnswer: &text}) }

// checkBrokenReply checks that a request that got a broken answer was refused with a type, and that the refusal is true.
func checkBrokenReply(t *testing.T, reply harness.Reply, ran bool) {
	t.Helper()
	assert.NilError(t, reply.Lost)
	assert.Assert(t, !reply.Whole, "%+v", reply)
	assert.Assert(t, reply.Refusal != nil, "%+v", reply)
	assert.Assert(t, reply.Refusal.Type != "", "%+v", reply)
	assert.Assert(t, reply.Status != http.StatusBadGateway || reply.Refusal.Ran == failure.RanUnknown, "%+v", reply)
	assert.Assert(t, !ran || reply.Refusal.Ran != failure.RanNo, "%+v", reply)
}

// Guards against a plain service's broken answer that its caller gets as an answer, or for which its connection is closed.
func TestBrokenAnswersOfAServiceAreRefused(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(shortTimeouts), 1)
	service := c.StartService("audit-1", "audit")
	entry := c.Entries()[0]
	for name, text := range workload.BrokenAnswers() {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			awaitService(t, entry, "audit")
			answerRaw(service, text)
			call := harness.ServiceRequest{Service: "audit", Method: method, Path: "/", Body: []byte(uniquePrompt(name)), TimeoutMillis: 5000}
			reply := harness.CallService(t.Context(), entry.Entry, call)
			t.Logf("%s, %s: %d", name, method, reply.Status)
			checkBrokenReply(t, reply, len(c.RunsOf(standin.BodyHash(call.Body))) > 0)
			answerRaw(service, "")
		}
	}
	awaitService(t, entry, "audit")
}

// Guards against an engine's broken answer that its caller gets as an answer, or for which its connection is closed.
func TestBrokenAnswersOfAnEngineAreRefused(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 1)
	entry := c.Entries()[0]
	for name, text := range workload.BrokenAnswers() {
		for _, stream := range []bool{false, true} {
			answerRaw(engines[0], text)
			request := harness.Completion{Model: "demo", Prompt: uniquePrompt(name), MaxTokens: 4, Stream: stream, TimeoutMillis: 5000}
			reply := harness.Complete(t.Context(), entry.Entry, request)
			t.Logf("%s, stream %t: %d", name, stream, reply.Status)
			checkBrokenReply(t, reply, false)
			answerRaw(engines[0], "")
			awaitAnswer(t, entry, harness.Completion{Model: "demo", Prompt: uniquePrompt("sound"), MaxTokens: 1})
		}
	}
}

// Guards against broken answers between the system's own processes that close a caller's or an operator's connection, end
// a process, or keep it from serving once the answers are sound.
func TestBrokenAnswersBetweenOwnProcessesEndInTypedFailures(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, harness.Standard(), 2)
	answerAllRaw := func(text string) {
		for _, n := range c.Nodes {
			n.Peers.AnswerRaw(text)
		}
	}
	failures := 0
	for name, text := range workload.BrokenAnswers() {
		answerAllRaw(text)
		for _, n := range c.Nodes {
			if n.Spec.Control && failsTyped(t, name, n) {
				failures++
			}
		}
		for i, n := range c.Entries() {
			for _, key := range []string{"", uniquePrompt("key")} {
				request := harness.Completion{Model: "demo", Prompt: uniquePrompt(name), MaxTokens: 4, Stream: i%2 == 0, Key: key, TimeoutMillis: 3000}
				reply := harness.Complete(t.Context(), n.Entry, request)
				assert.Check(t, reply.Lost == nil, "%s: %+v", name, reply)
				checkReply(t, c, request, reply)
			}
		}
		answerAllRaw("")
		for _, n := range c.Entries() {
			awaitAnswer(t, n, harness.Completion{Model: "demo", Prompt: uniquePrompt("sound"), MaxTokens: 1, Key: uniquePrompt("key")})
		}
	}
	assert.Check(t, failures > 0, "no operator's call met a broken answer")
	for _, n := range c.Nodes {
		assert.Check(t, n.Running(), n.Spec.Name)
	}
}

// failsTyped checks that an operator's call to a node is answered, a failure with a type, and reports whether it fails.
func failsTyped(t *testing.T, name string, n *harness.Node) bool {
	t.Helper()
	var status adminapi.Status
	err := harness.Operate(n, http.MethodGet, adminapi.PathStatus, nil, &status)
	if err == nil {
		return false
	}
	var refusal *failure.Error
	hasType := errors.As(err, &refusal) && refusal.Type != failure.TypeInternal
	assert.Check(t, hasType, "%s, %s: %v", name, n.Spec.Name, err)
	return true
}
