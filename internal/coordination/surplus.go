package coordination

import (
	"sort"
	"time"

	"github.com/citronstep/citronstep/internal/admission"
)

const (
	// rateWindow is the time over which grants and arrivals are counted, and rateWeight the
	// weight of the newest window.
	rateWindow = 500 * time.Millisecond
	rateWeight = 0.5
	// lateBacklog is the time in which the late requests that wait can be served by what
	// requests on time leave over. Late requests above it are refused.
	lateBacklog = time.Second
	// returnedAfter is how much earlier than its arrival a request's time to be on time has
	// ended if its caller was refused before.
	returnedAfter = 500 * time.Millisecond
	// leastSpare is the part of the rate of grants that refused callers are promised when
	// requests on time use all of it.
	leastSpare = 0.05
	// tookWeight is the weight of one answer in the mean time of answers.
	tookWeight = 0.05
	// leastTurnover is the part of what full groups usually begin that a queue grants if all
	// entries use it.
	leastTurnover = 0.5
	// surplusInterval is the time between two searches for requests that can't be served.
	surplusInterval = 10 * time.Millisecond
)

// waiter is a waiting request.
type waiter struct {
	Request
	since time.Time
	// returned is set if its caller was refused before.
	returned bool
	// last is set once the request goes behind all that may be on time.
	last bool
}

func (w *waiter) isLate(now time.Time) bool { return now.After(w.OnTimeUntil) }

// rates measures what the groups begin and what arrives, in requests a second.
type rates struct {
	began time.Time
	// grants and arrivals count this window; arrivals are requests that can be on time.
	grants, arrivals int
	// full is set if requests waited for room in this window.
	full bool
	// granted is the rate of grants while requests wait, 0 until it is known.
	granted, arrived float64
	// took is the mean time from a grant to the end of its request.
	took    time.Duration
	returns admission.RetrySchedule
}

func (r *rates) tick(now time.Time) {
	elapsed := now.Sub(r.began)
	if elapsed < rateWindow {
		return
	}
	if elapsed < 2*rateWindow {
		r.endWindow(elapsed.Seconds())
	}
	r.began, r.grants, r.arrivals, r.full = now, 0, 0, false
}

func (r *rates) endWindow(seconds float64) {
	granted, arrived := float64(r.grants)/seconds, float64(r.arrivals)/seconds
	r.arrived += rateWeight * (arrived - r.arrived)
	switch {
	case r.full && r.granted == 0, granted > r.granted && r.granted > 0:
		r.granted = granted
	case r.full:
		r.granted += rateWeight * (granted - r.granted)
	}
}

// spare returns the rate at which late requests can be served.
func (r *rates) spare() float64 { return max(leastSpare*r.granted, r.granted-r.arrived) }

func (r *rates) ended(took time.Duration) {
	if r.took == 0 {
		r.took = took
	}
	r.took += time.Duration(tookWeight * float64(took-r.took))
}

// refuseSurplus refuses the late requests that surely can't be served: those with too little time
// left for an answer, and the surplus over what requests on time leave room for. Of the surplus
// those of the least worth go first, then those that were not refused before, then the newest.
//
// A late request is worth the same some time later, so a short backlog of them waits. Were they
// refused on arrival by how many wait ahead, requests that could still be on time would be
// refused for the sake of those that can't.
func (c *Coordinator) refuseSurplus(now time.Time) []Decision {
	if now.Before(c.surplusAt) {
		return nil
	}
	c.surplusAt = now.Add(surplusInterval)
	var late []*waiter
	var out []Decision
	for key, w := range c.waiting {
		switch {
		case now.Add(c.rates.took).After(w.Deadline):
			out = append(out, c.refuse(now, key, admission.ReasonExpired))
		case w.isLate(now):
			late = append(late, w)
		}
	}
	for _, w := range late {
		if !w.last {
			w.last = true
			c.queue.Cancel(w.key())
			out = append(out, c.enqueue(now, w)...)
		}
	}
	if c.rates.granted == 0 {
		return out
	}
	if c.isPassedBy() {
		for _, w := range late {
			out = append(out, c.giveBack(w))
		}
		return out
	}
	surplus := len(late) - int(c.rates.spare()*lateBacklog.Seconds())
	if surplus <= 0 {
		return out
	}
	sort.Slice(late, func(i, j int) bool { return c.goesBefore(late[i], late[j]) })
	for _, w := range late[:surplus] {
		out = append(out, c.refuse(now, w.key(), admission.ReasonDeadlineUnreachable))
	}
	return out
}

// isPassedBy reports whether the groups are full and this queue grants far less than they begin:
// entries send past it, because they know of no shortage yet or have lost this coordinator.
func (c *Coordinator) isPassedBy() bool {
	if c.usualTime <= 0 {
		return false
	}
	limits := 0
	for _, g := range c.groups {
		limits += g.limited
	}
	return c.rates.granted < leastTurnover*float64(limits)/c.usualTime.Seconds()
}

// giveBack lets the entry of a request decide, so that it waits no longer than at entries that
// send past this queue.
func (c *Coordinator) giveBack(w *waiter) Decision {
	delete(c.waiting, w.key())
	c.queue.Cancel(w.key())
	return Decision{Request: w.Request, Waiting: len(c.waiting)}
}

// goesBefore reports whether a is refused before b.
func (c *Coordinator) goesBefore(a, b *waiter) bool {
	worthA, worthB := c.policy.Worth(a.Workspace, a.Class), c.policy.Worth(b.Workspace, b.Class)
	switch {
	case worthA != worthB:
		return worthA < worthB
	case a.returned != b.returned:
		return b.returned
	case !a.since.Equal(b.since):
		return a.since.After(b.since)
	}
	return a.key() < b.key()
}

// refuse ends the wait of a request. Its caller is given a place among those who return.
func (c *Coordinator) refuse(now time.Time, key string, reason admission.Reason) Decision {
	w := c.waiting[key]
	delete(c.waiting, key)
	c.queue.Cancel(key)
	cost := time.Duration(0)
	if spare := c.rates.spare(); spare > 0 {
		cost = time.Duration(float64(time.Second) / spare)
	}
	after := c.rates.returns.Place(now, 0, cost, key, c.policy)
	return Decision{Request: w.Request, Refusal: &admission.Refusal{Reason: reason, RetryAfter: after}, Waiting: len(c.waiting)}
}
