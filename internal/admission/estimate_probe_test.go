package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are all refused for good because the first of their kind ran while the process stood still.
func TestEstimateOfAStandstillIsCorrected(t *testing.T) {
	const (
		standstill = 69 * time.Second
		answerTime = 400 * time.Millisecond
	)
	q := New(Policy{})
	now := start
	run := func(id string, took time.Duration) bool {
		d := q.Offer(now, Request{ID: id, Workspace: "w", Class: "c", Model: "m", Tokens: 20, Arrived: now, Deadline: now.Add(6 * time.Second)})
		if !d.Queued {
			return false
		}
		r, _, sent := q.Next(now, func(Request) bool { return true })
		assert.Assert(t, sent && r.ID == id)
		now = now.Add(took)
		q.Done(now, Outcome{ID: id, Answered: true, Took: took})
		return true
	}
	assert.Assert(t, run("first", standstill))
	refused := 0
	for i := range 100 {
		if !run(fmt.Sprint(i), answerTime) {
			refused++
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.Assert(t, refused <= 40, "%d of 100 refused", refused)
	assert.Assert(t, run("last", answerTime))
}

// Guards against large requests that are refused for good for such an estimate because small ones are answered meanwhile.
func TestEstimateOfOneSizeIsCorrectedBesideOthers(t *testing.T) {
	q := New(Policy{})
	now, refused := start, 0
	run := func(id string, tokens int, took time.Duration) bool {
		d := q.Offer(now, Request{ID: id, Workspace: "w", Class: "c", Model: "m", Tokens: tokens, Arrived: now, Deadline: now.Add(6 * time.Second)})
		if !d.Queued {
			return false
		}
		_, _, sent := q.Next(now, func(Request) bool { return true })
		assert.Assert(t, sent)
		now = now.Add(took)
		q.Done(now, Outcome{ID: id, Answered: true, Took: took})
		return true
	}
	assert.Assert(t, run("small", 20, 400*time.Millisecond) && run("large", 2000, 69*time.Second))
	for i := range 40 {
		assert.Assert(t, run(fmt.Sprint("small-", i), 20, 400*time.Millisecond))
		now = now.Add(100 * time.Millisecond)
		if !run(fmt.Sprint("large-", i), 2000, time.Second) {
			refused++
		}
	}
	assert.Assert(t, refused <= 20, "%d of 40 refused", refused)
	assert.Assert(t, run("last", 2000, time.Second))
}

// Guards against requests without a chance that are sent although answers keep the estimate right.
func TestRequestsWithoutAChanceProbeNoFreshEstimate(t *testing.T) {
	q := New(Policy{})
	for i := range 40 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		r := Request{ID: fmt.Sprint(i), Workspace: "w", Class: "c", Model: "m", Tokens: 20, Arrived: now, Deadline: now.Add(6 * time.Second)}
		assert.Assert(t, q.Offer(now, r).Queued)
		_, _, sent := q.Next(now, func(Request) bool { return true })
		assert.Assert(t, sent)
		q.Done(now, Outcome{ID: r.ID, Answered: true, Took: 2 * time.Second})
		r.ID, r.Deadline = fmt.Sprint("short-", i), now.Add(time.Second)
		assert.Assert(t, !q.Offer(now, r).Queued)
	}
}
