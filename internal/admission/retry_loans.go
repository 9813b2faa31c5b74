package admission

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

// All entries together may send a number of retries in each retry window beyond the fraction that
// admitted requests earn. This number is divided as follows. The fraction ownPart is split into
// equal shares, one for each entry. The fraction lentPart is split among the pools, and the
// lender of a pool lends it. When a lender is lost, another entry follows it for the same
// borrowers and may lend as much again. The rest is left for entries that restart and lose their
// counts.
//
// Loans are made for large fleets. A thousand entries get less than one retry a second each. When
// a service fails one request in seven, the share of an entry is a tenth of a retry. Without
// loans, no request would be retried, while nearly all retries of the fleet stay unused. An entry
// that has used up its share therefore borrows from a lender, which counts the retries it lends.
const (
	ownPart  = 0.2
	lentPart = 0.25
	// borrowersPerLender is the number of entries that borrow from one lender. When a service
	// fails completely, all of them ask the lender for each request.
	borrowersPerLender = 128
	// minRetriesPerSecond stands for no retries: in a Policy, 0 would mean the default.
	minRetriesPerSecond = 1e-9
)

// RetriesPerSecondWithoutLoan returns the retries a second that one of several entries may send
// without a loan. slack is the number of retries that all entries together may send in a retry
// window.
func RetriesPerSecondWithoutLoan(slack float64, entries int) float64 {
	return max(minRetriesPerSecond, ownPart*slack/retryWindowSeconds/float64(max(1, entries)))
}

// LoanPool returns the name of the pool from which an entry borrows retries for a budget. The
// entries are divided among enough pools to keep the number of borrowers of one lender small.
func LoanPool(budget, entry string, entries int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry))
	return budget + "/" + strconv.Itoa(int(h.Sum32()%uint32(poolCount(entries))))
}

func poolCount(entries int) int {
	return max(1, int(math.Ceil(float64(entries)/borrowersPerLender)))
}

// RetryLoans counts the retries that one entry has lent to others.
type RetryLoans struct {
	// started is when the entry started.
	started time.Time
	lent    retryBudgets
}

// NewRetryLoans returns the RetryLoans of an entry that starts at now.
func NewRetryLoans(now time.Time) *RetryLoans {
	return &RetryLoans{started: now, lent: make(retryBudgets)}
}

// Lend reports whether another entry may send one retry from a pool, and counts the loan if so.
// slack is the number of retries that all entries together may send in a retry window.
//
// An entry that has just started lends nothing for one window: it may have lent retries before
// the restart and lost the counts.
func (l *RetryLoans) Lend(now time.Time, pool string, slack float64, entries int) bool {
	if now.Sub(l.started) < retryWindowSeconds*time.Second {
		return false
	}
	b := l.lent.get(now, pool)
	_, lent := b.sums(now)
	if float64(lent+1) > lentPart*slack/float64(poolCount(entries)) {
		return false
	}
	b.second(now).retried++
	return true
}
