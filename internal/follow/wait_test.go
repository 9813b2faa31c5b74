package follow

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against renewals of leases that grow with the entries until they take the leader's
// processor, and against a lease that runs out while a silent leader is waited for.
func TestRenewalsDoNotGrowWithTheEntries(t *testing.T) {
	const lease = 3 * time.Second
	for _, entries := range []int{1, 9, 195, 400, 986} {
		wait := waitOf(entries)
		renewals := float64(entries) / wait.Seconds()
		assert.Assert(t, renewals <= 1.05*renewalsPerSecond, "%d entries renew %.0f times a second", entries, renewals)
		assert.Assert(t, wait >= leastWait && wait+watchGrace < lease*2/3)
	}
}
