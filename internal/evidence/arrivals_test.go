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
