package placement

import "time"

// maxOthers bounds pool.others: the users run at most 9 entries today, and a
// wrong estimate must not stop an entry from using its part.
const maxOthers = 16

// othersWeight is the weight of one report in pool.others: a hundred reports,
// about twenty seconds of one target, follow a change of the number of entries.
const othersWeight = 0.01

// pool holds the targets of one model.
type pool struct {
	targets []*target
	// others is the work in flight of all entries for each token of this one:
	// the ratio of the two means below, in tokens a target.
	others            float64
	meanAll, meanMine float64
	reference         reference
	full              roomCache
	// outageUntil is until when a return to service counts as the end of an
	// outage of most of the pool.
	outageUntil time.Time
	refreshAt   time.Time
}

// newPool returns a pool that peers entries send to, this one included.
//
// Load: all processes come back from an outage, and each entry gets its part of the
// backlog before any backend server has reported. Taken for alone, each fills all groups
// by itself: 380 requests went to 312 places within half a second. The balancer gives
// entries like parts, so as many peers send as much until reports tell.
func newPool(peers int) *pool { return &pool{others: float64(min(max(1, peers), maxOthers))} }

// observeOthers compares what a target reports with this entry's part of it.
//
// It takes the ratio of means and not the mean of ratios: a target that holds
// one small request of this entry would show a ratio of a hundred.
func (p *pool) observeOthers(t *target) {
	p.meanAll += othersWeight * (float64(t.reported.TokensInFlight) - p.meanAll)
	p.meanMine += othersWeight * (float64(max(0, t.mineAt)) - p.meanMine)
	if p.meanAll > p.meanMine && p.meanMine > 0 {
		p.others = min(p.meanAll/p.meanMine, maxOthers)
		return
	}
	p.others = 1
}

// room tells whether the request fits on some target.
func (p *pool) room(now time.Time, r Request, o *Options) bool {
	for _, t := range p.targets {
		if t.within(r.Homes) && t.room(now, r.Tokens, r.Reserve, o) {
			return true
		}
	}
	return false
}

// refreshEvery is how often stale targets are looked for at most: under
// saturation nothing has room many times a second.
const refreshEvery = time.Second

// refresh estimates anew the load of targets that ceased to report, and tells
// whether there are any. It is called only when nothing has room, so that the
// quick look through full targets needs no clock.
func (p *pool) refresh(now time.Time) bool {
	if now.Before(p.refreshAt) {
		return false
	}
	p.refreshAt = now.Add(refreshEvery)
	found := false
	for _, t := range p.targets {
		if t.stale(now) {
			t.estimate(now)
			found = true
		}
	}
	return found
}

// mean returns the load of the pool as a part of its limits.
func (p *pool) mean() float64 {
	load, limit := 0.0, 0.0
	for _, t := range p.targets {
		load += t.load
		limit += t.limit
	}
	if limit == 0 {
		return 0
	}
	return load / limit
}

// cacheTime bounds how long roomCache answers without a look, because ramps
// and back-offs end with time alone.
const cacheTime = 20 * time.Millisecond

// roomCache remembers that a request of some size doesn't fit anywhere, until
// some target gets work back or reports.
//
// It is made for full saturation: each request that arrives or ends asks again
// for room, and thousands of askings a second would each look at every target.
type roomCache struct {
	short, long noRoom
}

type noRoom struct {
	until   time.Time
	tokens  int
	reserve float64
}

func (c *roomCache) clear() { *c = roomCache{} }

func (c *roomCache) lane(long bool) *noRoom {
	if long {
		return &c.long
	}
	return &c.short
}

func (n *noRoom) covers(now time.Time, tokens int, reserve float64) bool {
	return now.Before(n.until) && tokens >= n.tokens && reserve >= n.reserve
}

func (n *noRoom) remember(now time.Time, tokens int, reserve float64) {
	*n = noRoom{until: now.Add(cacheTime), tokens: tokens, reserve: reserve}
}
