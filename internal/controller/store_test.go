package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mostWithin returns the most times that lie within any span of a length.
func mostWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < span {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// A pool of 365 VMs starts, and its leader can send sixty orders a second. Callers come
// when a third of the VMs have theirs. The groups were allowed to load when the store was
// free; the rest of their orders went out as the leader found time, and 119 loads began
// within five seconds. From the callers' coming on the rate must hold, orders on their way
// included, and groups must still come to serve one after the other.
func TestLoadsKeepToTheStoreOnceCallersHaveCome(t *testing.T) {
	w := newLargeWorld(t, 5, &busyProcessor{each: 16 * time.Millisecond})
	w.busyLoad = 12 * time.Second
	w.storeRate, w.storeAtOnce = 4.5, 6
	w.configure(3, largeModels)
	w.callersAt = w.now.Add(simBeat + 3*time.Second)
	w.run(20 * time.Second)
	// A tenth and three loads over the rate is what such a store bears.
	ceiling := int(w.storeRate*storeWindow.Seconds()*1.1) + 3
	most := mostWithin(w.fetched, storeWindow)
	assert.Assert(t, most <= ceiling, "%d loads began within %s", most, storeWindow)
	before := w.serving()
	assert.Assert(t, before["wide"] > 0 && before["narrow"] > 0, "a model has no group: %v", before)
	w.run(40 * time.Second)
	after := w.serving()
	assert.Assert(t, after["wide"]+after["narrow"] > before["wide"]+before["narrow"], "%v, then %v", before, after)
}
