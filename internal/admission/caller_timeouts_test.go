package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callerTimeout draws the timeout of a caller's first try: between 5.1 and 6 s.
func callerTimeout(r *rand.Rand) time.Duration {
	return 5100*time.Millisecond + time.Duration(r.Int64N(int64(900*time.Millisecond)))
}

// All processes lose power for a second and a half, and the retries of that time arrive together
// with new requests. Taken for new, the retries would fill the groups for the time of an answer,
// and new requests would be late behind them. Most retries must be recognised, and hardly any new
// request may be taken for a retry, also by an entry that has just started with the estimate of
// others.
func TestRetriesAreRecognisedAmongNewRequests(t *testing.T) {
	const objective = 250 * time.Millisecond
	r := rand.New(rand.NewPCG(7, 11))
	now := time.Unix(1_700_000_000, 0)
	before := NewCallerTimeouts()
	for range 200 {
		before.Observe(now, "route", callerTimeout(r))
		now = now.Add(100 * time.Millisecond)
	}
	least, ok := before.EstimateToShare("route", 0)
	assert.Assert(t, ok)

	p := NewCallerTimeouts()
	p.Adopt("route", least)
	late, early := 0, 0
	for range 300 {
		first := time.Duration(r.Int64N(int64(1500 * time.Millisecond)))
		now = now.Add(5 * time.Millisecond)
		if p.Observe(now, "route", callerTimeout(r)-time.Second-first) > objective {
			late++
		}
		if p.Observe(now, "route", callerTimeout(r)) > objective {
			early++
		}
	}
	assert.Assert(t, late >= 240, "%d of 300 retries are recognised", late)
	assert.Assert(t, early <= 6, "%d of 300 new requests are taken for retries", early)
}

// A program sets half the timeout of other callers, from the start. An entry that sees only this
// program must not take its requests for retries.
func TestShortTimeoutsAreNotTakenForRetries(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 5))
	p := NewCallerTimeouts()
	late := 0
	now := time.Unix(1_700_000_000, 0)
	for range 400 {
		now = now.Add(100 * time.Millisecond)
		if p.Observe(now, "route", callerTimeout(r)/2) > 100*time.Millisecond {
			late++
		}
	}
	assert.Assert(t, late <= 4, "%d of 400", late)
}

// Two kinds of callers use one route, and one in four sets half the timeout. A fourth is more
// than the fraction that may be below the estimate, so no request may be taken for a retry.
func TestMixedTimeoutsAreNotTakenForRetries(t *testing.T) {
	r := rand.New(rand.NewPCG(13, 5))
	p := NewCallerTimeouts()
	late := 0
	now := time.Unix(1_700_000_000, 0)
	for n := range 4000 {
		now = now.Add(100 * time.Millisecond)
		left := callerTimeout(r)
		if n%4 == 0 {
			left /= 2
		}
		if before := p.Observe(now, "route", left); n >= 3600 && before > 250*time.Millisecond {
			late++
		}
	}
	assert.Assert(t, late <= 8, "%d of 400", late)
}

// An estimate must not be shared while it is based on few requests, or while it is close to the
// estimate that other entries already have.
func TestEstimateIsSharedOnceKnownAndDifferent(t *testing.T) {
	p := NewCallerTimeouts()
	for range shareMinSamples - 1 {
		p.Observe(time.Time{}, "route", 5*time.Second)
	}
	_, ok := p.EstimateToShare("route", 0)
	assert.Assert(t, !ok, "too few samples")
	p.Observe(time.Time{}, "route", 5*time.Second)
	least, ok := p.EstimateToShare("route", 0)
	assert.Assert(t, ok)
	_, ok = p.EstimateToShare("route", least)
	assert.Assert(t, !ok)
	_, ok = p.EstimateToShare("route", least*8/10)
	assert.Assert(t, ok)
}
