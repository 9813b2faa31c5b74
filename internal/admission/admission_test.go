package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Twice the capacity is requested. A request whose deadline lies before the end of the work ahead
// of it must be refused on arrival, not when it is too late.
func TestUnreachableDeadlineIsRefusedOnArrival(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	now := at(2 * rateWindow)
	backlog(t, q, now, 10000)

	late := request("late", "audit", "memo", 1000)
	late.Deadline = now.Add(5 * time.Second)
	d := q.Offer(now, late)
	assert.Assert(t, d.Refusal != nil)
	assert.Equal(t, d.Refusal.Reason, ReasonDeadlineUnreachable)
	assert.Assert(t, d.Refusal.RetryAfter >= DefaultMinRetryAfter)

	late.ID = "hopeless"
	late.Deadline = now.Add(100 * time.Millisecond)
	assert.Equal(t, q.Offer(now, late).Refusal.Reason, ReasonDeadlinePassed)

	late.ID = "in-time"
	late.Deadline = now.Add(time.Minute)
	assert.Assert(t, q.Offer(now, late).Queued)
}

// The top class requests more than the capacity, so its requests wait until just before their
// deadline. A summary can count on the floor share. Refused because of the work of greater worth
// ahead of it, it would never get this share.
func TestAdmissionCountsTheFloorShare(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	for second := range 20 {
		now := at(time.Duration(2+second) * rateWindow)
		for i := range 3 {
			mustQueue(t, q, now, request(fmt.Sprint("memo", second, "-", i), "audit", "memo", 1000))
		}
		r := takeNext(t, q, now)
		q.Next(now, never)
		q.Done(now, Outcome{ID: r.ID, Answered: true, Took: 500 * time.Millisecond})
	}
	now := at(22 * rateWindow)
	r := request("summary", "audit", "draft", 500)
	r.Deadline = now.Add(15 * time.Second)
	mustQueue(t, q, now, r)
	r.ID, r.Deadline = "hasty", now.Add(8*time.Second)
	assert.Equal(t, q.Offer(now, r).Refusal.Reason, ReasonDeadlineUnreachable)
}

// The requests ahead are of lesser worth. They must not cause the refusal of a request of the top
// class.
func TestLesserWorthAheadCausesNoRefusal(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	now := at(2 * rateWindow)
	mustQueue(t, q, now, request("ahead", "audit", "draft", 100000))
	r := request("memo", "audit", "memo", 1000)
	r.Deadline = now.Add(2 * time.Second)
	assert.Assert(t, q.Offer(now, r).Queued)
}

// Every backend server is lost for 20 s and nothing completes. If the service rate fell to zero
// meanwhile, all requests would be refused after the outage as well, and the idle servers would
// never show a better rate.
func TestOutageKeepsTheServiceRate(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	mustQueue(t, q, at(2*rateWindow), request("waits", "audit", "memo", 100))
	for i := range 20 {
		q.Next(at(time.Duration(3+i)*rateWindow), never)
	}
	assert.Equal(t, q.Stats().Models[0].TokensPerSecond, 1000.0)
}

// A caller resends its request every 100 ms because the answer is slow. Without joining, each
// copy would wait and run by itself.
func TestResendsWithOneKeyJoinTheFirst(t *testing.T) {
	q := New(twoClasses())
	r := request("first", "audit", "memo", 10)
	r.IdempotencyKey = "k"
	mustQueue(t, q, start, r)
	again := r
	again.ID, again.Resend = "second", true
	assert.Equal(t, q.Offer(start, again).Joined, "first")
	takeNext(t, q, start)
	assert.Equal(t, q.Offer(start, again).Joined, "first")
	foreign := again
	foreign.Workspace = "tank"
	mustQueue(t, q, start, foreign)
	q.Done(start, Outcome{ID: "first", Answered: true, Took: time.Second})
	again.ID = "third"
	mustQueue(t, q, start, again)
}

// A thousand callers are refused in the same second. With the same Retry-After, they would return
// together and be refused together without end.
func TestRefusedCallersReturnNoFasterThanServed(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	now := at(2 * rateWindow)
	backlog(t, q, now, 5000)
	perSecond := make(map[int]int)
	for i := range 1000 {
		r := request(fmt.Sprint("r", i), "audit", "memo", 100)
		r.Deadline = now.Add(time.Second)
		d := q.Offer(now, r)
		assert.Assert(t, d.Refusal != nil)
		assert.Assert(t, d.Refusal.RetryAfter <= DefaultMaxRetryAfter)
		perSecond[int(d.Refusal.RetryAfter/time.Second)]++
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= 100, "%d callers told to return in second %d, 10 can be served", n, second)
	}
}

// Drafts are refused for several seconds and none is admitted. The drafts refused in one second
// must not get the same retry times as the drafts of the second before.
func TestRetryScheduleIsKeptBetweenRateWindows(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	q.policy.MaxRetryAfter = time.Hour
	backlog(t, q, at(2*rateWindow), 5000)
	last := time.Time{}
	for second := range 3 {
		now := at(time.Duration(second+2) * rateWindow)
		for i := range 20 {
			r := request(fmt.Sprint("d", second, "-", i), "audit", "draft", 1000)
			r.Deadline = now.Add(time.Second)
			assert.Assert(t, q.Offer(now, r).Refusal != nil)
		}
		next := q.models["m"].band(1).retrySchedule.next
		assert.Assert(t, second == 0 || next.Sub(last) >= 19*time.Second, "second %d: %v after the last", second, next.Sub(last))
		last = next
	}
}

