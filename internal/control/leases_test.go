package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/clock"
)

// Guards against a change that is reported as in force too early. An operator withdraws a
// workspace's key, and an entry that is cut off serves under the old configuration until its
// lease expires.
func TestAChangeIsInForceOnlyAfterTheLastLeaseExpires(t *testing.T) {
	const length = 3 * time.Second
	start := clock.Boot(0)
	entries := []string{"near", "cut"}
	for _, c := range []struct {
		name string
		do   func(l *leases)
		at   time.Duration
		want []string
	}{
		{"a new leader treats all entries as leased", func(*leases) {}, length, []string{"cut", "near"}},
		{"all leases have expired", func(*leases) {}, length + time.Second, nil},
		{"both entries hold the change", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.acknowledge("cut", 5, 0)
		}, 0, nil},
		{"one entry holds the change", func(l *leases) { l.acknowledge("near", 5, 0) }, 0, []string{"cut"}},
		{"one entry holds an older configuration", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.acknowledge("cut", 4, 0)
		}, 0, []string{"cut"}},
		{"a lease granted later still runs", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.grant("cut", start.Add(2*time.Second))
		}, 4 * time.Second, []string{"cut"}},
		{"a lease granted later expires after the margin for a slow clock", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.grant("cut", start.Add(2*time.Second))
		}, 5*time.Second + 31*time.Millisecond, nil},
		{"an old acknowledgement does not lower the revision", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.acknowledge("cut", 5, 0)
			l.acknowledge("cut", 4, 0)
		}, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLeases(length, start)
			c.do(l)
			assert.DeepEqual(t, l.pending(entries, 5, start.Add(c.at)), c.want)
		})
	}
}
