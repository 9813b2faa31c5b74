package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// Guards against a backend server that never gets requests again, because the entries with a
// share of its rate limit have no requests or were removed.
func TestAnUnconfirmedRateLimitEnds(t *testing.T) {
	ages, start := make(rateLimitAges), time.Now()
	board := func(heardMillis int64) *blackboard.Board {
		return &blackboard.Board{RateLimits: map[string]blackboard.RateLimit{"i": {PerSecond: 2, ReceivedMillis: heardMillis}}}
	}
	assert.Equal(t, len(ages.unconfirmed(start, board(1))), 0)
	assert.Equal(t, len(ages.unconfirmed(start.Add(unconfirmedLimitLifetime), board(1))), 0)
	assert.Equal(t, len(ages.unconfirmed(start.Add(unconfirmedLimitLifetime+time.Second), board(9000))), 0, "confirmed")
	ended := ages.unconfirmed(start.Add(2*unconfirmedLimitLifetime+2*time.Second), board(9000))
	assert.DeepEqual(t, ended, []blackboard.Command{&blackboard.RecordRateLimit{Incarnation: "i"}})
	ages.unconfirmed(start, blackboard.New())
	assert.Equal(t, len(ages), 0)
}
