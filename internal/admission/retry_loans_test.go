package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load of retries that a service can sustain in any ten seconds: a fraction of its requests,
// plus a fixed number.
const (
	sustainedRatio = 0.2
	// policyRatio is the ratio that entries use. It is below sustainedRatio because the peak of a
	// fluctuating count is above its mean.
	policyRatio = 0.13
	retrySpan   = 10 * time.Second
)

// retryFleet is a set of entries that send requests to one service and retry the failed ones.
type retryFleet struct {
	random  *rand.Rand
	slack   float64
	entries []*retryEntry
	// requests and retries hold the time at which each was sent.
	requests, retries []time.Duration
	denied            int
}

type retryEntry struct {
	name  string
	queue *Queue
	loans *RetryLoans
}

func newRetryFleet(n int, slack float64) *retryFleet {
	f := &retryFleet{random: rand.New(rand.NewPCG(uint64(n), 3)), slack: slack}
	for i := range n {
		f.entries = append(f.entries, &retryEntry{name: fmt.Sprint("entry-", i)})
		f.restart(i, -time.Minute)
	}
	return f
}

// restart makes an entry lose all its counts.
func (f *retryFleet) restart(i int, after time.Duration) {
	policy := Policy{RetryRatio: policyRatio, RetryPerSecond: RetriesPerSecondWithoutLoan(f.slack, len(f.entries))}
	f.entries[i].queue, f.entries[i].loans = New(policy), NewRetryLoans(at(after))
}

// run sends perSecond requests a second from all entries together. fails returns the fraction of
// the requests that fail at a given time.
func (f *retryFleet) run(perSecond float64, from, to time.Duration, fails func(time.Duration) float64) {
	next := from
	for n := len(f.requests); next < to; n++ {
		e := f.entries[f.random.IntN(len(f.entries))]
		id := fmt.Sprint(n)
		now := at(next)
		e.queue.Offer(now, Request{ID: id, Model: "s", RetryBudget: "s"})
		_, _, _ = e.queue.Next(now, func(Request) bool { return true })
		e.queue.Done(now, Outcome{ID: id})
		f.requests = append(f.requests, next)
		if f.random.Float64() < fails(next) {
			f.retry(now, next, e)
		}
		next += time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
	}
}

func (f *retryFleet) retry(now time.Time, after time.Duration, e *retryEntry) {
	pool := LoanPool("s", e.name, len(f.entries))
	lender := f.lender(pool)
	if e.queue.AllowRetry(now, "s") || lender.loans.Lend(now, pool, f.slack, len(f.entries)) {
		f.retries = append(f.retries, after)
		return
	}
	f.denied++
}

// lender returns the entry that lends from a pool.
func (f *retryFleet) lender(pool string) *retryEntry {
	return slices.MaxFunc(f.entries, func(a, b *retryEntry) int {
		return int(int64(hashUnit(1, pool+a.name)*1e15) - int64(hashUnit(1, pool+b.name)*1e15))
	})
}

// maxExcess returns by how many retries the worst span exceeds what the service can sustain; at
// most 0 if no span exceeds it.
func (f *retryFleet) maxExcess() float64 {
	maxExcess := -f.slack
	firstRetry, firstRequest := 0, 0
	for i, last := range f.retries {
		for last-f.retries[firstRetry] >= retrySpan {
			firstRetry++
		}
		for f.requests[firstRequest] <= last-retrySpan {
			firstRequest++
		}
		n := 0
		for _, at := range f.requests[firstRequest:] {
			if at > last {
				break
			}
			n++
		}
		maxExcess = max(maxExcess, float64(i-firstRetry+1)-sustainedRatio*float64(n)-f.slack)
	}
	return maxExcess
}

func constantFailure(part float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return part }
}

// Guards against shares of less than one retry, with which a large fleet would retry nothing.
func TestOccasionalFailuresAreRetriedInAnyFleet(t *testing.T) {
	for entries, slack := range map[int]float64{9: 136, 89: 362, 986: 1040, 2000: 1040} {
		f := newRetryFleet(entries, slack)
		f.run(72, 0, time.Minute, constantFailure(0.05))
		denied := float64(f.denied) / float64(f.denied+len(f.retries))
		assert.Assert(t, denied < 0.02, "%d entries: %.2f of the failed requests are not retried", entries, denied)
		assert.Assert(t, f.maxExcess() <= 0)
	}
}

// Guards against entries that together send more retries than a service can sustain when it fails
// completely, also while entries restart and lose their counts.
func TestRetriesAreBoundedWhenAServiceFails(t *testing.T) {
	outage := func(after time.Duration) float64 {
		if after > 20*time.Second && after < 35*time.Second {
			return 1
		}
		return 0
	}
	for entries, slack := range map[int]float64{9: 136, 89: 362, 986: 1040, 2000: 1040} {
		f := newRetryFleet(entries, slack)
		f.run(600, 0, 25*time.Second, outage)
		for i := range entries / 2 {
			f.restart(i, 25*time.Second)
		}
		f.run(600, 25*time.Second, 50*time.Second, outage)
		assert.Assert(t, f.maxExcess() <= 0, "%d entries: %.0f retries too many", entries, f.maxExcess())
		assert.Assert(t, len(f.retries) > 0)
	}
}

// Guards against a lender that restarts and lends again the retries that it had already lent.
func TestRestartedLenderLendsNothingAtFirst(t *testing.T) {
	l := NewRetryLoans(start)
	assert.Assert(t, !l.Lend(at(time.Second), "s/0", 1000, 1))
	assert.Assert(t, l.Lend(at((retryWindowSeconds+1)*time.Second), "s/0", 1000, 1))
}
