package admission

import "time"

const (
	// waitStep is the fraction by which one request moves an estimate. Some dozens of requests
	// move the estimate from the first caller's timeout to the timeout of most callers. The
	// retries of an outage, a few for each entry, move it little.
	waitStep = 0.01
	// waitQuantile is the fraction of requests whose timeout is below the estimate. It is low, so
	// that a request is taken for a retry only if its timeout is below nearly all others.
	waitQuantile = 0.1
	// waitSampleInterval is the least time between two requests that an estimate learns from. The
	// retries of an outage arrive within two seconds and must not count as usual timeouts.
	// Callers that have changed to a shorter timeout continue to send it.
	waitSampleInterval = 250 * time.Millisecond
	// waitMinSamples is the number of requests that an estimate needs before it is used.
	waitMinSamples = 30
)

// CallerTimeouts learns, for each route, the timeout that callers set when they first send a
// request. From the timeout that a request has left, it estimates how long ago the request was
// first sent.
//
// After all processes have lost power, the requests of the outage return as retries together with
// new requests. An entry that has just started would take all of them for new. Requests that are
// late in any case would take the slots, and new requests would wait behind them. A caller that
// sets a shorter timeout must not be taken for late, so the timeout is learned from the route's
// callers. A request counts as first sent earlier by the time that its timeout is below the
// timeout of nine in ten requests. Estimates are also stored outside the process, see
// EstimateToShare.
type CallerTimeouts struct {
	routes map[string]*waitEstimate
}

// waitEstimate is the estimate for one route.
type waitEstimate struct {
	// quantile is the timeout that all but waitQuantile of the requests reach. samples is the
	// number of requests that it is based on.
	quantile time.Duration
	samples  int
	// updatedAt is when the estimate last changed.
	updatedAt time.Time
}

// NewCallerTimeouts returns a CallerTimeouts without estimates.
func NewCallerTimeouts() *CallerTimeouts {
	return &CallerTimeouts{routes: make(map[string]*waitEstimate)}
}

// Observe records a request of a route whose caller waits for the time remaining. It returns how
// long ago, at least, the caller first sent the request; 0 if the request may be new.
func (c *CallerTimeouts) Observe(now time.Time, route string, remaining time.Duration) time.Duration {
	e := c.routes[route]
	if e == nil {
		e = &waitEstimate{quantile: remaining}
		c.routes[route] = e
	}
	e.samples++
	elapsed := time.Duration(0)
	if e.samples > waitMinSamples {
		elapsed = max(0, e.quantile-remaining)
	}
	e.update(now, remaining)
	return elapsed
}

// update moves the estimate towards the quantile. The step is a fraction of the estimate, and is
// larger while there are few samples.
func (e *waitEstimate) update(now time.Time, remaining time.Duration) {
	if e.samples > waitMinSamples && now.Sub(e.updatedAt) < waitSampleInterval {
		return
	}
	e.updatedAt = now
	step := float64(e.quantile) * max(waitStep, 1/float64(e.samples+waitMinSamples))
	if remaining < e.quantile {
		e.quantile -= time.Duration(step * (1 - waitQuantile))
		return
	}
	e.quantile += time.Duration(step * waitQuantile)
}

// Adopt adopts the estimate of a route that other entries have learned, unless this process has
// its own.
func (c *CallerTimeouts) Adopt(route string, quantile time.Duration) {
	e := c.routes[route]
	if e == nil {
		e = &waitEstimate{}
		c.routes[route] = e
	}
	if e.samples <= waitMinSamples {
		e.quantile, e.samples = quantile, waitMinSamples+1
	}
}

const (
	// shareMinSamples is the number of requests that an estimate is based on before it is shared.
	shareMinSamples = 2 * waitMinSamples
	// shareMinChange is the relative difference from the known estimate above which an estimate
	// is shared. The estimates of many entries differ by about as much.
	shareMinChange = 0.1
)

// EstimateToShare returns the estimate of a route that other entries should learn. known is the
// estimate that they have, 0 for none. EstimateToShare returns false if there is nothing new to
// share.
func (c *CallerTimeouts) EstimateToShare(route string, known time.Duration) (time.Duration, bool) {
	e := c.routes[route]
	if e == nil || e.samples < shareMinSamples {
		return 0, false
	}
	differs := (e.quantile - known).Abs()
	return e.quantile, float64(differs) > shareMinChange*float64(e.quantile)
}
