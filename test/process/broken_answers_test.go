package process

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

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
