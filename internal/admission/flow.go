package admission

import "time"

// flowKey identifies a flow: the requests that are normally served in arrival order.
type flowKey struct {
	workspace string
	class     string
	isLong    bool
}

// flow is the list of the waiting requests of one workspace, class and length category.
//
// Long and short requests have separate flows. In one list, a short request would wait until a
// long request at the head fits.
type flow struct {
	key    flowKey
	band   *band
	share  float64
	tokens int
	count  int
	// finish is the virtual time up to which the flow has been served: served tokens divided by
	// share.
	finish      float64
	first, last *item
}

func (f *flow) push(it *item) {
	it.flow = f
	it.prev, it.next = f.last, nil
	if f.last == nil {
		f.first = it
	} else {
		f.last.next = it
	}
	f.last = it
	f.tokens += it.request.Tokens
	f.count++
}

func (f *flow) remove(it *item) {
	if it.prev == nil {
		f.first = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		f.last = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	f.tokens -= it.request.Tokens
	f.count--
}

// band holds the flows of one model that have equal worth.
//
// The flows of a band share the capacity by start-time fair queueing in tokens, because demand is
// skewed towards a few large workspaces. Without shares, the workspace that sends most would be
// served most.
type band struct {
	worth  float64
	flows  map[flowKey]*flow
	active []*flow
	// virtual is the virtual start time of the last flow served. A flow that becomes active
	// starts at this time, so that it can't accumulate service time while it has no requests.
	virtual float64
	tokens  int
	shares  float64
	// credit is the unused part of the band's floor share, in tokens.
	credit float64
	// largestTokens is the size of the largest request since the band was last empty.
	largestTokens int
	// arrivals is the rate of tokens admitted to the band.
	arrivals      arrivalRate
	retrySchedule RetrySchedule
}

func newBand(worth float64) *band {
	return &band{worth: worth, flows: make(map[flowKey]*flow)}
}

func (b *band) push(it *item, share float64) {
	key := flowKey{it.request.Workspace, it.request.Class, it.isLong}
	f := b.flows[key]
	if f == nil {
		f = &flow{key: key, band: b}
		b.flows[key] = f
	}
	if f.first == nil {
		f.share = share
		f.finish = max(f.finish, b.virtual)
		b.shares += share
		b.active = append(b.active, f)
	}
	f.push(it)
	b.largestTokens = max(b.largestTokens, it.request.Tokens)
	b.tokens += it.request.Tokens
}

func (b *band) remove(it *item) {
	f := it.flow
	f.remove(it)
	b.tokens -= it.request.Tokens
	if f.first != nil {
		return
	}
	b.shares -= f.share
	for i, other := range b.active {
		if other == f {
			b.active[i] = b.active[len(b.active)-1]
			b.active = b.active[:len(b.active)-1]
			break
		}
	}
	if len(b.active) == 0 {
		b.shares = 0
		b.credit = 0
		b.largestTokens = 0
	}
}

// prune removes the empty flows that have used no more than their share.
func (b *band) prune() {
	for key, f := range b.flows {
		if f.first == nil && (f.finish <= b.virtual || len(b.active) == 0) {
			delete(b.flows, key)
		}
	}
}

// blockedWorth holds, for long and for short requests, the greatest worth of a request that did
// not fit. Requests of the same length category and of no greater worth are skipped. A request of
// greater worth may still fit, in the part of each backend server that is reserved for it.
type blockedWorth struct {
	long, short float64
}

func (b blockedWorth) includes(isLong bool, worth float64) bool {
	if isLong {
		return worth <= b.long
	}
	return worth <= b.short
}

func (b *blockedWorth) add(isLong bool, worth float64) {
	if isLong {
		b.long = max(b.long, worth)
		return
	}
	b.short = max(b.short, worth)
}

// nextItem returns a request of the flow that is furthest behind its share, or nil. Flows that
// hold a request which can still be on time go before flows that hold none. With newestFirst, the
// request is the newest one of its flow.
func (b *band) nextItem(now time.Time, blocked blockedWorth, newestFirst bool) *item {
	var best *flow
	for _, f := range b.active {
		if blocked.includes(f.key.isLong, b.worth) {
			continue
		}
		if best == nil || f.precedes(best, now) {
			best = f
		}
	}
	switch {
	case best == nil:
		return nil
	case newestFirst:
		return best.last
	}
	return best.nextItem(now)
}

// precedes reports whether the flow is served before o.
func (f *flow) precedes(o *flow, now time.Time) bool {
	if onTime, otherOnTime := f.canBeOnTime(now), o.canBeOnTime(now); onTime != otherOnTime {
		return onTime
	}
	if f.finish != o.finish {
		return f.finish < o.finish
	}
	return f.first.seq < o.first.seq
}

// canBeOnTime reports whether the flow holds a request that can still be on time. The requests of
// a flow have the same objective, so if any of them can be on time, the last one can.
func (f *flow) canBeOnTime(now time.Time) bool { return f.last.canBeOnTime(now) }

// canBeOnTime reports whether the request can still reach a backend server in time for its
// objective.
func (it *item) canBeOnTime(now time.Time) bool {
	return !it.request.OnTimeUntil.IsZero() && !now.After(it.request.OnTimeUntil)
}

// nextItem returns the oldest request that can still be on time or, if there is none, the oldest
// request.
//
// The order matters when all processes restart after a loss of power and a second of callers'
// requests arrives with them. Served first come, first served, the groups would work for two
// seconds on requests that are already late, and each request that arrives meanwhile would wait
// until it is late too. The late requests follow in arrival order as soon as there is capacity.
// They start before their deadline, or are refused when the deadline is out of reach.
func (f *flow) nextItem(now time.Time) *item {
	if !f.canBeOnTime(now) {
		return f.first
	}
	it := f.last
	for it.prev != nil && it.prev.canBeOnTime(now) {
		it = it.prev
	}
	return it
}

// newestOfHeaviestFlow returns the newest request of the flow that holds the most tokens for its
// share. If workspace is not empty, only the flows of that workspace count.
func (b *band) newestOfHeaviestFlow(workspace string) *item {
	var heaviest *flow
	for _, f := range b.active {
		if workspace != "" && f.key.workspace != workspace {
			continue
		}
		if heaviest == nil || float64(f.tokens)*heaviest.share > float64(heaviest.tokens)*f.share {
			heaviest = f
		}
	}
	if heaviest == nil {
		return nil
	}
	return heaviest.last
}
