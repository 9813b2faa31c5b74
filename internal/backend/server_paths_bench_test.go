package backend

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChooseWay measures what an ordinary call pays, while many other servers are reached
// through peers.
func BenchmarkChooseWay(b *testing.B) {
	p, now := newTestPaths(), time.Now()
	for i := range 1000 {
		p.connectedByPeer(now, fmt.Sprintf("10.1.%d.%d:80", i/250, i%250), "refused", true)
	}
	p.connected(now, firstServer)
	p.heard.set(now)
	b.ReportAllocs()
	for b.Loop() {
		p.choose(now, firstServer)
	}
}
