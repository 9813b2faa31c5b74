package replica

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkPropose measures committed writes a second on three nodes with real disks and
// connections, from 64 callers a core, with and without batching.
func BenchmarkPropose(b *testing.B) {
	for _, batch := range []int{1, defaultMaxBatch} {
		b.Run("batch="+strconv.Itoa(batch), func(b *testing.B) {
			b.StopTimer()
			leader := benchCluster(b, func(o *Options) { o.MaxBatch = batch })
			var failed atomic.Int64
			b.SetParallelism(64)
			b.StartTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.Propose(context.Background(), command("k", "v")); err != nil {
						failed.Add(1)
					}
				}
			})
			b.StopTimer()
			assert.Equal(b, failed.Load(), int64(0))
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "writes/s")
		})
	}
}

// BenchmarkReadBarrier measures a linearizable read under the lease.
func BenchmarkReadBarrier(b *testing.B) {
	b.StopTimer()
	leader := benchCluster(b, nil)
	b.ReportAllocs()
	b.StartTimer()
	for range b.N {
		assert.NilError(b, leader.ReadBarrier(context.Background()))
	}
	b.StopTimer()
}

// BenchmarkNewLeader measures, with the default timing, the time from the end of the leader's
// process until the next leader has a lease.
func BenchmarkNewLeader(b *testing.B) {
	c := newCluster(b, 3, func(o *Options) { o.TickInterval = 0; o.ElectionTicks = 0 })
	c.found(3)
	var took []time.Duration
	for range b.N {
		c.put("k", "v")
		old := c.leader()
		start := time.Now()
		old.kill()
		c.otherLeader(old)
		took = append(took, time.Since(start))
		old.open()
		eventually(b, "the old leader follows", func() bool { return old.machine.get("k") == "v" })
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2].Seconds(), "median-s")
	b.ReportMetric(took[len(took)-1].Seconds(), "highest-s")
}

func benchCluster(b *testing.B, edit func(*Options)) *Node {
	b.Helper()
	c := newCluster(b, 3, edit)
	c.found(3)
	c.put("k", "v")
	return c.leader().node
}
