package admission

import (
	"sort"
	"time"
)

// maxCreditRequests limits the floor credit of a band to the size of this many of its largest
// requests. The limit keeps a class from accumulating credit and then holding back the top class,
// and still lets each of its requests be served.
const maxCreditRequests = 2

// modelQueue holds the waiting requests of one model and one value of Homes. Models don't compete
// for the same backend servers, so each has its own queue.
type modelQueue struct {
	name string
	// model is the model of the requests; name also contains their Homes.
	model string
	// bands are sorted by worth, greatest first.
	bands       []*band
	serviceRate serviceRate
	// serviceTimes holds the estimates of service time by class.
	serviceTimes map[string]*serviceTime
	// windowStart is when the current rate window began.
	windowStart time.Time
	waiting     int
	seq         uint64
	// sawFullServers is true if no waiting request fitted at some time in the rate window.
	sawFullServers bool
	// newestFirst means that the newest request of a flow is served first.
	newestFirst bool
	// lastUsed is when a request was last admitted.
	lastUsed time.Time
	// topWorth is the greatest worth that has arrived recently.
	topWorth float64
}

// idleExpiry is how long the rates of a model and the counts of a retry budget are kept without a
// request. Older rates say nothing about the present, and models come and go.
const idleExpiry = time.Hour

func (m *modelQueue) isIdle(now time.Time) bool {
	return m.waiting == 0 && now.Sub(m.lastUsed) > idleExpiry
}

func newModelQueue(name string) *modelQueue {
	return &modelQueue{name: name, serviceTimes: make(map[string]*serviceTime)}
}

// maxServiceClasses bounds the classes whose service times are kept, about 100 KB a model. Above
// it, all estimates are discarded and learned again; requests of unknown service time are
// admitted.
const maxServiceClasses = 256

// serviceTimeOf returns the estimate of service time for a class.
//
// Each class has its own estimate because drafts and checks may have prompts of the same length,
// while a draft takes four seconds and a check a third of a second. With one estimate for both, a
// check with 2.5 s left was refused as one that even an idle server could not answer in time.
func (m *modelQueue) serviceTimeOf(class string) *serviceTime {
	s := m.serviceTimes[class]
	if s == nil {
		if len(m.serviceTimes) >= maxServiceClasses {
			clear(m.serviceTimes)
		}
		s = &serviceTime{}
		m.serviceTimes[class] = s
	}
	return s
}

func (m *modelQueue) band(worth float64) *band {
	i := m.bandIndex(worth)
	if i < len(m.bands) && m.bands[i].worth == worth {
		return m.bands[i]
	}
	b := newBand(worth)
	m.bands = append(m.bands, nil)
	copy(m.bands[i+1:], m.bands[i:])
	m.bands[i] = b
	return b
}

func (m *modelQueue) bandIndex(worth float64) int {
	return sort.Search(len(m.bands), func(i int) bool { return m.bands[i].worth <= worth })
}

func (m *modelQueue) push(it *item, share float64) {
	m.seq++
	it.seq = m.seq
	m.band(it.worth).push(it, share)
	m.waiting++
}

// prune removes empty flows and bands. It keeps flows that have used more than their share, bands
// with recent arrivals, and bands that have given a caller a Retry-After that has not passed yet.
//
// Class names and workspaces come and go, and each leaves a flow. Without pruning, a queue that
// runs for months would scan all of them.
func (m *modelQueue) prune(now time.Time) {
	kept := m.bands[:0]
	for _, b := range m.bands {
		b.prune()
		if len(b.flows) > 0 || b.arrivals.perSecond > minArrivalRate || b.retrySchedule.next.After(now) {
			kept = append(kept, b)
		}
	}
	clear(m.bands[len(kept):])
	m.bands = kept
}

func (m *modelQueue) recordArrival(it *item) {
	m.topWorth = max(m.topWorth, it.worth)
	it.flow.band.arrivals.add(it.request.Tokens)
}

func (m *modelQueue) remove(it *item) {
	it.flow.band.remove(it)
	m.waiting--
}

// takeAll empties the queue and returns its requests in arrival order.
func (m *modelQueue) takeAll() []*item {
	var all []*item
	for _, b := range m.bands {
		for _, f := range b.flows {
			for it := f.first; it != nil; it = it.next {
				all = append(all, it)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].seq < all[j].seq })
	m.bands = nil
	m.waiting = 0
	return all
}

// nextItem returns the request to place, or nil if none fits.
func (m *modelQueue) nextItem(now time.Time, policy Policy, fits func(Request) bool) *item {
	if m.waiting == 0 {
		return nil
	}
	var blocked blockedWorth
	for {
		it := m.candidate(now, blocked)
		if it == nil {
			m.sawFullServers = true
			return nil
		}
		it.request.Reserve = m.reserveFor(now, it, policy)
		if fits(it.request) {
			return it
		}
		blocked.add(it.isLong, it.worth)
	}
}

// reserveFor returns the part of each backend server that a request must leave free.
//
// The reserve is made for several entries that share the backend servers without a coordinator,
// so that an entry can't see the requests that wait at another entry. While all servers are full
// of lesser work, a request of the greatest worth would wait until the next request ends. The
// part that all entries leave free takes the request at once. A request whose band has earned the
// credit for it may use the reserve too: while the top class fills all servers, it would never
// find capacity otherwise.
//
// A request that is already late leaves more free, see lateReserve.
func (m *modelQueue) reserveFor(now time.Time, it *item, policy Policy) float64 {
	if late := it.lateReserve(now); late > 0 {
		return late
	}
	if it.worth >= m.topWorth || it.flow.band.credit >= float64(it.request.Tokens) {
		return 0
	}
	return policy.Reserve
}

