package workload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// sendTimeoutMillis is the deadline of each send. It is short, so that
	// resends overtake requests that still run.
	sendTimeoutMillis = 4000
	// resendPause spreads a caller's resends.
	resendPause = 100 * time.Millisecond
	// settleTime is how long callers go on after the last fault, until each
	// work is settled: longer than a claim outlives its entry.
	settleTime = 60 * time.Second
)

// callers are the programs that call the system.
type callers struct {
	cluster *harness.Cluster
	seed    uint64
	count   int

	mu    sync.Mutex
	works []*Work
}

// run draws works and brings each to its end. New works are begun until stop
// is closed, resends go on until ctx ends.
func (c *callers) run(ctx context.Context, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for caller := range c.count {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(c.seed, uint64(caller)))
			for number := 0; !closed(stop) && ctx.Err() == nil; number++ {
				c.finish(ctx, r, newWork(r, caller, number))
			}
		}()
	}
	wg.Wait()
}

// finish sends a work until it is settled. Now and then it is sent to two
// entries at once, as a caller does whose balancer timed out.
func (c *callers) finish(ctx context.Context, r *rand.Rand, w *Work) {
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

// sendCopies sends a work to so many entries at once.
func (c *callers) sendCopies(ctx context.Context, r *rand.Rand, w *Work, copies int) (done bool) {
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
		done = done || settled(s.Reply)
	}
	return done
}

func send(ctx context.Context, entry *harness.Node, w *Work) Send {
	s := Send{Entry: entry.Spec.Name, At: time.Now()}
	if w.Call {
		s.Reply = harness.CallService(ctx, entry.Entry, w.call())
	} else {
		s.Reply = harness.Complete(ctx, entry.Entry, w.completion())
	}
	s.Ended = time.Now()
	return s
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// wait waits for d or the end of ctx.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
