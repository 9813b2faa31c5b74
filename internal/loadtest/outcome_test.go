package loadtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outcome runs the named scenario with one fixed seed under the tested policy and under least
// outstanding, the better baseline in most scenarios.
func outcome(t *testing.T, name string) (tested, baseline *result) {
	t.Helper()
	return outcomes(t, name, 1)
}

// outcomes runs the scenario with several seeds, for figures that depend on a few requests.
func outcomes(t *testing.T, name string, seeds int) (tested, baseline *result) {
	t.Helper()
	for _, s := range scenarios() {
		if s.name == name {
			_, rate := capacity(s.mix)
			s.seconds = 60
			return runSeeds(s, policies[0], seeds, rate), runSeeds(s, policies[2], seeds, rate)
		}
	}
	t.Fatalf("no scenario %q", name)
	return nil, nil
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	assert.Assert(t, got >= want, "%s: %s, want at least %s", what, percent(got), percent(want))
}

// The load is twice the capacity. Served in arrival order, all requests would wait until nearly
// all are too late. The lookups must not be late.
func TestSaturationServesTheTopClass(t *testing.T) {
	tested, baseline := outcome(t, "saturation")
	atLeast(t, "lookups in time", tested.classes[0].inTimeFraction(), 0.99)
	atLeast(t, "useful engine time", 1-tested.wasted.Seconds()/tested.spent.Seconds(), 0.95)
	assert.Assert(t, tested.classes[2].inTime > 0, "no draft was answered in time")
	assert.Assert(t, baseline.classes[0].inTimeFraction() < 0.5)
}

// Arrivals rise to twice the capacity for five seconds, then fall. Nearly all requests must still
// be in time.
func TestBurstsAreAbsorbed(t *testing.T) {
	tested, _ := outcome(t, "bursts")
	atLeast(t, "in time", tested.all.inTimeFraction(), 0.99)
}

// One document draws 40% of the lookups, and one workspace sends 70% of all requests.
func TestSkewedDemandIsSpread(t *testing.T) {
	tested, _ := outcome(t, "skew")
	atLeast(t, "in time", tested.all.inTimeFraction(), 0.99)
}

// One group of ten becomes four times slower but stays alive. Its callers would wait four times
// as long, so the picker must detect the slow group and avoid it.
func TestSlowGroupCostsLittle(t *testing.T) {
	tested, _ := outcomes(t, "slow-one", 5)
	reference, _ := outcomes(t, "steady", 5)
	atLeast(t, "in time", tested.all.inTimeFraction(), 0.99)
	slowP99, referenceP99 := tested.all.quantile(0.99), reference.all.quantile(0.99)
	assert.Assert(t, 10*slowP99 < 13*referenceP99, "99th percentile %v, without the slow group %v", slowP99, referenceP99)
}

// Drafts are most of the work. Lookups must not wait behind the long prompts of drafts.
func TestShortWorkPassesLongWork(t *testing.T) {
	tested, _ := outcome(t, "long-short")
	atLeast(t, "in time", tested.all.inTimeFraction(), 0.99)
	assert.Assert(t, tested.classes[0].quantile(0.99) < 1500*time.Millisecond)
}

// Every group is lost for five seconds, and callers resend without end, half of them without
// regard to Retry-After. Their resends must not sustain the overload after the groups have
// returned.
func TestResendStormEnds(t *testing.T) {
	tested, baseline := outcome(t, "storm")
	end := 60 * time.Second
	assert.Assert(t, tested.classes[0].recovery(end) <= 5*time.Second, "recovered after %v", tested.classes[0].recovery(end))
	assert.Assert(t, tested.all.inTimeFraction() > baseline.all.inTimeFraction())
}

// Three groups of ten become unresponsive at a peak; the other seven have too little capacity for
// all requests. The top class must not be affected.
func TestUnresponsiveDomainAtPeak(t *testing.T) {
	tested, baseline := outcome(t, "dark-domain")
	atLeast(t, "lookups in time", tested.classes[0].inTimeFraction(), 0.98)
	assert.Assert(t, tested.all.inTimeFraction() > baseline.all.inTimeFraction())
}

// The same seed must give the same outcome, or the figures of the table could not be
// investigated.
func TestRunsAreDeterministic(t *testing.T) {
	first, _ := outcome(t, "storm")
	second, _ := outcome(t, "storm")
	assert.Equal(t, first.all.inTime, second.all.inTime)
	assert.Equal(t, first.spent, second.spent)
}
