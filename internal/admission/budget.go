package admission

import "time"

// retryWindow is the time, in seconds, over which retries are held against the
// requests that were admitted: ten, and one since counts are of whole seconds, and
// two bursts at the ends of ten seconds must be held against each other.
const retryWindow = 11

// retryBudget counts what one budget admitted and repeated in each second of the
// window.
//
// A window and not a bucket that fills: what is bounded is the added load in any
// span of that length, and entries that were quiet must not save up for one
// second in which they all spend at once.
type retryBudget struct {
	seconds [retryWindow]budgetSecond
	used    time.Time
}

// budgetSecond counts one second; at tells which.
type budgetSecond struct {
	at                int64
	admitted, retried int
}

// second returns the counts of now's second.
func (b *retryBudget) second(now time.Time) *budgetSecond {
	b.used = now
	at := now.Unix()
	s := &b.seconds[at%retryWindow]
	if s.at != at {
		*s = budgetSecond{at: at}
	}
	return s
}

// sums returns what was admitted and repeated within the window that ends now.
func (b *retryBudget) sums(now time.Time) (admitted, retried int) {
	for _, s := range b.seconds {
		if s.at > now.Unix()-retryWindow && s.at <= now.Unix() {
			admitted += s.admitted
			retried += s.retried
		}
	}
	return admitted, retried
}

// retryBudgets are the budgets by name.
type retryBudgets map[string]*retryBudget

func (b retryBudgets) of(now time.Time, name string) *retryBudget {
	budget := b[name]
	if budget == nil {
		b.prune(now)
		budget = &retryBudget{}
		b[name] = budget
	}
	return budget
}

// retryBudgetLimit is how many budgets are kept before unused ones are dropped.
const retryBudgetLimit = 1024

// pruneEvery spreads the cost of a look through all budgets.
const pruneEvery = 256

// prune drops the budgets that nothing was counted in for long.
func (b retryBudgets) prune(now time.Time) {
	if len(b) < retryBudgetLimit || len(b)%pruneEvery != 0 {
		return
	}
	for name, budget := range b {
		if now.Sub(budget.used) > forgetAfter {
			delete(b, name)
		}
	}
}

// budgetName is the retry budget of a request.
func (r Request) budgetName() string {
	if r.RetryBudget != "" {
		return r.RetryBudget
	}
	return r.Workspace
}

// AllowRetry tells whether an attempt under a budget, a workspace's or the one
// that the request named, may be repeated, and counts it if so.
//
// The budget is made for backend servers that fail many requests at once: with
// free retries the load grows just when there is least capacity. It bounds the
// added load of any ten seconds to RetryRatio of the requests admitted in the
// window and RetryPerSecond beside.
func (q *Queue) AllowRetry(now time.Time, budget string) bool {
	b := q.retries.of(now, budget)
	admitted, retried := b.sums(now)
	if float64(retried+1) > q.policy.RetryRatio*float64(admitted)+retryWindow*q.policy.RetryPerSecond {
		q.counters.RetriesDenied++
		return false
	}
	b.second(now).retried++
	return true
}
