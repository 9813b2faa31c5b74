package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronstep/citronstep/internal/invariant"
)

func init() { invariant.SetFatal(true) }

var start = time.Date(2026, 3, 2, 3, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func always(Request) bool { return true }

func never(Request) bool { return false }

// twoClasses returns a policy in which the class "memo" is worth more than "draft".
func twoClasses() Policy {
	return Policy{Classes: map[string]ClassPolicy{"memo": {Worth: 4}, "draft": {Worth: 1}}}
}

func request(id, workspace, class string, tokens int) Request {
	return Request{ID: id, Workspace: workspace, Class: class, Model: "m", Tokens: tokens, Arrived: start}
}

func mustQueue(t *testing.T, q *Queue, now time.Time, r Request) {
	t.Helper()
	d := q.Offer(now, r)
	assert.Assert(t, d.Queued, "refused: %+v", d.Refusal)
}

func takeNext(t *testing.T, q *Queue, now time.Time) Request {
	t.Helper()
	r, _, ok := q.Next(now, always)
	assert.Assert(t, ok)
	return r
}

// learnRate serves one rate window with a backlog, so that q measures a service rate of perSecond
// tokens a second and a service time of took.
func learnRate(t *testing.T, q *Queue, perSecond int, took time.Duration) {
	t.Helper()
	mustQueue(t, q, start, request("learn-done", "audit", "memo", perSecond))
	takeNext(t, q, start)
	mustQueue(t, q, start, request("learn-wait", "audit", "memo", perSecond))
	q.Next(start, never)
	q.Done(start, Outcome{ID: "learn-done", Answered: true, Took: took})
	q.Next(at(rateWindow), never)
	assert.Assert(t, q.Cancel("learn-wait"))
	assert.Equal(t, q.Stats().Models[0].TokensPerSecond, float64(perSecond))
}

// backlog queues short requests of the top class.
func backlog(t *testing.T, q *Queue, now time.Time, tokens int) {
	t.Helper()
	for i := range tokens / 1000 {
		mustQueue(t, q, now, request(fmt.Sprint("ahead", i), "audit", "memo", 1000))
	}
}

func TestNextServesGreaterWorthFirst(t *testing.T) {
	q := New(twoClasses())
	mustQueue(t, q, start, request("draft", "audit", "draft", 10))
	mustQueue(t, q, start, request("memo", "audit", "memo", 10))
	assert.Equal(t, takeNext(t, q, start).ID, "memo")
	assert.Equal(t, takeNext(t, q, start).ID, "draft")
}

// A scheduler keeps the top class busy all night, and drafts of the same model wait behind it.
// Without a floor share, no draft would ever start, and its caller would resend it until morning.
func TestLesserClassGetsItsFloorShareAndNotMore(t *testing.T) {
	q := New(twoClasses())
	drafts := 0
	for i := range 2000 {
		mustQueue(t, q, start, request(fmt.Sprint("memo", i), "audit", "memo", 100))
		mustQueue(t, q, start, request(fmt.Sprint("draft", i), "audit", "draft", 100))
		if takeNext(t, q, start).Class == "draft" {
			drafts++
		}
	}
	assert.Assert(t, drafts >= 2000*4/100 && drafts <= 2000*6/100, "%d drafts of 2000", drafts)
}

// The waiting draft is larger than the usual limit of a class's credit. If the credit were
// limited below its size, the draft would wait forever.
func TestFloorShareReachesTheLargestRequest(t *testing.T) {
	q := New(twoClasses())
	mustQueue(t, q, start, request("draft", "audit", "draft", 10*DefaultLongTokens))
	for i := range 100 * 10 {
		mustQueue(t, q, start, request(fmt.Sprint("memo", i), "audit", "memo", DefaultLongTokens/4))
		if takeNext(t, q, start).ID == "draft" {
			assert.Assert(t, i >= 20*10*4-1, "after %d", i)
			return
		}
	}
	t.Fatal("the draft was never served")
}

// The drafts have earned their credit, but the only free capacity is the reserve of the top
// class. A memo must not wait until a draft fits.
func TestCreditThatDoesNotFitDoesNotHoldBackTheTopClass(t *testing.T) {
	q := New(twoClasses())
	mustQueue(t, q, start, request("draft", "audit", "draft", 10))
	for i := range 100 {
		mustQueue(t, q, start, request(fmt.Sprint("memo", i), "audit", "memo", 100))
	}
	asked := 0
	top := func(r Request) bool {
		asked++
		return r.Class == "memo"
	}
	for i := range 100 {
		r, _, ok := q.Next(start, top)
		assert.Assert(t, ok, "after %d", i)
		assert.Equal(t, r.Class, "memo")
	}
	assert.Assert(t, asked <= 200)
}

// One large workspace sends nine requests for each request of a small workspace of equal worth.
// Served in arrival order, the requests of the small workspace would wait behind the backlog of
// the large one.
func TestWorkspacesOfEqualWorthShareByWeight(t *testing.T) {
	p := twoClasses()
	p.Workspaces = map[string]WorkspacePolicy{"small": {Share: 1}, "large": {Share: 3}}
	q := New(p)
	for i := range 900 {
		mustQueue(t, q, start, request(fmt.Sprint("large", i), "large", "memo", 10))
	}
	for i := range 100 {
		mustQueue(t, q, start, request(fmt.Sprint("small", i), "small", "memo", 10))
	}
	small := 0
	for range 200 {
		if takeNext(t, q, start).Workspace == "small" {
			small++
		}
	}
	assert.Equal(t, small, 50)
}

// A workspace was idle all night while another was served. It must get its share from now on, not
// the share that it left unused.
func TestIdleWorkspaceEarnsNoCredit(t *testing.T) {
	q := New(twoClasses())
	for i := range 200 {
		mustQueue(t, q, start, request(fmt.Sprint("busy", i), "busy", "memo", 10))
	}
	for range 100 {
		takeNext(t, q, start)
	}
	for i := range 100 {
		mustQueue(t, q, start, request(fmt.Sprint("idle", i), "idle", "memo", 10))
	}
	served := 0
	for range 40 {
		if takeNext(t, q, start).Workspace == "busy" {
			served++
		}
	}
	assert.Assert(t, served >= 19 && served <= 21, "%d of 40", served)
}

// A long draft waits for a group with much free capacity. Lookups of the same workspace and class
// fit now; in one list they would wait behind the draft.
func TestShortRequestPassesLongRequest(t *testing.T) {
	q := New(twoClasses())
	mustQueue(t, q, start, request("long", "audit", "memo", 50000))
	mustQueue(t, q, start, request("short", "audit", "memo", 50))
	asked := 0
	r, _, ok := q.Next(start, func(r Request) bool {
		asked++
		return r.Tokens < 1000
	})
	assert.Assert(t, ok)
	assert.Equal(t, r.ID, "short")
	assert.Assert(t, asked <= 2)
}

// The top class keeps all servers full up to the reserve. A draft that has earned its floor share
// must be admitted to the reserve, or it would never run.
func TestReserveIsForTheGreatestWorthAndForDueCredit(t *testing.T) {
	q := New(twoClasses())
	mustQueue(t, q, start, request("draft", "audit", "draft", 100))
	mustQueue(t, q, start, request("first", "audit", "memo", 1000))
	reserves := func() map[string]float64 {
		seen := make(map[string]float64)
		q.Next(start, func(r Request) bool {
			seen[r.Class] = r.Reserve
			return false
		})
		return seen
	}
	assert.Equal(t, takeNext(t, q, start).ID, "first")
	assert.DeepEqual(t, reserves(), map[string]float64{"draft": DefaultReserve})
	mustQueue(t, q, start, request("second", "audit", "memo", 1000))
	assert.Equal(t, takeNext(t, q, start).ID, "second")
	mustQueue(t, q, start, request("third", "audit", "memo", 1000))
	assert.DeepEqual(t, reserves(), map[string]float64{"draft": 0, "memo": 0})
}

// A waiting request can no longer be answered in time. Its caller must get the refusal now, and
// no backend server may work on it.
func TestExpiredRequestIsRefusedAndNotServed(t *testing.T) {
	q := New(twoClasses())
	r := request("late", "audit", "memo", 100)
	r.Deadline = at(time.Second)
	mustQueue(t, q, start, r)
	_, expired, ok := q.Next(at(2*time.Second), always)
	assert.Assert(t, !ok)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].Request.ID, "late")
	assert.Equal(t, expired[0].Refusal.Reason, ReasonExpired)
	assert.Equal(t, q.Stats().Waiting, 0)
}

