package loadgen

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/httphead"
)

const (
	// maxIdleConnections keeps one connection open for each caller, as the client libraries of
	// callers do.
	maxIdleConnections = MaxConcurrency
	// defaultRetryDelay is the wait before a retry when the connection was cut, so that no
	// Retry-After was received.
	defaultRetryDelay = 200 * time.Millisecond
	// maxJitterRatio is the largest share of a wait that is added at random, so that callers
	// that are refused together do not retry together.
	maxJitterRatio = 0.2
)

// outcome is the result of one request, retries and waits included.
type outcome struct {
	flow    int
	verdict Verdict
	// refusal is the type of the final refusal; empty if the request ended otherwise.
	refusal failure.Type
	ran     failure.Ran
	// tries counts the attempts, the first one included.
	tries  int
	tokens int
	// first is the time to the first token and whole the time to the end, both from when the
	// request was due; gaps are the times between tokens.
	first, whole time.Duration
	gaps         []time.Duration
	marker       string
	id           string
}

// Run sends the plan's load until its count or duration is reached or ctx ends. It then waits
// for the requests in flight and returns the report.
func Run(ctx context.Context, p *Plan) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, errors.Trace(err)
	}
	transport := &http.Transport{MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: maxIdleConnections}
	defer transport.CloseIdleConnections()
	g := &generator{
		plan:     p,
		client:   &http.Client{Transport: &httphead.Transport{Base: transport}},
		checker:  newChecker(p.Expected),
		outcomes: make(chan outcome, p.Concurrency),
		slots:    make(chan struct{}, p.Concurrency),
	}
	report := newReport(p)
	var collected sync.WaitGroup
	collected.Go(func() {
		for o := range g.outcomes {
			report.add(o)
		}
	})
	started := time.Now()
	g.send(ctx, newRequestSource(p))
	g.inFlight.Wait()
	close(g.outcomes)
	collected.Wait()
	report.finish(time.Since(started), g.held)
	return report, nil
}

// generator sends the requests of one run and collects their outcomes.
type generator struct {
	plan     *Plan
	client   *http.Client
	checker  *checker
	outcomes chan outcome
	// slots limits the number of open requests.
	slots    chan struct{}
	inFlight sync.WaitGroup
	// held counts the requests of an open loop that were due while all slots were in use. The
	// time until they were sent counts into their measured times.
	held int
}

// send starts the requests in order. A closed loop starts a request when a slot is free; an
// open loop starts it when it is due.
func (g *generator) send(ctx context.Context, d *requestSource) {
	over, cancel := context.WithTimeout(ctx, g.plan.Duration)
	defer cancel()
	due := time.Now()
	for {
		r, more := d.draw()
		if !more {
			return
		}
		due = due.Add(r.wait)
		if g.plan.Rate > 0 && !sleepUntil(over, due) {
			return
		}
		if !g.acquireSlot(over) {
			return
		}
		at := due
		if g.plan.Rate == 0 {
			at = time.Now()
		}
		g.inFlight.Go(func() {
			defer func() { <-g.slots }()
			g.outcomes <- g.sendWithRetries(ctx, r, at)
		})
	}
}

// acquireSlot waits for a free slot. It returns false if ctx ends first.
func (g *generator) acquireSlot(ctx context.Context) bool {
	select {
	case g.slots <- struct{}{}:
		return true
	default:
	}
	if g.plan.Rate > 0 {
		g.held++
	}
	select {
	case g.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sendWithRetries sends a request until it has a final answer, its retries are used up, or
// GiveUp has passed. Each attempt has the same idempotency key and goes to the next target, as
// it would through a load balancer.
func (g *generator) sendWithRetries(ctx context.Context, r request, due time.Time) outcome {
	ctx, cancel := context.WithTimeout(ctx, g.plan.GiveUp)
	defer cancel()
	f := g.plan.Flows[r.flow]
	o := outcome{flow: r.flow, marker: r.marker}
	for {
		r.target = g.plan.Targets[(r.number+o.tries)%len(g.plan.Targets)]
		a := send(ctx, g.client, f, r)
		o.tries++
		o.record(g.checker.check(f, r, a), a, due)
		wait, again := retryWait(o.verdict, a)
		if !again || o.tries > g.plan.Retries || !sleepUntil(ctx, time.Now().Add(wait)) {
			return o
		}
	}
}

// record sets the outcome to the result of the latest attempt.
func (o *outcome) record(v Verdict, a *answer, due time.Time) {
	o.verdict, o.refusal, o.ran, o.id = v, "", "", a.id
	if a.refusal != nil {
		o.refusal, o.ran, o.id = a.refusal.Type, a.refusal.Ran, a.refusal.RequestID
	}
	o.tokens, o.gaps = a.tokens, nil
	if len(a.times) == 0 {
		return
	}
	o.first = a.times[0].Sub(due)
	o.whole = time.Since(due)
	for i := 1; i < len(a.times); i++ {
		o.gaps = append(o.gaps, a.times[i].Sub(a.times[i-1]))
	}
}

// retryWait returns whether the caller retries and after which wait. The wait is at least
// Retry-After; a refusal without Retry-After is final.
func retryWait(v Verdict, a *answer) (time.Duration, bool) {
	switch {
	case v == Cut:
		return withJitter(defaultRetryDelay), true
	case v == Refused && a.retryAfter > 0:
		return withJitter(a.retryAfter), true
	}
	return 0, false
}

// withJitter returns d increased by a random share of up to maxJitterRatio.
func withJitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*maxJitterRatio*float64(d))
}

// sleepUntil reports whether the given time was reached before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
