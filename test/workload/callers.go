package workload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// sendTimeoutMillis is the timeout of each send. It is short, so that resends overlap with
	// requests that still run.
	sendTimeoutMillis = 4000
	// resendPause is the time between two sends of a work.
	resendPause = 100 * time.Millisecond
	// settleTimeout is how long callers continue after the last fault to settle all works. It is
	// longer than a claim outlives its entry.
	settleTimeout = 60 * time.Second
)

// callers simulates the programs that call the system.
type callers struct {
	cluster *harness.Cluster
	seed    uint64
	count   int

	mu    sync.Mutex
	works []*Work
}

// run draws works and sends each until it is settled. New works begin until stop is closed;
// resends continue until ctx ends.
func (c *callers) run(ctx context.Context, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for caller := range c.count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(c.seed, uint64(caller)))
			for number := 0; !isClosed(stop) && ctx.Err() == nil; number++ {
				c.sendUntilSettled(ctx, r, newWork(r, caller, number))
			}
		}()
	}
	wg.Wait()
}

// sendUntilSettled sends a work until it is settled. Some sends go to two entries at once, like
// those of a caller whose balancer timed out.
func (c *callers) sendUntilSettled(ctx context.Context, r *rand.Rand, w *Work) {
	c.mu.Lock()
	c.works = append(c.works, w)
	c.mu.Unlock()
	for ctx.Err() == nil {
		copies := 1
		if w.mayResend() && r.IntN(5) == 0 {
			copies = 2
		}
		if c.sendCopies(ctx, r, w, copies) || !w.mayResend() {
			return
		}
		wait(ctx, resendPause)
	}
}

// sendCopies sends a work to as many entries at once as there are copies. It reports whether a
// reply settles the work.
func (c *callers) sendCopies(ctx context.Context, r *rand.Rand, w *Work, copies int) (settled bool) {
	entries := c.cluster.Entries()
	first := r.IntN(len(entries))
	sends := make([]Send, copies)
	var wg sync.WaitGroup
	for i := range sends {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sends[i] = send(ctx, entries[(first+i)%len(entries)], w)
		}()
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Sends = append(w.Sends, sends...)
	for _, s := range sends {
		settled = settled || isSettled(s.Reply)
	}
	return settled
}

func send(ctx context.Context, entry *harness.Node, w *Work) Send {
	s := Send{Entry: entry.Spec.Name, At: time.Now()}
	if w.IsServiceCall {
		s.Reply = harness.CallService(ctx, entry.Entry, w.serviceRequest())
	} else {
		s.Reply = harness.Complete(ctx, entry.Entry, w.completion())
	}
	s.Ended = time.Now()
	return s
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// wait returns after d or at the end of ctx, whichever is first.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