// maxLateReserve is the part of each backend server that a request leaves free when it has just
// become late. It is the part that newcomers take in the time of an answer while a pool is half
// used. With a fourth, newcomers of a well used pool found no free slot.
const maxLateReserve = 0.5

// lateReserve returns the part that a request leaves free if it can no longer be answered within
// its objective; 0 if it may still be on time.
//
// The reserve is made for the time after an outage of a second and a half, when the requests of
// the outage arrive at once and fill each group for the time of an answer. Newcomers wait behind
// them, are late as well, and so on for seconds. A late request is worth the same a second later,
// as long as its caller waits. It therefore leaves less free the nearer it is to reserveEnd, and
// nothing from then on.
func (it *item) lateReserve(now time.Time) float64 {
	onTimeUntil, end := it.request.OnTimeUntil, it.reserveEnd()
	if onTimeUntil.IsZero() || !now.After(onTimeUntil) || !end.After(onTimeUntil) {
		return 0
	}
	return maxLateReserve * max(0, end.Sub(now).Seconds()/end.Sub(onTimeUntil).Seconds())
}

// reserveEnd returns when a late request begins to leave nothing free: half the time of an answer
// before its latest start. In that time a slot in use becomes free on average.
//
// Load: an overload ends. The requests that wait are late, and hardly any newcomer takes the slots
// that they leave. If they left one free up to the deadline, they would be refused at their latest
// start beside it.
func (it *item) reserveEnd() time.Time {
	answerTime := it.request.Deadline.Sub(it.latestStart)
	return it.latestStart.Add(-answerTime / 2)
}

// candidate returns the next request of the band of greatest worth, or of a lesser band that has
// earned the credit for its next request.
//
// The floor share is made for demand that keeps the top class busy without end. In strict order
// of worth, the lesser classes would get nothing and their callers would resend forever. With the
// floor share, the lesser bands that wait get FloorShare of the tokens together.
func (m *modelQueue) candidate(now time.Time, blocked blockedWorth) *item {
	var best *item
	for _, b := range m.bands {
		head := b.nextItem(now, blocked, m.newestFirst)
		if head == nil {
			continue
		}
		if best == nil {
			best = head
			continue
		}
		if b.credit >= float64(head.request.Tokens) {
			return head
		}
	}
	return best
}

// recordServed accounts for a request that is served: the finish time of its flow advances, and
// lesser bands earn credit.
func (m *modelQueue) recordServed(it *item, policy Policy) {
	f := it.flow
	b := f.band
	tokens := float64(it.request.Tokens)
	b.virtual = max(b.virtual, f.finish)
	f.finish += tokens / f.share
	b.credit = max(0, b.credit-tokens)
	lesser := 0
	for _, other := range m.bands {
		if other.worth < b.worth && len(other.active) > 0 {
			lesser++
		}
	}
	for _, other := range m.bands {
		if other.worth < b.worth && len(other.active) > 0 {
			limit := float64(maxCreditRequests * other.largestTokens)
			other.credit = min(limit, other.credit+tokens*policy.FloorShare/float64(lesser))
		}
	}
}

// newestOfLowestWorth returns the newest request of the lowest worth. If workspace is not empty,
// only requests of that workspace count.
func (m *modelQueue) newestOfLowestWorth(workspace string) *item {
	for i := len(m.bands) - 1; i >= 0; i-- {
		if it := m.bands[i].newestOfHeaviestFlow(workspace); it != nil {
			return it
		}
	}
	return nil
}

// estimateWait estimates how long an item waits until it is placed. It returns 0 while the
// service rate is unknown.
//
// Work of greater worth that arrives later overtakes the item, so its arrival rate is subtracted
// from the service rate. Such work can't overtake the floor share: however much work waits ahead,
// the band's own requests are served at that rate.
func (m *modelQueue) estimateWait(it *item, policy Policy) time.Duration {
	perSecond := m.serviceRate.perSecond
	if perSecond <= 0 {
		return 0
	}
	ahead, overtaking, own, lesser := 0.0, 0.0, 0.0, 1
	for i, b := range m.bands {
		switch {
		case b.worth > it.worth:
			ahead += float64(b.tokens)
			overtaking += b.arrivals.perSecond
		case b.worth == it.worth:
			own = b.tokensAhead(it, policy.share(it.request.Workspace))
		}
		if i > 0 && b.worth != it.worth && len(b.active) > 0 {
			lesser++
		}
	}
	floor := perSecond * policy.FloorShare / float64(lesser)
	ordinary := (ahead + own) / max(perSecond-overtaking, floor)
	return fromSeconds(min(ordinary, (own+float64(it.request.Tokens))/floor))
}

// countAhead returns the number of waiting requests of the given worth or more.
func (m *modelQueue) countAhead(worth float64) int {
	n := 0
	for _, b := range m.bands {
		if b.worth < worth {
			continue
		}
		for _, f := range b.active {
			n += f.count
		}
	}
	return n
}

// tokensAhead estimates the tokens of the band that are served before a new item.
func (b *band) tokensAhead(it *item, share float64) float64 {
	own := 0.0
	shares := b.shares
	f := b.flows[flowKey{it.request.Workspace, it.request.Class, it.isLong}]
	if f != nil && f.first != nil {
		own = float64(f.tokens)
	} else {
		shares += share
	}
	own += float64(it.request.Tokens)
	fair := own*shares/share - float64(it.request.Tokens)
	return min(float64(b.tokens), fair)
}
