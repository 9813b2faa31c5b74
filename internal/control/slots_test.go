package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against bursts of replies. A pool starts, and the board changes every 50 ms for some
// seconds while 195 entries watch. With a reply to each entry for each change, the leader sent
// 3,900 replies a second and lost the leadership five times. The replies must stay within the
// leader's capacity, be spread evenly, and still reach each entry within one slot period.
func TestAnswersToManyWatchersAreSpreadEvenly(t *testing.T) {
	const entries, seconds = 195, 5
	start := time.Unix(1_700_000_000, 0)
	perTenth := make(map[int]int)
	total := 0
	for e := range entries {
		id := fmt.Sprint("entry-", e)
		for at := start; at.Before(start.Add(seconds * time.Second)); {
			wait := untilSlot(id, entries, at)
			assert.Assert(t, wait > 0 && wait <= maxSlotPeriod, "entry %s waits %s", id, wait)
			at = at.Add(wait)
			perTenth[int(at.Sub(start)/(100*time.Millisecond))]++
			total++
		}
	}
	assert.Assert(t, total <= (answersPerSecond+entries)*seconds, "%d answers in %d s", total, seconds)
	for tenth, answers := range perTenth {
		assert.Assert(t, answers <= answersPerSecond/5, "%d answers in tenth %d", answers, tenth)
	}
}

// Guards against slots that delay replies in a small deployment. The few entries there must
// learn of a broken group almost at once.
func TestFewWatchersAreAnsweredAlmostAtOnce(t *testing.T) {
	for at := range 100 {
		now := time.Unix(1_700_000_000, int64(at)*1_234_567)
		assert.Assert(t, untilSlot("entry-1", 9, now) <= 12*time.Millisecond)
	}
	assert.Equal(t, untilSlot("entry-1", 0, time.Unix(1_700_000_000, 0)), time.Duration(0))
}
