package workload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

var start = time.Unix(1000, 0)

func completeReply(name string) harness.Reply {
	return harness.Reply{Whole: true, Text: standin.ExpectedText(name, 4), RequestID: "r1"}
}

func refusedReply(ran failure.Ran) harness.Reply {
	return harness.Reply{RequestID: "r1", Refusal: failure.New(failure.TypeOverloaded, "x").WithRan(ran)}
}

func unknownReply() harness.Reply {
	e := failure.New(failure.TypeOutcomeUnknown, "x").WithRan(failure.RanUnknown)
	return harness.Reply{RequestID: "r1", Refusal: e}
}

func newTestWork(nonIdempotent bool, replies ...harness.Reply) *Work {
	w := &Work{Name: "w", Key: "k", NonIdempotent: nonIdempotent, MaxTokens: 4}
	for i, r := range replies {
		w.Sends = append(w.Sends, Send{At: start.Add(time.Duration(i) * time.Second), Reply: r})
	}
	return w
}

func runAt(request string, after time.Duration) standin.Run {
	return standin.Run{Work: "w", Attempt: request + ".1", Started: start.Add(after)}
}

// Check must find each violation, and none where there is none.
func TestCheckFindsEachViolation(t *testing.T) {
	one := runAt("r1", 0)
	other := runAt("r2", time.Second)
	for name, test := range map[string]struct {
		work  *Work
		runs  []standin.Run
		found int
	}{
		"answered":                       {newTestWork(true, completeReply("w")), []standin.Run{one}, 0},
		"idempotent, ran twice":          {newTestWork(false, refusedReply(failure.RanUnknown), completeReply("w")), []standin.Run{one, other}, 0},
		"unknown in the end":             {newTestWork(true, unknownReply()), []standin.Run{one}, 0},
		"not run, then answered":         {newTestWork(false, refusedReply(failure.RanNo), completeReply("w")), []standin.Run{other}, 0},
		"not run, ran later by a resend": {newTestWork(true, refusedReply(failure.RanNo), completeReply("w")), []standin.Run{other}, 0},
		"answer of another work":         {newTestWork(false, completeReply("v")), []standin.Run{one}, 1},
		"answer without a run":           {newTestWork(false, completeReply("w")), nil, 1},
		"ran twice":                      {newTestWork(true, completeReply("w")), []standin.Run{one, other}, 1},
		"not run, but ran":               {newTestWork(false, refusedReply(failure.RanNo), completeReply("w")), []standin.Run{one}, 1},
		"resend not run, but an earlier ran": {
			newTestWork(true, completeReply("w"), harness.Reply{RequestID: "r9", Refusal: refusedReply(failure.RanNo).Refusal}),
			[]standin.Run{one}, 1,
		},
		"never settled":           {newTestWork(false, refusedReply(failure.RanUnknown)), []standin.Run{one}, 1},
		"idempotent, but unknown": {newTestWork(false, unknownReply()), []standin.Run{one}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			found := Check([]*Work{test.work}, test.runs)
			assert.Equal(t, len(found), test.found, "%q", found)
		})
	}
}
