package announcement

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One engine's agent announces in a loop without a pause. The limiter must slow it and
// must admit every announcement of a well-behaved backend server.
func TestFloodingBackendServerIsLimitedAlone(t *testing.T) {
	p := newAnnounceLimiter()
	flooding, ordinary := 0, 0
	at := time.Unix(0, 0)
	for i := range 10_000 {
		now := at.Add(time.Duration(i) * time.Millisecond)
		if p.allow(now, "flooding") == nil {
			flooding++
		}
		if i%400 == 0 {
			assert.Assert(t, p.allow(now, "ordinary") == nil)
			ordinary++
		}
	}
	assert.Equal(t, flooding, 200)
	assert.Equal(t, ordinary, 25)
}

func TestInventedIDsAreBounded(t *testing.T) {
	p := newAnnounceLimiter()
	allowed := 0
	for i := range 5 * maxTracked {
		if p.allow(time.Unix(int64(i/maxTracked), 0), "invented-"+strconv.Itoa(i)) == nil {
			allowed++
		}
	}
	assert.Assert(t, allowed <= 5*maxPerSecond)
	assert.Assert(t, len(p.last) <= maxTracked)
}
