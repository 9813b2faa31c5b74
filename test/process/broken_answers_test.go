package process

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// brokenAnswers returns answers that follow no protocol, by their faults.
func brokenAnswers() map[string]string {
	const sound = "Content-Length: 2\r\n\r\n{}"
	return map[string]string{
		"status 000":               "HTTP/1.1 000 Zero\r\n" + sound,
		"status 099":               "HTTP/1.1 099 Low\r\n" + sound,
		"status 999":               "HTTP/1.1 999 High\r\n" + sound,
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n{}",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nX A: b\r\n" + sound,
		"a control byte in a name": "HTTP/1.1 200 OK\r\nX\x01A: b\r\n" + sound,
		"a blank behind a length":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length : 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"a 1xx head":               "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n" + sound,
		"a trailer":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX A: b\r\n\r\n",
		"a failure":                "HTTP/1.1 500 Failed\r\nX A: b\r\n" + sound,
	}
}

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
	for name, text := range brokenAnswers() {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			awaitService(t, entry, "audit")
			service.Fault(standin.FaultOrder{Faults: standin.Faults{RawAnswer: text}})
			call := harness.ServiceRequest{Service: "audit", Method: method, Path: "/", Body: []byte(uniquePrompt(name)), TimeoutMillis: 5000}
			reply := harness.CallService(t.Context(), entry.Entry, call)
			t.Logf("%s, %s: %d", name, method, reply.Status)
			checkBrokenReply(t, reply, len(c.RunsOf(standin.BodyHash(call.Body))) > 0)
			service.Fault(standin.FaultOrder{})
		}
	}
	awaitService(t, entry, "audit")
}

// Guards against an engine's broken answer that its caller gets as an answer, or for which its connection is closed.
func TestBrokenAnswersOfAnEngineAreRefused(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 1)
	entry := c.Entries()[0]
	for name, text := range brokenAnswers() {
		for _, stream := range []bool{false, true} {
			engines[0].Fault(standin.FaultOrder{Faults: standin.Faults{RawAnswer: text}})
			request := harness.Completion{Model: "demo", Prompt: uniquePrompt(name), MaxTokens: 4, Stream: stream, TimeoutMillis: 5000}
			reply := harness.Complete(t.Context(), entry.Entry, request)
			t.Logf("%s, stream %t: %d", name, stream, reply.Status)
			checkBrokenReply(t, reply, false)
			engines[0].Fault(standin.FaultOrder{})
			awaitAnswer(t, entry, harness.Completion{Model: "demo", Prompt: uniquePrompt("sound"), MaxTokens: 1})
		}
	}
}
