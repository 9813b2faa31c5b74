package process

import (
	"net/http"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

// Guards against an incomplete or corrupted engine answer that the entry passes on as complete.
// The engine cuts or stalls its stream, repeats or omits a token, sends an event of another
// attempt, a false end mark, a malformed line or an overlong one, or sends late. Every kind of
// bad answer happens once on each of two groups. Every caller must still receive the complete
// answer to its own prompt.
func TestBadAnswersNeverReachACallerAsComplete(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2, "-token-interval", "1ms")
	entry := c.Entries()[0]
	for _, kind := range []standin.StreamFault{
		standin.StreamCut, standin.StreamCrossed, standin.StreamDoubled, standin.StreamSkipped, standin.StreamShort,
		standin.StreamMalformed, standin.StreamOverlong, standin.StreamStalled, standin.StreamLate,
	} {
		for _, stream := range []bool{false, true} {
			for _, after := range []int{0, 3} {
				name := string(kind) + " after " + strconv.Itoa(after) + " stream " + strconv.FormatBool(stream)
				t.Run(name, func(t *testing.T) {
					earnRetries(t, entry, 2)
					injectStreamFaults(engines, standin.StreamFaults{
						Kind: kind, After: after, DelayMillis: 50, Answers: 1, Marker: "memo",
					})
					request := harness.Completion{Model: "demo", Prompt: uniquePrompt("memo"), MaxTokens: 8, Stream: stream}
					reply := harness.Complete(t.Context(), entry.Entry, request)
					assert.Assert(t, reply.Right(request), "%+v", reply)
				})
			}
		}
	}
}

// Guards against answers that are swapped between concurrent callers in the engines, the entry
// or the connections between them. Forty callers send at once, and about every tenth answer
// is mixed up, duplicated or cut. No caller may receive a token of another caller's answer.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 3, "-token-interval", "1ms", "-slots", "32")
	kinds := []standin.StreamFault{standin.StreamCrossed, standin.StreamDoubled, standin.StreamCut}
	for i, e := range engines {
		e.Fault(standin.FaultOrder{Faults: standin.Faults{
			Stream: standin.StreamFaults{Kind: kinds[i], After: 5, Marker: "7 "},
		}})
	}
	entries := c.Entries()
	var wg sync.WaitGroup
	for i := range 40 {
		request := harness.Completion{
			Model: "demo", Prompt: strconv.Itoa(i) + " " + uniquePrompt("summary"), MaxTokens: 24, Stream: i%2 == 0,
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			reply := harness.Complete(t.Context(), entries[i%len(entries)].Entry, request)
			checkReply(t, c, request, reply)
		}()
	}
	wg.Wait()
}

// Guards against a refusal that says "not run" although the request may have run. All answers
// of the engines break, so the refusal must say that the outcome is unknown.
func TestRequestWhoseAnswersAllBreakIsRefusedAsUnknown(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 2)
	injectStreamFaults(engines, standin.StreamFaults{Kind: standin.StreamCut, After: 2})
	request := harness.Completion{Model: "demo", Prompt: uniquePrompt("memo"), MaxTokens: 8}
	for _, stream := range []bool{false, true} {
		request.Stream = stream
		reply := harness.Complete(t.Context(), c.Entries()[0].Entry, request)
		assert.Assert(t, !reply.Whole)
		assert.Assert(t, reply.Refusal != nil, "%+v", reply)
		assert.Equal(t, reply.Refusal.Ran, failure.RanUnknown)
	}
}

