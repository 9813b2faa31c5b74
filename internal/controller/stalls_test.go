package controller

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A link loses packets for five seconds. Of 80 entries, each with a stream on
// the group, some find it silent at any moment, each for a fifth of a second.
// The group works and must not be broken.
func TestLostPacketsAreNoStall(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	s, g := NewStalls(), StalledGroup{"g", 1}
	for step := range 100 {
		now := simStart.Add(time.Duration(step) * 50 * time.Millisecond)
		if r.IntN(10) == 0 {
			s.Note(now, fmt.Sprint("entry-", r.IntN(80)), g, 270*time.Millisecond)
		}
		_, stalled := s.Stalled(now, 80)[g]
		assert.Assert(t, !stalled, "at step %d", step)
	}
}

// A member dies. All entries with streams on the group find it silent within
// one pass, and it is confirmed at the third of them.
func TestAStallIsConfirmedWhenEntriesSeeItTogether(t *testing.T) {
	s, g := NewStalls(), StalledGroup{"g", 1}
	for i, want := range []bool{false, false, true} {
		now := simStart.Add(time.Duration(i) * 40 * time.Millisecond)
		s.Note(now, fmt.Sprint("entry-", i), g, 240*time.Millisecond)
		_, stalled := s.Stalled(now, 80)[g]
		assert.Equal(t, stalled, want, "after %d", i+1)
	}
	_, other := s.Stalled(simStart, 80)[StalledGroup{"g", 2}]
	assert.Assert(t, !other, "another epoch is another group")
}

// A group that only one entry uses loses a member. Nobody else can say so; it
// is confirmed once it has lasted.
func TestAStallThatOneEntrySeesIsConfirmedWhenItLasts(t *testing.T) {
	s, g := NewStalls(), StalledGroup{"g", 1}
	for _, c := range []struct {
		silent time.Duration
		want   bool
	}{{240 * time.Millisecond, false}, {time.Second, false}, {2 * time.Second, true}} {
		now := simStart.Add(c.silent)
		s.Note(now, "entry", g, c.silent)
		_, stalled := s.Stalled(now, 80)[g]
		assert.Equal(t, stalled, c.want, "%s", c.silent)
	}
	s.Note(simStart, "only", g, 240*time.Millisecond)
	_, stalled := s.Stalled(simStart, 1)[g]
	assert.Assert(t, stalled, "with one entry in all, its word is all there is")
}

func TestReportsAreForgotten(t *testing.T) {
	s := NewStalls()
	s.Note(simStart, "entry", StalledGroup{"g", 1}, time.Second)
	s.Stalled(simStart.Add(2*stallMemory), 9)
	assert.Equal(t, len(s.reports), 0)
}
