package admission

import (
	"sort"
	"time"
)

// creditLimit bounds the floor credit of a band to this many of its largest
// requests, so that a class can't save up credit and then hold the top class
// back, and still each of its requests is reached.
const creditLimit = 2

// modelQueue holds the waiting requests of one model. Models don't compete
// for the same backend servers, so each is ordered by itself.
type modelQueue struct {
	name string
	// model is that of its requests.
	model string
	// bands are sorted by worth, greatest first.
	bands       []*band
	serviceRate serviceRate
	// service holds how long requests take, by class.
	serviceTimes   map[string]*serviceTime
	windowStart    time.Time
	waiting        int
	seq            uint64
	sawFullServers bool
	// newestFirst serves the newest request of a flow first.
	newestFirst bool
	// used is when a request was last admitted.
	used time.Time
	// top is the greatest worth that arrived of late.
	top float64
}

// forgetAfter is how long a model's rates are kept without a request: they say
// nothing after so long, and models come and go.
const idleExpiry = time.Hour

func (m *modelQueue) idle(now time.Time) bool {
	return m.waiting == 0 && now.Sub(m.used) > idleExpiry
}

func newModelQueue(name string) *modelQueue {
	return &modelQueue{name: name, serviceTimes: make(map[string]*serviceTime)}
}

// serviceClasses bounds the classes whose times are kept, about 100 KB a model.
// Past it all are learned anew, and what is unknown is admitted.
const maxServiceClasses = 256

// serviceOf returns how long requests of a class take.
//
// Load: drafts and checks of one length, of which the one writes for four seconds
// and the other for a third of one. Harm of one estimate for both: a check with
// 2.5 s left was refused as one that even an idle server could not answer in time.
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
	i := m.position(worth)
	if i < len(m.bands) && m.bands[i].worth == worth {
		return m.bands[i]
	}
	b := newBand(worth)
	m.bands = append(m.bands, nil)
	copy(m.bands[i+1:], m.bands[i:])
	m.bands[i] = b
	return b
}

func (m *modelQueue) position(worth float64) int {
	return sort.Search(len(m.bands), func(i int) bool { return m.bands[i].worth <= worth })
}

func (m *modelQueue) push(it *item, share float64) {
	m.seq++
	it.seq = m.seq
	m.band(it.worth).push(it, share)
	m.waiting++
}

// prune drops flows and bands without requests that owe nothing to fairness
// and promised no caller a time to come back.
//
// It is made for class names and workspaces that come and go: each leaves a
// flow, and a queue that runs for months would look through all of them.
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

func (m *modelQueue) arrived(it *item) {
	m.top = max(m.top, it.worth)
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

// next picks the request to place, or nil if none fits.
func (m *modelQueue) next(now time.Time, policy Policy, fits func(Request) bool) *item {
	if m.waiting == 0 {
		return nil
	}
	var full lanes
	for {
		it := m.candidate(now, full)
		if it == nil {
			m.sawFullServers = true
			return nil
		}
		it.request.Reserve = m.reserve(now, it, policy)
		if fits(it.request) {
			return it
		}
		full.block(it.long, it.worth)
	}
}

// reserve is the part of each backend server that it must leave free.
//
// It is made for several entries that share the backend servers without a
// coordinator: one entry can't see what waits at another. With all servers full
// of lesser work, a request of the greatest worth would wait there for the next
// to end; the part left free by all entries takes it at once. A request that its
// band saved the credit for is let into that part: while the top class fills all
// servers, it would never find room otherwise.
//
// What is late already leaves more free, see lateReserve.
func (m *modelQueue) reserve(now time.Time, it *item, policy Policy) float64 {
	if late := it.lateReserve(now); late > 0 {
		return late
	}
	if it.worth >= m.top || it.flow.band.credit >= float64(it.request.Tokens) {
		return 0
	}
	return policy.Reserve
}

// lateReserve is the part of each backend server that a request leaves free that has just
// become late: what newcomers take in the time of an answer while a pool is half used. With a
// fourth, newcomers of a well used pool found no place.
const lateReserve = 0.5

// lateReserve returns the part that a request which can't be answered within its
// objective any more leaves free; 0 if it may still be on time.
//
// Load: after an outage of a second and a half its requests come at once and fill each
// group for the time of an answer; newcomers wait behind them, are late as well, and so
// on for seconds. Late work is worth the same a second later, as long as its caller
// waits; so it leaves less free the nearer it is to its deadline, and none in the end.
func (it *item) lateReserve(now time.Time) float64 {
	until, last := it.request.OnTimeUntil, it.request.Deadline
	if until.IsZero() || !now.After(until) || !last.After(until) {
		return 0
	}
	return lateReserve * max(0, last.Sub(now).Seconds()/last.Sub(until).Seconds())
}

// candidate is the head of the best band, unless a lesser band has saved the
// credit for its own head.
//
// The floor is made for demand that keeps the top class busy without end. With
// strict order alone the lesser classes would get nothing and their callers
// would send again for ever; with it they get FloorShare of the tokens, shared
// between the bands that wait.
func (m *modelQueue) candidate(now time.Time, full lanes) *item {
	var best *item
	for _, b := range m.bands {
		head := b.best(now, full, m.newestFirst)
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

// served accounts for it: its flow moves on, lesser bands earn credit.
func (m *modelQueue) served(it *item, policy Policy) {
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
			limit := float64(creditLimit * other.largest)
			other.credit = min(limit, other.credit+tokens*policy.FloorShare/float64(lesser))
		}
	}
}

// last returns the newest request of the lowest worth.
func (m *modelQueue) last(workspace string) *item {
	for i := len(m.bands) - 1; i >= 0; i-- {
		if it := m.bands[i].newest(workspace); it != nil {
			return it
		}
	}
	return nil
}

// waitFor estimates how long it waits until it is placed; 0 if the service
// rate isn't known yet.
//
// Work of greater worth that arrives later overtakes, so its arrival rate is
// taken off the service rate. The floor share is not overtaken: however much
// waits ahead, the band's own requests move at that rate.
func (m *modelQueue) waitFor(it *item, policy Policy) time.Duration {
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
			own = b.aheadOf(it, policy.share(it.request.Workspace))
		}
		if i > 0 && b.worth != it.worth && len(b.active) > 0 {
			lesser++
		}
	}
	floor := perSecond * policy.FloorShare / float64(lesser)
	ordinary := (ahead + own) / max(perSecond-overtaking, floor)
	return fromSeconds(min(ordinary, (own+float64(it.request.Tokens))/floor))
}

// ahead returns how many waiting requests have a worth or more.
func (m *modelQueue) ahead(worth float64) int {
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

// aheadOf estimates the tokens of the band that are served before a newcomer.
func (b *band) aheadOf(it *item, share float64) float64 {
	own := 0.0
	shares := b.shares
	f := b.flows[flowKey{it.request.Workspace, it.request.Class, it.long}]
	if f != nil && f.first != nil {
		own = float64(f.tokens)
	} else {
		shares += share
	}
	own += float64(it.request.Tokens)
	fair := own*shares/share - float64(it.request.Tokens)
	return min(float64(b.tokens), fair)
}