func TestFullQueueEvictsTheLowestWorth(t *testing.T) {
	p := twoClasses()
	p.QueueRequests, p.WorkspaceQueueShare = 3, 1
	q := New(p)
	for i := range 3 {
		mustQueue(t, q, start, request(fmt.Sprint("draft", i), "audit", "draft", 10))
	}
	assert.Equal(t, q.Offer(start, request("draft3", "tank", "draft", 10)).Refusal.Reason, ReasonQueueFull)
	d := q.Offer(start, request("memo", "tank", "memo", 10))
	assert.Assert(t, d.Queued)
	assert.Equal(t, len(d.Evicted), 1)
	assert.Equal(t, d.Evicted[0].Request.ID, "draft2")
	assert.Equal(t, d.Evicted[0].Refusal.Reason, ReasonOutranked)
	assert.Equal(t, q.Stats().Waiting, 3)
}

func TestOneWorkspaceCannotFillTheQueue(t *testing.T) {
	p := twoClasses()
	p.QueueRequests = 10
	q := New(p)
	for i := range 5 {
		mustQueue(t, q, start, request(fmt.Sprint("a", i), "audit", "memo", 10))
	}
	assert.Equal(t, q.Offer(start, request("a5", "audit", "memo", 10)).Refusal.Reason, ReasonWorkspaceFull)
	mustQueue(t, q, start, request("t0", "tank", "memo", 10))
}

