package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayBacklog simulates callers who return together after an outage. 150 requests of ten
// workspaces, all late already, wait when the first server is available. 80 more arrive each
// second, to slots that serve 100. replayBacklog returns how many of the later requests were sent
// on time, their number, and when the last request of the backlog was sent.
func replayBacklog(t *testing.T, ordered, reserved bool) (onTime, later int, cleared time.Duration) {
	t.Helper()
	const (
		slots     = 100
		work      = time.Second
		objective = 250 * time.Millisecond
		deadline  = 8 * time.Second
		waiting   = 150
	)
	q, now := New(Policy{}), start
	var busy []time.Time
	offer := func(id string, arrived time.Time) {
		r := Request{ID: id, Workspace: fmt.Sprint("w", len(id)%10), Class: "c", Model: "m", Tokens: 1000, Arrived: arrived, Deadline: arrived.Add(deadline)}
		if ordered {
			r.OnTimeUntil = arrived.Add(objective)
		}
		assert.Assert(t, q.Offer(now, r).Queued, "%s", id)
	}
	arrivals := make(map[string]time.Time)
	for i := range waiting {
		offer(fmt.Sprint("old", i), now.Add(-time.Second))
	}
	for step := 0; step < 6000; step++ {
		now = now.Add(time.Millisecond)
		if step%1000 < 960 && step%12 == 0 {
			id := fmt.Sprint("new", step)
			arrivals[id] = now
			offer(id, now)
		}
		for len(busy) > 0 && !now.Before(busy[0]) {
			busy = busy[1:]
		}
		for len(busy) < slots {
			r, expired, ok := q.Next(now, func(r Request) bool {
				return !reserved || float64(len(busy)+1) <= slots*(1-r.Reserve)
			})
			assert.Equal(t, len(expired), 0)
			if !ok {
				break
			}
			// The backlog fills the slots at once. Its requests end one after the other.
			busy = append(busy, now.Add(work+time.Duration(len(busy))*time.Millisecond))
			q.Done(now, Outcome{ID: r.ID})
			if at, new := arrivals[r.ID]; !new {
				cleared = now.Sub(start)
			} else if now.Sub(at) <= objective {
				onTime++
			}
		}
	}
	return onTime, len(arrivals), cleared
}

// All processes restart after a loss of power, and a second of callers' requests arrives with
// them. Served first come, first served, the requests of the next seconds would wait until they
// are late too. Requests that can still be on time must go first, and the late ones must follow
// within their deadline.
func TestOnTimeRequestsPrecedeALateBacklog(t *testing.T) {
	before, all, _ := replayBacklog(t, false, false)
	after, _, cleared := replayBacklog(t, true, false)
	t.Logf("on time of %d: %d before, %d now, backlog cleared after %s", all, before, after, cleared)
	assert.Assert(t, after >= before+all/8, "%d of %d, %d before", after, all, before)
	assert.Assert(t, cleared > 0 && cleared < 7*time.Second, "the last of the backlog after %s", cleared)
}

// As in the test above, but the backlog is there before the first new request. It fills all slots
// for the time of an answer in any order of service, and the requests that arrive meanwhile are
// late. Nearly all new requests must find slots. The backlog must follow in the slots that they
// leave, without the loss of a request.
func TestLateBacklogLeavesSlotsForNewRequests(t *testing.T) {
	before, all, _ := replayBacklog(t, true, false)
	after, _, cleared := replayBacklog(t, true, true)
	t.Logf("on time of %d: %d before, %d now, backlog cleared after %s", all, before, after, cleared)
	assert.Assert(t, after >= all*9/10, "%d of %d, %d before", after, all, before)
	assert.Assert(t, cleared > 0 && cleared < 7*time.Second, "the last of the backlog after %s", cleared)
}

// Of the requests of one workspace, most are already late. The requests that are not late must go
// first, then the late ones in arrival order.
func TestLateRequestsKeepArrivalOrder(t *testing.T) {
	q := New(Policy{})
	for i, until := range []time.Duration{-3, -2, -1, 5, 6} {
		r := Request{ID: fmt.Sprint(i), Workspace: "w", Class: "c", Model: "m", Tokens: 1, Arrived: start, OnTimeUntil: start.Add(until * time.Second)}
		assert.Assert(t, q.Offer(start, r).Queued)
	}
	var order string
	for {
		r, _, ok := q.Next(start, func(Request) bool { return true })
		if !ok {
			break
		}
		order += r.ID
	}
	assert.Equal(t, order, "34012")
}

// replayOverload simulates callers that ask for more than the slots serve until no more of them come. It returns how
// many of the requests were sent on time and how many were refused.
func replayOverload(t *testing.T, slots int, work time.Duration, reserved bool) (onTime, refused int) {
	t.Helper()
	const (
		interval  = 100 * time.Millisecond
		length    = 6 * time.Second
		objective = 200 * time.Millisecond
		deadline  = 6 * time.Second
	)
	q := New(Policy{})
	arrivals := make(map[string]time.Time)
	var busy []time.Time
	for elapsed := time.Duration(0); elapsed < length+deadline; elapsed += time.Millisecond {
		now := start.Add(elapsed)
		if elapsed < length && elapsed%interval == 0 {
			id := elapsed.String()
			arrivals[id] = now
			r := Request{ID: id, Workspace: "w", Class: "c", Model: "m", Tokens: 20, Arrived: now, Deadline: now.Add(deadline), OnTimeUntil: now.Add(objective)}
			if !q.Offer(now, r).Queued {
				refused++
			}
		}
		for len(busy) > 0 && !now.Before(busy[0]) {
			busy = busy[1:]
		}
		for len(busy) < slots {
			r, expired, ok := q.Next(now, func(r Request) bool {
				return !reserved || float64(len(busy)+1) <= float64(slots)*(1-r.Reserve)
			})
			refused += len(expired)
			if !ok {
				break
			}
			busy = append(busy, now.Add(work))
			q.Done(now, Outcome{ID: r.ID, Answered: true, Took: work})
			if now.Sub(arrivals[r.ID]) <= objective {
				onTime++
			}
		}
	}
	return onTime, refused
}

// Guards against late requests that leave a slot free for new ones until they are refused.
func TestLateRequestsAreNotRefusedBesideFreeSlots(t *testing.T) {
	for _, slots := range []int{3, 4, 6} {
		work := time.Duration(slots) * 200 * time.Millisecond
		onTimeBefore, refusedBefore := replayOverload(t, slots, work, false)
		onTime, refused := replayOverload(t, slots, work, true)
		t.Logf("%d slots: %d on time and %d refused, %d and %d without a reserve", slots, onTime, refused, onTimeBefore, refusedBefore)
		assert.Check(t, refused <= refusedBefore, "%d slots: %d refused, %d without a reserve", slots, refused, refusedBefore)
		assert.Check(t, onTime >= onTimeBefore, "%d slots: %d on time, %d without a reserve", slots, onTime, onTimeBefore)
	}
}
