package admission

import "time"

// flowKey names the requests that are served in arrival order.
type flowKey struct {
	workspace string
	class     string
	long      bool
}

// flow is a list of waiting requests of one workspace, class and length.
//
// Long and short requests are in flows of their own: in one list a short
// request would wait until a long one at the head fits.
type flow struct {
	key    flowKey
	band   *band
	share  float64
	tokens int
	count  int
	// finish is the virtual time up to which this flow was served: tokens
	// divided by share.
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

// band holds the flows of one model that are of equal worth.
//
// Flows of a band share by start-time fair queueing in tokens, for demand that
// is skewed towards a few large workspaces: without shares the workspace that
// sends most is served most.
type band struct {
	worth  float64
	flows  map[flowKey]*flow
	active []*flow
	// virtual is the start of the last flow served; a flow that becomes active
	// starts there, so that it can't save up time while it has no requests.
	virtual float64
	tokens  int
	shares  float64
	// credit is the floor share not yet used, in tokens.
	credit float64
	// largest is the greatest work of a request since the band was empty.
	largest int
	// arrivals is the rate of tokens admitted to this band.
	arrivals      arrivalRate
	retrySchedule retrySchedule
}

func newBand(worth float64) *band {
	return &band{worth: worth, flows: make(map[flowKey]*flow)}
}

func (b *band) push(it *item, share float64) {
	key := flowKey{it.request.Workspace, it.request.Class, it.long}
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
	b.largest = max(b.largest, it.request.Tokens)
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
		b.largest = 0
	}
}

// prune drops flows that hold nothing and have used no more than their share.
func (b *band) prune() {
	for key, f := range b.flows {
		if f.first == nil && (f.finish <= b.virtual || len(b.active) == 0) {
			delete(b.flows, key)
		}
	}
}

// lanes says for which requests there is no room: by length, all those worth no
// more than one that didn't fit. One of greater worth may still, in the part of
// each backend server that is kept for it.
type lanes struct {
	long, short float64
}

func (l lanes) blocked(long bool, worth float64) bool {
	if long {
		return worth <= l.long
	}
	return worth <= l.short
}

func (l *lanes) block(long bool, worth float64) {
	if long {
		l.long = max(l.long, worth)
		return
	}
	l.short = max(l.short, worth)
}

// best returns a request of the flow that is furthest behind its share: of the
// flows that hold one which can still be on time, if there are any.
func (b *band) best(now time.Time, full lanes, newestFirst bool) *item {
	var best *flow
	for _, f := range b.active {
		if full.blocked(f.key.long, b.worth) {
			continue
		}
		if best == nil || f.before(best, now) {
			best = f
		}
	}
	switch {
	case best == nil:
		return nil
	case newestFirst:
		return best.last
	}
	return best.next(now)
}

// before tells whether a flow is served before another.
func (f *flow) before(o *flow, now time.Time) bool {
	if mine, other := f.onTime(now), o.onTime(now); mine != other {
		return mine
	}
	if f.finish != o.finish {
		return f.finish < o.finish
	}
	return f.first.seq < o.first.seq
}

// onTime tells whether the flow holds a request that can still be on time. Those of
// one flow have one objective, so if any can, the last one can.
func (f *flow) onTime(now time.Time) bool { return f.last.onTime(now) }

func (it *item) onTime(now time.Time) bool {
	return !it.request.OnTimeUntil.IsZero() && !now.After(it.request.OnTimeUntil)
}

// next returns the oldest request that can still be on time, or else the oldest.
//
// Load: all processes come back after a loss of power, and a second of callers'
// requests with them. Harm of first come, first served: the groups work for two
// seconds on what is late already, and each that comes meanwhile waits until it is
// late too. Those that are late follow as soon as there is room, in the order in which they came, and before their deadline or are
// refused when that is out of reach.
func (f *flow) next(now time.Time) *item {
	if !f.onTime(now) {
		return f.first
	}
	it := f.last
	for it.prev != nil && it.prev.onTime(now) {
		it = it.prev
	}
	return it
}

// newest returns the last request of the flow that holds most for its share,
// of one workspace if one is named.
func (b *band) newest(workspace string) *item {
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