// One caller waits for its Retry-After, another resends at once. The second must not get the
// capacity that the first was promised.
func TestResendBeforeRetryAfterIsRefused(t *testing.T) {
	q := New(twoClasses())
	learnRate(t, q, 1000, 500*time.Millisecond)
	now := at(2 * rateWindow)
	backlog(t, q, now, 5000)
	r := request("first", "audit", "memo", 100)
	r.IdempotencyKey = "k"
	r.Deadline = now.Add(time.Second)
	first := q.Offer(now, r).Refusal
	r.ID, r.Resend = "second", true
	r.Deadline = now.Add(time.Minute)
	early := q.Offer(now.Add(100*time.Millisecond), r).Refusal
	assert.Equal(t, early.Reason, ReasonTooEarly)
	assert.Equal(t, early.RetryAfter, first.RetryAfter-100*time.Millisecond)
	r.ID = "third"
	mustQueue(t, q, now.Add(first.RetryAfter), r)
}

// All backend servers fail at once and each attempt is retried. The retries of a workspace must
// stay at a tenth of its admitted requests.
func TestRetryBudgetBoundsTheAddedLoad(t *testing.T) {
	q := New(twoClasses())
	for q.AllowRetry(start, "audit") {
	}
	for i := range 100 {
		mustQueue(t, q, start, request(fmt.Sprint(i), "audit", "memo", 1))
	}
	allowed := 0
	for q.AllowRetry(start, "audit") {
		allowed++
	}
	assert.Assert(t, allowed >= 9 && allowed <= 10, "%d", allowed)
	assert.Assert(t, q.AllowRetry(start, "tank"))
}

// Backend servers lose the answers of 145 requests a second for four seconds, after minutes with
// next to no retries. The retries that the requests of the last ten seconds allow may be sent at
// once, and no ten seconds may have more.
func TestRetriesOfAnyTenSecondsAreBounded(t *testing.T) {
	policy := twoClasses()
	policy.RetryRatio, policy.RetryPerSecond = 0.15, 0.1
	q := New(policy)
	now := start
	allowed := make(map[int]int)
	for second := range 60 {
		for i := range 6 {
			r := request(fmt.Sprint(second, "-", i), "audit", "memo", 1)
			r.RetryBudget = "service"
			mustQueue(t, q, now, r)
		}
		for second >= 40 && q.AllowRetry(now, "service") {
			allowed[second]++
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, allowed[40], 11, "0.15 of 66 requests plus 1.1")
	for from := 40; from < 50; from++ {
		sum := 0
		for second := from; second < from+10; second++ {
			sum += allowed[second]
		}
		assert.Assert(t, sum <= 11, "%d in ten seconds from %d", sum, from)
	}
	assert.Assert(t, q.AllowRetry(now, "audit"), "the workspace has its own retry budget")
}

// Drafts and checks have prompts of the same length; a draft takes four seconds, a check 0.3 s. A
// check that arrives with 2.5 s left must be admitted, and a draft with as little time must be
// refused at once.
func TestServiceTimesAreEstimatedByClass(t *testing.T) {
	q := New(Policy{})
	now := start
	for i := range 40 {
		class, took := "draft", 4*time.Second
		if i%2 == 0 {
			class, took = "check", 300*time.Millisecond
		}
		r := request(fmt.Sprint(i), "w", class, 1400)
		mustQueue(t, q, now, r)
		takeNext(t, q, now)
		q.Done(now, Outcome{ID: r.ID, Answered: true, Took: took})
	}
	check, draft := request("check", "w", "check", 1400), request("draft", "w", "draft", 1400)
	check.Deadline, draft.Deadline = now.Add(2500*time.Millisecond), now.Add(2500*time.Millisecond)
	mustQueue(t, q, now, check)
	assert.Equal(t, q.Offer(now, draft).Refusal.Reason, ReasonDeadlinePassed)
}

// A host is lost and one request in five takes three times as long until its group runs
// elsewhere; the other requests take a second as before. A caller with 1.6 s left was told that
// no server could answer in that time, and returned with even less time. It must be admitted
// while nothing waits. A caller with 0.1 s left must be refused.
func TestTightDeadlineIsAdmittedWhileNothingWaits(t *testing.T) {
	q := New(Policy{})
	now := start
	for i := range 40 {
		took := time.Second
		if i%5 == 4 {
			took *= 3
		}
		r := request(fmt.Sprint(i), "w", "draft", 1400)
		mustQueue(t, q, now, r)
		takeNext(t, q, now)
		q.Done(now, Outcome{ID: r.ID, Answered: true, Took: took})
	}
	tight, hopeless := request("tight", "w", "draft", 1400), request("hopeless", "w", "draft", 1400)
	tight.Deadline, hopeless.Deadline = now.Add(1600*time.Millisecond), now.Add(100*time.Millisecond)
	mustQueue(t, q, now, tight)
	takeNext(t, q, now)
	assert.Equal(t, q.Offer(now, hopeless).Refusal.Reason, ReasonDeadlinePassed)
}
