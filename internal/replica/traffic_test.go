package replica

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle measures the cost of three idle nodes with the default timing: the bytes a
// second between all of them and the processor time of all three. Each operation is one second.
func BenchmarkIdle(b *testing.B) {
	c := newCluster(b, 3, func(o *Options) { o.TickInterval = 0; o.ElectionTicks = 0 })
	c.found(3)
	c.put("k", "v")
	time.Sleep(2 * time.Second)
	before := c.traffic.Load()
	spent := processorTime()
	time.Sleep(time.Duration(b.N) * time.Second)
	seconds := float64(b.N)
	b.ReportMetric(float64(c.traffic.Load()-before)/seconds, "bytes/s")
	b.ReportMetric(100*(processorTime()-spent).Seconds()/seconds, "%core")
}
