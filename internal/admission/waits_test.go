package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// given is how long a caller that asks first waits: between 5.1 and 6 s.
func given(r *rand.Rand) time.Duration {
	return 5100*time.Millisecond + time.Duration(r.Int64N(int64(900*time.Millisecond)))
}

// All processes lose power for a second and a half, and later tries of that time come
// together with newcomers. Taken for new, they fill the groups for the time of an answer,
// and newcomers are late behind them. Most later tries must be known as late, and
// hardly any newcomer, also by an entry that has just started and learned from others.
func TestLaterTriesAreToldFromNewcomers(t *testing.T) {
	const objective = 250 * time.Millisecond
	r := rand.New(rand.NewPCG(7, 11))
	now := time.Unix(1_700_000_000, 0)
	before := NewWaits()
	for range 200 {
		before.Asked(now, "route", given(r))
		now = now.Add(100 * time.Millisecond)
	}
	least, ok := before.Share("route", 0)
	assert.Assert(t, ok)

	p := NewWaits()
	p.Learn("route", least)
	late, early := 0, 0
	for range 300 {
		first := time.Duration(r.Int64N(int64(1500 * time.Millisecond)))
		now = now.Add(5 * time.Millisecond)
		if p.Asked(now, "route", given(r)-time.Second-first) > objective {
			late++
		}
		if p.Asked(now, "route", given(r)) > objective {
			early++
		}
	}
	assert.Assert(t, late >= 240, "%d of 300 later tries are known", late)
	assert.Assert(t, early <= 6, "%d of 300 newcomers are taken for late", early)
}

// A program gives its requests half the time that others give, from the start. An
// entry that sees it alone must not take it for one that tries again.
func TestCallersThatGiveLessAreNotLate(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 5))
	p := NewWaits()
	late := 0
	now := time.Unix(1_700_000_000, 0)
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		if p.Asked(now, "route", given(r)/2) > 100*time.Millisecond {
			late++
		}
	}
	assert.Assert(t, late <= 4, "%d of 400", late)
}

// Two kinds of callers use one route, and one in four gives half the time. They are more
// than the part that may be short, so nobody is taken for late.
func TestAFourthThatGivesLessIsNotLate(t *testing.T) {
	r := rand.New(rand.NewPCG(13, 5))
	p := NewWaits()
	late := 0
	now := time.Unix(1_700_000_000, 0)
	for n := range 4000 {
		now = now.Add(100 * time.Millisecond)
		left := given(r)
		if n%4 == 0 {
			left /= 2
		}
		if before := p.Asked(now, "route", left); n >= 3600 && before > 250*time.Millisecond {
			late++
		}
	}
	assert.Assert(t, late <= 8, "%d of 400", late)
}

// Little is known of a route yet, or what others hold is about the same.
func TestWhatIsLearnedIsSharedOnceItIsKnownAndDiffers(t *testing.T) {
	p := NewWaits()
	for range shareFrom - 1 {
		p.Asked(time.Time{}, "route", 5*time.Second)
	}
	_, ok := p.Share("route", 0)
	assert.Assert(t, !ok, "too little seen")
	p.Asked(time.Time{}, "route", 5*time.Second)
	least, ok := p.Share("route", 0)
	assert.Assert(t, ok)
	_, ok = p.Share("route", least)
	assert.Assert(t, !ok)
	_, ok = p.Share("route", least*8/10)
	assert.Assert(t, ok)
}
