package loadtest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outcome plays the named situation with one fixed seed under the policy in use
// and under least outstanding, the better baseline for most.
func outcome(t *testing.T, name string) (ours, baseline *result) {
	t.Helper()
	return outcomes(t, name, 1)
}

// outcomes plays with several seeds, for figures that hang on a few requests.
func outcomes(t *testing.T, name string, seeds int) (ours, baseline *result) {
	t.Helper()
	for _, s := range scenarios() {
		if s.name == name {
			_, rate := capacity(s.mix)
			s.seconds = 60
			return runSeeds(s, policies[0], seeds, rate), runSeeds(s, policies[2], seeds, rate)
		}
	}
	t.Fatalf("no situation %q", name)
	return nil, nil
}

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	assert.Assert(t, got >= want, "%s: %s, want at least %s", what, percent(got), percent(want))
}

// Twice as much is asked for as can be done. Served in the order they came, all
// requests wait until nearly all are too late; the juniors' lookups must not.
func TestSaturationServesTheTopClass(t *testing.T) {
	ours, baseline := outcome(t, "saturation")
	atLeast(t, "lookups in time", ours.classes[0].part(), 0.99)
	atLeast(t, "useful engine time", 1-ours.wasted.Seconds()/ours.spent.Seconds(), 0.95)
	assert.Assert(t, ours.classes[2].inTime > 0, "drafts starve")
	assert.Assert(t, baseline.classes[0].part() < 0.5)
}

// Arrivals double for five seconds, then fall. Nobody misses a deadline for it.
func TestBurstsAreAbsorbed(t *testing.T) {
	ours, _ := outcome(t, "bursts")
	atLeast(t, "in time", ours.all.part(), 0.99)
}

// One document draws 40% of the lookups, one workspace sends 70% of all.
func TestSkewedDemandIsSpread(t *testing.T) {
	ours, _ := outcome(t, "skew")
	atLeast(t, "in time", ours.all.part(), 0.99)
}

// One group of ten turns four times slower while it stays alive. Its callers
// would wait four times as long; it has to be found and left alone.
func TestSlowGroupCostsLittle(t *testing.T) {
	ours, _ := outcomes(t, "slow-one", 5)
	usual, _ := outcomes(t, "steady", 5)
	atLeast(t, "in time", ours.all.part(), 0.99)
	slow, fast := ours.all.quantile(0.99), usual.all.quantile(0.99)
	assert.Assert(t, 10*slow < 13*fast, "99th percentile %v, without the slow group %v", slow, fast)
}

// Drafts are most of the work. Lookups must not wait behind their prompts.
func TestShortWorkPassesLongWork(t *testing.T) {
	ours, _ := outcome(t, "long-short")
	atLeast(t, "in time", ours.all.part(), 0.99)
	assert.Assert(t, ours.classes[0].quantile(0.99) < 1500*time.Millisecond)
}

// Every group is gone for five seconds and callers send again without end, half
// of them without regard to Retry-After. Their resends must not keep the load
// up after the groups are back.
func TestResendStormEnds(t *testing.T) {
	ours, baseline := outcome(t, "storm")
	end := 60 * time.Second
	assert.Assert(t, ours.classes[0].recovery(end) <= 5*time.Second, "back after %v", ours.classes[0].recovery(end))
	assert.Assert(t, ours.all.part() > baseline.all.part())
}

// Three groups of ten go dark at a peak; the other seven are not enough for
// all. The top class must not notice.
func TestDarkDomainAtPeak(t *testing.T) {
	ours, baseline := outcome(t, "dark-domain")
	atLeast(t, "lookups in time", ours.classes[0].part(), 0.98)
	assert.Assert(t, ours.all.part() > baseline.all.part())
}

// The same seed gives the same outcome, or no figure of the table can be
// looked into.
func TestRunsRepeat(t *testing.T) {
	first, _ := outcome(t, "storm")
	second, _ := outcome(t, "storm")
	assert.Equal(t, first.all.inTime, second.all.inTime)
	assert.Equal(t, first.spent, second.spent)
}