func TestSetPolicyRanksAgainWithoutLoss(t *testing.T) {
	q := New(twoClasses())
	mustQueue(t, q, start, request("memo", "audit", "memo", 10))
	mustQueue(t, q, start, request("draft1", "audit", "draft", 10))
	mustQueue(t, q, start, request("draft2", "audit", "draft", 10))
	q.SetPolicy(start, Policy{Classes: map[string]ClassPolicy{"draft": {Worth: 9}}})
	assert.Equal(t, takeNext(t, q, start).ID, "draft1")
	assert.Equal(t, takeNext(t, q, start).ID, "draft2")
	assert.Equal(t, takeNext(t, q, start).ID, "memo")
}

// Workspaces, classes and models come and go for months. Their state must be removed, or memory
// would grow without bound.
func TestIdleStateIsRemoved(t *testing.T) {
	q := New(Policy{})
	for i := range 6000 {
		now := at(time.Duration(i) * time.Second)
		r := request(fmt.Sprint(i), fmt.Sprint("w", i), fmt.Sprint("c", i), 10)
		r.Model = fmt.Sprint("m", i/2000)
		mustQueue(t, q, now, r)
		takeNext(t, q, now)
		q.Done(now, Outcome{ID: r.ID, Answered: true, Took: time.Millisecond})
	}
	q.Next(at(2*idleExpiry), always)
	assert.Assert(t, len(q.models) <= 2, "%d models", len(q.models))
	for _, m := range q.models {
		for _, b := range m.bands {
			assert.Assert(t, len(b.flows) <= 2, "%d flows", len(b.flows))
		}
	}
	assert.Assert(t, len(q.retryBudgets) <= budgetPruneThreshold+int(idleExpiry/time.Second))
	assert.Equal(t, len(q.workspaces)+len(q.running)+len(q.keys)+len(q.items), 0)
}

// In any order of calls, a request leaves the queue exactly once and the counts agree.
func TestEveryRequestLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := twoClasses()
		p.QueueRequests = 8
		q := New(p)
		waiting := make(map[string]bool)
		leave := func(id string) {
			if !waiting[id] {
				t.Fatalf("%s left twice or never waited", id)
			}
			delete(waiting, id)
		}
		now := start
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0, 1:
				r := request(fmt.Sprint(i), rapid.SampledFrom([]string{"audit", "tank"}).Draw(t, "ws"),
					rapid.SampledFrom([]string{"memo", "draft"}).Draw(t, "class"), rapid.IntRange(1, 9000).Draw(t, "tokens"))
				r.Model = rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
				d := q.Offer(now, r)
				for _, e := range d.Evicted {
					leave(e.Request.ID)
				}
				if d.Queued {
					waiting[r.ID] = true
				}
			case 2, 3:
				room := rapid.Bool().Draw(t, "room")
				r, expired, ok := q.Next(now, func(Request) bool { return room })
				for _, e := range expired {
					leave(e.Request.ID)
				}
				if ok {
					leave(r.ID)
					q.Done(now, Outcome{ID: r.ID, Answered: true, Took: time.Second})
				}
			case 4:
				for id := range waiting {
					if !q.Cancel(id) {
						t.Fatalf("%s was not waiting", id)
					}
					delete(waiting, id)
					break
				}
			}
			if q.Stats().Waiting != len(waiting) || len(q.items) != len(waiting) {
				t.Fatalf("%d waiting, want %d", q.Stats().Waiting, len(waiting))
			}
		}
	})
}
