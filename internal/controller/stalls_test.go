package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// threeDataCentres counts 80 entries by data centre.
var threeDataCentres = map[string]int{"dc-0": 27, "dc-1": 27, "dc-2": 26}

// Guards against healthy groups that are broken, with all their streams, for one bad link. The
// links of one data centre lose packets for five seconds. Each of its entries has a stream or two
// on each of 33 groups and now and then finds one of them silent, some fifty times a second in
// total.
func TestABadLinkOfOneDataCentreBreaksNoGroup(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	s := NewStallReports()
	for step := range 250 {
		now := simStart.Add(time.Duration(step) * 20 * time.Millisecond)
		for range 1 + r.IntN(2) {
			g := GroupEpoch{fmt.Sprint("g", r.IntN(33)), 1}
			s.Record(now, fmt.Sprint("entry-", r.IntN(27)), "dc-2", g, 235*time.Millisecond)
		}
		assert.Equal(t, len(s.Confirmed(now, threeDataCentres)), 0, "at step %d", step)
	}
}

// All callers are in one data centre, and a member of a group dies. No entry of another data
// centre can report it; many entries of this one must suffice.
func TestManyReportersOfOneDataCentreConfirmAStall(t *testing.T) {
	s, g := NewStallReports(), GroupEpoch{"g", 1}
	for i := range singleDataCentreReporters {
		_, early := s.Confirmed(simStart, threeDataCentres)[g]
		assert.Assert(t, !early, "after %d", i)
		s.Record(simStart, fmt.Sprint("entry-", i), "dc-2", g, 240*time.Millisecond)
	}
	_, stalled := s.Confirmed(simStart, threeDataCentres)[g]
	assert.Assert(t, stalled)
}

// Guards against a healthy group that is broken for lost packets. A link loses packets for five
// seconds. Of 80 entries, each with a stream on the group, some find it silent at any moment,
// each for a fifth of a second.
func TestLostPacketsAreNoStall(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s, g := NewStallReports(), GroupEpoch{"g", 1}
	for step := range 100 {
		now := simStart.Add(time.Duration(step) * 50 * time.Millisecond)
		if r.IntN(10) == 0 {
			entry := r.IntN(80)
			s.Record(now, fmt.Sprint("entry-", entry), fmt.Sprint("dc-", entry%3), g, 270*time.Millisecond)
		}
		_, stalled := s.Confirmed(now, threeDataCentres)[g]
		assert.Assert(t, !stalled, "at step %d", step)
	}
}

// A member dies. All entries with streams on the group find it silent within one pass, and the
// third report confirms the stall.
func TestAStallIsConfirmedWhenEntriesReportItTogether(t *testing.T) {
	s, g := NewStallReports(), GroupEpoch{"g", 1}
	for i, want := range []bool{false, false, true} {
		now := simStart.Add(time.Duration(i) * 40 * time.Millisecond)
		s.Record(now, fmt.Sprint("entry-", i), fmt.Sprint("dc-", i%2), g, 240*time.Millisecond)
		_, stalled := s.Confirmed(now, threeDataCentres)[g]
		assert.Equal(t, stalled, want, "after %d", i+1)
	}
	_, other := s.Confirmed(simStart, threeDataCentres)[GroupEpoch{"g", 2}]
	assert.Assert(t, !other, "another epoch is another group")
}

// A group that only one entry uses loses a member. No other entry can report it, so the stall
// must be confirmed once it has lasted.
func TestAStallThatOneEntryReportsIsConfirmedWhenItLasts(t *testing.T) {
	s, g := NewStallReports(), GroupEpoch{"g", 1}
	for _, c := range []struct {
		silent time.Duration
		want   bool
	}{{240 * time.Millisecond, false}, {time.Second, false}, {2 * time.Second, true}} {
		now := simStart.Add(c.silent)
		s.Record(now, "entry", "dc-0", g, c.silent)
		_, stalled := s.Confirmed(now, threeDataCentres)[g]
		assert.Equal(t, stalled, c.want, "%s", c.silent)
	}
	s.Record(simStart, "only", "dc-0", g, 240*time.Millisecond)
	_, stalled := s.Confirmed(simStart, map[string]int{"dc-0": 1})[g]
	assert.Assert(t, stalled, "the report of the only entry suffices")
}

func TestOldStallReportsAreRemoved(t *testing.T) {
	s := NewStallReports()
	s.Record(simStart, "entry", "dc-0", GroupEpoch{"g", 1}, time.Second)
	s.Confirmed(simStart.Add(2*stallReportTTL), threeDataCentres)
	assert.Equal(t, len(s.reports), 0)
}
