package evidence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
)

// Guards against announcements that are counted for another time than that of their arrival.
func TestDirectArrivalsAreCountedByTime(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	table := NewTable("self", 1)
	for i := range 100 {
		table.Record(start.Add(time.Duration(i)*20*time.Millisecond), "self", backend.Announcement{Kind: backend.KindEngine, ID: "e", Incarnation: "a", Sequence: uint64(i)})
	}
	now := start.Add(2 * time.Second)
	assert.Equal(t, table.DirectArrivals(now, time.Second, 0), 50)
	assert.Equal(t, table.DirectArrivals(now, 2*time.Second, time.Second), 50)
	now = start.Add(3 * time.Second)
	assert.Equal(t, table.DirectArrivals(now, time.Second, 0), 0)
	assert.Equal(t, table.DirectArrivals(now, 2*time.Second, time.Second), 50)
	assert.Equal(t, table.DirectArrivals(now.Add(time.Minute), 3*time.Second, 0), 0)
}

// Guards against announcements that count as arriving, although none arrives, once the wall clock has been set back.
func TestNoAnnouncementArrivesAfterTheClockIsSetBack(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	table := NewTable("self", 1)
	for i := range 500 {
		table.Record(start.Add(time.Duration(i)*20*time.Millisecond), "self", backend.Announcement{Kind: backend.KindEngine, ID: "e", Incarnation: "a", Sequence: uint64(i)})
	}
	setBack := start.Add(5 * time.Second)
	assert.Equal(t, table.DirectArrivals(setBack.Add(time.Second), 500*time.Millisecond, 0), 0, "the last announcement arrived a second ago")
}
