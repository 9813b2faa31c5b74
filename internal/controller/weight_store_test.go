package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mostWithin returns the largest number of times within any span of the given length.
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

// Guards against loads beyond the store's rate. A pool of 365 VMs starts, its leader can send
// sixty orders a second, and callers arrive when a third of the VMs have received their orders.
// The groups were allowed to load while the store was idle; the leader sent the remaining orders
// later, and 119 loads began within five seconds. From the callers' arrival on, the rate must
// hold, including orders in transit, and groups must still come into service one after the other.
func TestLoadsRespectTheStoreRateOnceCallersArrive(t *testing.T) {
	w := newLargeWorld(t, 5, &busyProcessor{each: 16 * time.Millisecond})
	w.busyLoad = 12 * time.Second
	w.storeRate, w.storeAtOnce = 4.5, 6
	w.configure(3, largeModels)
	w.callersAt = w.now.Add(simAnnounceInterval + 3*time.Second)
	w.run(20 * time.Second)
	// Such a store sustains its rate plus a tenth and three loads.
	ceiling := int(w.storeRate*storeWindow.Seconds()*1.1) + 3
	most := mostWithin(w.fetched, storeWindow)
	assert.Assert(t, most <= ceiling, "%d loads began within %s", most, storeWindow)
	before := w.serving()
	assert.Assert(t, before["wide"] > 0 && before["narrow"] > 0, "a model has no group: %v", before)
	w.run(40 * time.Second)
	after := w.serving()
	assert.Assert(t, after["wide"]+after["narrow"] > before["wide"]+before["narrow"], "%v, then %v", before, after)
}
