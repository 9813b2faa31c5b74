package backend

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoosePath measures what an ordinary call pays, while many other servers are reached
// through peers.
func BenchmarkChoosePath(b *testing.B) {
	p, now := newTestPaths(), time.Now()
	for i := range 1000 {
		p.connectedByPeer(now, fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), "refused", true)
	}
	p.connected(now, firstServer)
	p.received.set(now)
	b.ReportAllocs()
	for b.Loop() {
		p.choose(now, firstServer)
	}
}
