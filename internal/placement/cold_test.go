package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What cold backend servers of these tests bear in any second: a rate, a factor and a slack.
const (
	coldRate   = 26.0
	coldFactor = 1.5
	coldSlack  = 5
)

// coldPool are entries before ten backend servers, which are cold from the start.
type coldPool struct {
	random  *rand.Rand
	pickers []*Picker
	// unaware are the entries that were not told.
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
				p.LimitRate(start, target.Server, Cold, &limit)
			}
		}
		w.pickers = append(w.pickers, p)
	}
	return w
}

// run lets all entries together send perSecond requests a second.
func (w *coldPool) run(perSecond float64, end time.Duration) {
	next := time.Duration(0)
	for n := 0; next < end; n++ {
		p, now := w.pickers[w.random.IntN(len(w.pickers))], at(next)
		if c, ok := p.Pick(now, Request{Model: "m", Tokens: 100}); ok {
			p.Started(now, fmt.Sprint(n), c.ID, 100)
			p.Finished(now, fmt.Sprint(n), Result{OK: true, Took: time.Millisecond})
			w.arrivals[c.ID] = append(w.arrivals[c.ID], next)
			w.sent++
		}
		next += time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	}
}

// most returns the most requests that a target got within a second.
func (w *coldPool) most(target string) int {
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

// Guards against entries that together send a cold backend server more than it bears, however
// many they are and whatever they are asked for.
func TestEntriesSpareColdBackendServers(t *testing.T) {
	allowed := int(coldRate*coldFactor + coldSlack)
	for _, entries := range []int{1, 6, 89, 300, 986, 2000} {
		for _, load := range []float64{260, 2600} {
			w := newColdPool(entries, 0)
			w.run(load, 8*time.Second)
			for i := range 5 {
				most := w.most(fmt.Sprintf("g%03d", i))
				assert.Assert(t, most <= allowed, "%d entries, %g a second: %d at a cold backend server, allowed %d", entries, load, most, allowed)
			}
		}
	}
}

// Guards against a limit that leaves no room for the entries which were not told of it.
func TestAFewEntriesMayNotKnowThatABackendServerIsCold(t *testing.T) {
	const entries = 89
	allowed := int(coldRate*coldFactor + coldSlack)
	w := newColdPool(entries, entries/20)
	w.run(260, 8*time.Second)
	for i := range 5 {
		most := w.most(fmt.Sprintf("g%03d", i))
		assert.Assert(t, most <= allowed, "%d at a cold backend server, allowed %d", most, allowed)
	}
}

// Guards against cold backend servers that stand idle although their share is free.
func TestColdBackendServersAreUsed(t *testing.T) {
	for entries, least := range map[int]float64{6: 0.5, 89: 0.5} {
		w := newColdPool(entries, 0)
		for _, p := range w.pickers {
			for i := 5; i < 10; i++ {
				p.Started(start, fmt.Sprint("standing-", i), fmt.Sprintf("g%03d", i), 1<<20)
			}
		}
		w.run(520, 8*time.Second)
		for i := range 5 {
			used := float64(len(w.arrivals[fmt.Sprintf("g%03d", i)])) / 8 / coldRate
			assert.Assert(t, used > least, "%d entries use %.2f of the rate", entries, used)
		}
	}
}

// Guards against a limit that ends with another of the same backend server.
func TestLimitsOfTwoCausesHoldTogether(t *testing.T) {
	p := picker(0)
	list := groups(1)
	list[0].Server = "s"
	p.SetTargets(start, list)
	named, cold := NamedLimit(1), ColdLimit(10, 20)
	p.LimitRate(start, "s", Named, &named)
	both := p.LimitRate(start, "s", Cold, &cold)
	assert.Equal(t, both, 1.0)
	assert.Equal(t, p.LimitRate(start, "s", Named, nil), 10.0)
	assert.Equal(t, p.LimitRate(start, "s", Cold, nil), 0.0)
	assert.Assert(t, !p.Shut(start, "g000"))
}

// Guards against requests that are refused at once while all backend servers are cold, which
// passes within seconds.
func TestColdBackendServersBoundNoPlaces(t *testing.T) {
	p := picker(0)
	list := groups(1)
	list[0].Server = "s"
	p.SetTargets(start, list)
	cold := ColdLimit(1, 2)
	p.LimitRate(start, "s", Cold, &cold)
	p.Started(start, "a", "g000", 1)
	_, limited := p.Places(start, at(time.Second), "m", nil)
	assert.Assert(t, !limited)
	_, passes, throttled := p.Throttled(start, Request{Model: "m"})
	assert.Assert(t, throttled && passes)
}
