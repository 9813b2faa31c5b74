package admission

import "time"

// retryWindowSeconds is the length of the sliding window in which retries are counted against
// admitted requests. The budget bounds any ten seconds. The window has one second more because
// counts are kept per whole second, and bursts at both ends of ten seconds must be counted
// together.
const retryWindowSeconds = 11

// retryBudget counts the admitted requests and the retries of one budget, for each second of the
// window.
//
// A sliding window is used in place of a token bucket because the budget bounds the added load in
// any span of the window's length. With a bucket, entries that were idle would accumulate tokens
// and spend all of them in the same second.
type retryBudget struct {
	seconds  [retryWindowSeconds]budgetSecond
	lastUsed time.Time
}

// budgetSecond holds the counts of one second.
type budgetSecond struct {
	unixSecond        int64
	admitted, retried int
}

// second returns the counts of the second that contains now, and resets counts of an earlier
// window.
func (b *retryBudget) second(now time.Time) *budgetSecond {
	b.lastUsed = now
	unixSecond := now.Unix()
	s := &b.seconds[unixSecond%retryWindowSeconds]
	if s.unixSecond != unixSecond {
		*s = budgetSecond{unixSecond: unixSecond}
	}
	return s
}

// sums returns the numbers of admitted requests and retries in the window that ends at now.
func (b *retryBudget) sums(now time.Time) (admitted, retried int) {
	for _, s := range b.seconds {
		if s.unixSecond > now.Unix()-retryWindowSeconds && s.unixSecond <= now.Unix() {
			admitted += s.admitted
			retried += s.retried
		}
	}
	return admitted, retried
}

// retryBudgets holds retry budgets by name.
type retryBudgets map[string]*retryBudget

// get returns the budget of a name and creates it if needed.
func (b retryBudgets) get(now time.Time, name string) *retryBudget {
	budget := b[name]
	if budget == nil {
		b.prune(now)
		budget = &retryBudget{}
		b[name] = budget
	}
	return budget
}

// budgetPruneThreshold is the number of budgets from which unused ones are removed.
const budgetPruneThreshold = 1024

// budgetPruneInterval is the number of new budgets between two scans for unused ones. It spreads
// the cost of the scans, each of which visits all budgets.
const budgetPruneInterval = 256

// prune removes the budgets that have not been used for idleExpiry.
func (b retryBudgets) prune(now time.Time) {
	if len(b) < budgetPruneThreshold || len(b)%budgetPruneInterval != 0 {
		return
	}
	for name, budget := range b {
		if now.Sub(budget.lastUsed) > idleExpiry {
			delete(b, name)
		}
	}
}

// budgetName returns the name of the request's retry budget.
func (r Request) budgetName() string {
	if r.RetryBudget != "" {
		return r.RetryBudget
	}
	return r.Workspace
}

// AllowRetry reports whether an attempt may be retried under a budget, and counts the retry if
// so. budget names a workspace, or is the RetryBudget of the request.
//
// The budget guards against backend servers that fail many requests at once: unlimited retries
// would add load just when there is least capacity. The retries of any ten seconds are limited to
// RetryRatio of the requests admitted in the window, plus RetryPerSecond for each second.
func (q *Queue) AllowRetry(now time.Time, budget string) bool {
	b := q.retryBudgets.get(now, budget)
	admitted, retried := b.sums(now)
	if float64(retried+1) > q.policy.RetryRatio*float64(admitted)+retryWindowSeconds*q.policy.RetryPerSecond {
		q.counters.RetriesDenied++
		return false
	}
	b.second(now).retried++
	return true
}
