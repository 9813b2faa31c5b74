package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/clock"
)

// An operator withdraws a workspace's key. One entry is cut off and goes on
// serving under the old configuration until its lease runs out. The change must
// not be reported in force before that.
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
		{"a new leader counts all as leased", func(*leases) {}, length, []string{"cut", "near"}},
		{"their leases end", func(*leases) {}, length + time.Second, nil},
		{"both hold it", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.acknowledge("cut", 5, 0)
		}, 0, nil},
		{"one holds it", func(l *leases) { l.acknowledge("near", 5, 0) }, 0, []string{"cut"}},
		{"one holds an older one", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.acknowledge("cut", 4, 0)
		}, 0, []string{"cut"}},
		{"a lease granted late runs on", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.grant("cut", start.Add(2*time.Second))
		}, 4 * time.Second, []string{"cut"}},
		{"and ends by the margin for a slow clock", func(l *leases) {
			l.acknowledge("near", 5, 0)
			l.grant("cut", start.Add(2*time.Second))
		}, 5*time.Second + 31*time.Millisecond, nil},
		{"an old acknowledgement takes nothing back", func(l *leases) {
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
