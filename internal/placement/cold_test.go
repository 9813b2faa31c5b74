package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// These values define what a cold backend server accepts in any second: coldRate times
// coldFactor, plus coldSlack.
const (
	coldRate   = 26.0
	coldFactor = 1.5
	coldSlack  = 5
)

// coldPool is a set of entries that send to ten backend servers, five of which are cold from
// the start.
type coldPool struct {
	random  *rand.Rand
	pickers []*Picker
	// unaware is the number of entries that do not receive the limits.
	unaware  int
	arrivals map[string][]time.Duration
	sent     int
}

func newColdPool(entries, unaware int) *coldPool {
	w := &coldPool{random: rand.New(rand.NewPCG(uint64(entries), 7)), unaware: unaware, arrivals: make(map[string][]time.Duration)}
	var ids []string
	for i := range entries {
		ids = append(ids, fmt.Sprint("entry-", i))
	}
	list := groups(10)
	for i := range list {
		list[i].Server, list[i].Capacity = fmt.Sprint("s", i), 1<<30
	}
	limit := ColdLimit(coldRate, coldRate*coldFactor+coldSlack)
	for i, id := range ids {
		p := New(Options{Seed: uint64(i), Entry: id, DataCentre: "dc"})
		p.SetEntries(ids)
		p.SetTargets(start, list)
		for _, target := range list[:5] {
			if i >= unaware {
				p.SetRateLimit(start, target.Server, CauseCold, &limit)
			}
		}
		w.pickers = append(w.pickers, p)
	}
	return w
}

// run makes all entries together send perSecond requests a second until end.
func (w *coldPool) run(perSecond float64, end time.Duration) {
	next := time.Duration(0)
	for n := 0; next < end; n++ {
		p, now := w.pickers[w.random.IntN(len(w.pickers))], at(next)
		if c, ok := p.Pick(now, Request{Model: "m", Tokens: 100}); ok {
			p.RecordStart(now, fmt.Sprint(n), c.ID, 100)
			p.RecordFinish(now, fmt.Sprint(n), Result{OK: true, Duration: time.Millisecond})
			w.arrivals[c.ID] = append(w.arrivals[c.ID], next)
			w.sent++
		}
		next += time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	}
}

// maxInSecond returns the greatest number of requests that a target received within a second.
func (w *coldPool) maxInSecond(target string) int {
	most, from := 0, 0
	arrivals := w.arrivals[target]
	for i := range arrivals {
		for arrivals[i]-arrivals[from] >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Guards against entries that together send a cold backend server more than it accepts,
// whatever the number of entries and the request rate.
func TestEntriesDoNotOverloadColdBackendServers(t *testing.T) {
	allowed := int(coldRate*coldFactor + coldSlack)
	for _, entries := range []int{1, 6, 89, 300, 986, 2000} {
		for _, load := range []float64{260, 2600} {
			w := newColdPool(entries, 0)
			w.run(load, 8*time.Second)
			for i := range 5 {
				most := w.maxInSecond(fmt.Sprintf("g%03d", i))
				assert.Assert(t, most <= allowed, "%d entries, %g a second: %d at a cold backend server, allowed %d", entries, load, most, allowed)
			}
		}
	}
}

// Guards against a limit that leaves no margin for entries that have not received it.
func TestColdLimitToleratesUnawareEntries(t *testing.T) {
	const entries = 89
	allowed := int(coldRate*coldFactor + coldSlack)
	w := newColdPool(entries, entries/20)
	w.run(260, 8*time.Second)
	for i := range 5 {
		most := w.maxInSecond(fmt.Sprintf("g%03d", i))
		assert.Assert(t, most <= allowed, "%d at a cold backend server, allowed %d", most, allowed)
	}
}

// Guards against cold backend servers that stand idle although entries have an unused share.
func TestColdBackendServersAreUsed(t *testing.T) {
	for entries, least := range map[int]float64{6: 0.5, 89: 0.5} {
		w := newColdPool(entries, 0)
		for _, p := range w.pickers {
			for i := 5; i < 10; i++ {
				p.RecordStart(start, fmt.Sprint("standing-", i), fmt.Sprintf("g%03d", i), 1<<20)
			}
		}
		w.run(520, 8*time.Second)
		for i := range 5 {
			used := float64(len(w.arrivals[fmt.Sprintf("g%03d", i)])) / 8 / coldRate
			assert.Assert(t, used > least, "%d entries use %.2f of the rate", entries, used)
		}
	}
}

// Guards against a limit that is removed together with a limit of another cause on the same
// backend server.
func TestLimitsOfTwoCausesApplyTogether(t *testing.T) {
	p := newPicker(0)
	list := groups(1)
	list[0].Server = "s"
	p.SetTargets(start, list)
	named, cold := NamedLimit(1), ColdLimit(10, 20)
	p.SetRateLimit(start, "s", CauseNamed, &named)
	both := p.SetRateLimit(start, "s", CauseCold, &cold)
	assert.Equal(t, both, 1.0)
	assert.Equal(t, p.SetRateLimit(start, "s", CauseNamed, nil), 10.0)
	assert.Equal(t, p.SetRateLimit(start, "s", CauseCold, nil), 0.0)
	assert.Assert(t, !p.IsBlocked(start, "g000"))
}

// Guards against requests that are refused at once while all backend servers are cold, a state
// that ends within seconds.
func TestTemporaryLimitsDoNotBoundCapacity(t *testing.T) {
	p := newPicker(0)
	list := groups(1)
	list[0].Server = "s"
	p.SetTargets(start, list)
	cold := ColdLimit(1, 2)
	p.SetRateLimit(start, "s", CauseCold, &cold)
	p.RecordStart(start, "a", "g000", 1)
	_, limited := p.SendCapacity(start, at(time.Second), "m", nil)
	assert.Assert(t, !limited)
	_, isTemporary, throttled := p.BlockedUntil(start, Request{Model: "m"})
	assert.Assert(t, throttled && isTemporary)
}
