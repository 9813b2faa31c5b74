package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// These values define what a rate-limited backend server accepts in any limitSpan: its limit
// times limitFactor, plus limitSlack requests.
const (
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedPool is a set of entries that send to ten backend servers. The first, "s0", names a
// limit after limitedAt.
type limitedPool struct {
	random  *rand.Rand
	pickers []*Picker
	limit   float64
	// known tells for each entry whether it has learned the limit.
	known []bool
	// arrivals are the times of the requests that s0 received.
	arrivals []time.Duration
	refused  int
}

const limitedAt = 10 * time.Second

func newLimitedPool(entries int, limit float64) *limitedPool {
	w := &limitedPool{random: rand.New(rand.NewPCG(uint64(entries), 1)), limit: limit, known: make([]bool, entries)}
	var ids []string
	for i := range entries {
		ids = append(ids, fmt.Sprint("entry-", i))
	}
	list := groups(10)
	for i := range list {
		list[i].Server, list[i].Capacity = fmt.Sprint("s", i), 1<<30
	}
	for i, id := range ids {
		p := New(Options{Seed: uint64(i), Entry: id, DataCentre: "dc"})
		p.SetEntries(ids)
		p.SetTargets(start, list)
		w.pickers = append(w.pickers, p)
	}
	return w
}

// run makes all entries together send perSecond requests a second until end.
func (w *limitedPool) run(perSecond float64, end time.Duration) {
	next := time.Duration(0)
	for n := 0; next < end; n++ {
		entry := w.random.IntN(len(w.pickers))
		w.send(entry, next, fmt.Sprint(n))
		next += time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	}
}

// send sends one request, which is answered at once. Entries learn the limit a tenth of a
// second after the first answer that names it.
func (w *limitedPool) send(entry int, after time.Duration, id string) {
	p, now := w.pickers[entry], at(after)
	if after >= limitedAt+100*time.Millisecond && len(w.arrivals) > 0 && !w.known[entry] {
		w.known[entry] = true
		limit := NamedLimit(w.limit)
		p.SetRateLimit(now, "s0", CauseNamed, &limit)
	}
	if !p.HasCapacity(now, Request{Model: "m", Tokens: 100}) {
		w.refused++
		return
	}
	c, ok := p.Pick(now, Request{Model: "m", Tokens: 100})
	if !ok {
		w.refused++
		return
	}
	p.RecordStart(now, id, c.ID, 100)
	p.RecordFinish(now, id, Result{OK: true, Duration: time.Millisecond})
	if p.targets[c.ID].Server == "s0" {
		w.arrivals = append(w.arrivals, after)
	}
}

// maxInSpan returns the greatest number of arrivals in a span that ends at or after from.
func (w *limitedPool) maxInSpan(from time.Duration) int {
	most := 0
	for i, last := range w.arrivals {
		n := 0
		for j := i; j >= 0 && last-w.arrivals[j] < limitSpan; j-- {
			n++
		}
		if last >= from {
			most = max(most, n)
		}
	}
	return most
}

// Guards against entries that each use a rate limit as if they were alone.
func TestEntriesShareARateLimit(t *testing.T) {
	for _, entries := range []int{1, 2, 6, 9, 45, 195} {
		for _, limit := range []float64{0, 0.5, 1.8, 5, 20, 1e300} {
			w := newLimitedPool(entries, limit)
			w.run(10*(min(limit, 20)+8), 3*time.Minute)
			allowed := limitFactor*limit*limitSpan.Seconds() + limitSlack
			most := w.maxInSpan(limitedAt + 2*limitSpan)
			assert.Assert(t, float64(most) <= allowed, "%d entries, limit %g: %d requests in %s, allowed %g", entries, limit, most, limitSpan, allowed)
			assert.Equal(t, w.refused, 0)
		}
	}
}

// Guards against a limit that is divided so finely that the backend server stands idle.
func TestRateLimitIsUsed(t *testing.T) {
	const limit = 5
	for _, entries := range []int{1, 6, 45} {
		w := newLimitedPool(entries, limit)
		w.run(100*float64(entries), time.Minute)
		n := 0
		for _, a := range w.arrivals {
			if a > 2*limitedAt {
				n++
			}
		}
		used := float64(n) / (time.Minute - 2*limitedAt).Seconds() / limit
		assert.Assert(t, used > 0.6 && used <= 1, "%d entries use %.2f of the limit", entries, used)
	}
}

// Guards against requests sent before a limit that come on top of the limit.
func TestEarlierRequestsCountAgainstARateLimit(t *testing.T) {
	limit := NamedLimit(2)
	busy, idle := newPicker(1), newPicker(1)
	for _, p := range []*Picker{busy, idle} {
		list := groups(1)
		list[0].Server = "s"
		p.SetTargets(start, list)
	}
	for i := range 10 {
		busy.RecordStart(start, fmt.Sprint(i), "g000", 1)
	}
	busy.SetRateLimit(at(time.Second), "s", CauseNamed, &limit)
	idle.SetRateLimit(at(time.Second), "s", CauseNamed, &limit)
	assert.Assert(t, !idle.IsBlocked(at(time.Second), "g000"))
	assert.Assert(t, busy.IsBlocked(at(4900*time.Millisecond), "g000"))
	assert.Assert(t, !busy.IsBlocked(at(time.Second+namedWindow), "g000"))
}

// Guards against a limit that is lost when another group forms behind the same head.
func TestARateLimitOutlivesTheGroup(t *testing.T) {
	limit := NamedLimit(1)
	list := groups(2)
	list[0].Server, list[1].Server = "s", "s"
	p := newPicker(0)
	p.SetTargets(start, list[:1])
	p.SetRateLimit(start, "s", CauseNamed, &limit)
	p.RecordStart(start, "a", "g000", 1)
	p.SetTargets(start, list[1:])
	assert.Assert(t, p.IsBlocked(at(900*time.Millisecond), "g001"))
	assert.Assert(t, !p.IsBlocked(at(time.Second), "g001"))

	nextSend, _, throttled := p.BlockedUntil(at(900*time.Millisecond), Request{Model: "m"})
	assert.Assert(t, throttled)
	assert.Equal(t, nextSend, at(time.Second))
	p.SetRateLimit(start, "s", CauseNamed, nil)
	assert.Assert(t, !p.IsBlocked(start, "g001"))
}

// Guards against a burst of all entries that have each saved up one request.
func TestBurstOfAllEntriesStaysWithinARateLimit(t *testing.T) {
	for _, entries := range []int{6, 45, 195} {
		const limit = 1.8
		w := newLimitedPool(entries, limit)
		w.run(100*float64(entries), limitedAt+2*time.Second)
		w.arrivals = w.arrivals[:1]
		for entry := range entries {
			for n := range 20 {
				w.send(entry, 10*time.Minute, fmt.Sprint("burst-", entry, "-", n))
			}
		}
		most := w.maxInSpan(limitedAt)
		assert.Assert(t, most <= int(limitFactor*limit*limitSpan.Seconds())+limitSlack, "%d entries: %d at once", entries, most)
	}
}

// Guards against requests that wait for more capacity than the rate limits leave.
func TestCapacityWithinRateLimits(t *testing.T) {
	limit := NamedLimit(2)
	p := newPicker(2)
	list := groups(2)
	list[0].Server, list[1].Server = "a", "b"
	p.SetTargets(start, list)
	p.SetRateLimit(start, "a", CauseNamed, &limit)
	_, limited := p.SendCapacity(start, at(time.Second), "m", nil)
	assert.Assert(t, !limited, "b has no limit")
	p.SetRateLimit(start, "b", CauseNamed, &limit)
	capacity, limited := p.SendCapacity(start, at(time.Second), "m", nil)
	assert.Assert(t, limited)
	assert.Equal(t, capacity, 6)
	p.RecordStart(start, "x", "g000", 1)
	p.RecordStart(start, "y", "g001", 1)
	capacity, _ = p.SendCapacity(start, at(time.Second), "m", nil)
	assert.Equal(t, capacity, 4)
	capacity, _ = p.SendCapacity(start, at(100*time.Millisecond), "m", nil)
	assert.Equal(t, capacity, 0)
}