// Guards against a caller that resends its request elsewhere because a refusal wrongly says
// "not run". The test provokes every cause of a refusal once. Where the refusal says "not run",
// no backend server may have started the request.
func TestRefusedAsNotRunDidNotRun(t *testing.T) {
	t.Parallel()
	c, engines := startServingCluster(t, twoNodeSpec(shortTimeouts), 1, "-token-interval", "5ms")
	service := c.StartService("audit-1", "audit")
	entry := c.Entries()[0]
	awaitService(t, entry, "audit")

	t.Run("engine is full", func(t *testing.T) {
		engines[0].Fault(standin.FaultOrder{Faults: standin.Faults{FullQueue: true}})
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt("full"), MaxTokens: 4, TimeoutMillis: 2000}
		reply := harness.Complete(t.Context(), entry.Entry, request)
		assert.Assert(t, reply.Refusal != nil, "%+v", reply)
		checkReply(t, c, request, reply)
		assert.Assert(t, reply.RetryAfter != "")
		engines[0].Fault(standin.FaultOrder{})
	})
	t.Run("service says not started", func(t *testing.T) {
		service.Fault(standin.FaultOrder{Faults: standin.Faults{FullQueue: true}})
		call := harness.ServiceRequest{Service: "audit", Method: http.MethodPost, Path: "/", Body: []byte(uniquePrompt("note"))}
		reply := harness.CallService(t.Context(), entry.Entry, call)
		assert.Assert(t, reply.Refusal != nil, "%+v", reply)
		assert.Equal(t, reply.Refusal.Ran, failure.RanNo)
		assert.Equal(t, len(c.RunsOf(standin.BodyHash(call.Body))), 0)
		service.Fault(standin.FaultOrder{})
	})
	t.Run("deadline is too short", func(t *testing.T) {
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt("late"), MaxTokens: 400, TimeoutMillis: 300}
		reply := harness.Complete(t.Context(), entry.Entry, request)
		assert.Assert(t, reply.Refusal != nil, "%+v", reply)
		checkReply(t, c, request, reply)
	})
	t.Run("no engine is running", func(t *testing.T) {
		engines[0].Kill()
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt("gone"), MaxTokens: 4, TimeoutMillis: 8000}
		reply := harness.Complete(t.Context(), entry.Entry, request)
		assert.Assert(t, reply.Refusal != nil, "%+v", reply)
		checkReply(t, c, request, reply)
	})
}

// Guards against a stream that ends halfway when a VM of its group dies. The entry must resume
// at the next token on another group: no token is lost or repeated, and the caller notices
// at most a pause.
func TestStreamContinuesWhenItsGroupLosesAMember(t *testing.T) {
	c := harness.NewCluster(t, twoNodeSpec(shortTimeouts))
	c.Found(blackboard.GroupSpec{Name: "memos", Model: "demo", Replicas: 2, VMsPerReplica: 2, Worth: 10})
	c.StartEngines(4, "vm", "d1", "-token-interval", "20ms", "-group-timeout", "1s")
	c.AwaitGroups("demo", 2)
	entry := c.Entries()[0]
	awaitAnswer(t, entry, harness.Completion{Model: "demo", Prompt: uniquePrompt("ready?"), MaxTokens: 1})

	request := harness.Completion{Model: "demo", Prompt: uniquePrompt("memo"), MaxTokens: 100, Stream: true}
	answered := make(chan harness.Reply, 1)
	go func() { answered <- harness.Complete(t.Context(), entry.Entry, request) }()
	harness.Await(t, "the run begins", func() bool { return len(c.RunsOf(request.Prompt)) == 1 })
	nonHeadMember(t, c, c.RunsOf(request.Prompt)[0]).Kill()
	reply := <-answered
	assert.Assert(t, reply.Right(request), "%+v", reply)
	runs := c.RunsOf(request.Prompt)
	assert.Equal(t, len(runs), 2)
	assert.Assert(t, runs[1].Offset > 0, "the second run restarted at the first token: %+v", runs[1])
}

// nonHeadMember returns a member of the run's group other than the group's head.
func nonHeadMember(t *testing.T, c *harness.Cluster, run standin.Run) *harness.Standin {
	t.Helper()
	status, err := c.Status()
	assert.NilError(t, err)
	for _, g := range status.Groups {
		if g.ID != run.Group {
			continue
		}
		for _, s := range c.Standins {
			if s.ID == g.Members[1].VM {
				return s
			}
		}
	}
	t.Fatalf("no group %s", run.Group)
	return nil
}
