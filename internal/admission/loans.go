package admission

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

// What all entries together may repeat beyond a part of their requests, in any window of
// retries, is divided thus: ownPart in equal shares, and lentPart by each of the entries that may lend
// for the same borrowers as one follows another that is lost. What is left is for entries that
// restart and forget what they repeated.
//
// Load: a thousand entries get less than one request a second each, and a service fails one
// request in seven. The share of an entry is a tenth of a retry: no request would be sent a
// second time, while all entries together leave nearly all that they may repeat unused. An
// entry without a share of its own borrows from a lender, which counts what it lends.
const (
	ownPart  = 0.2
	lentPart = 0.25
	// borrowersEach is how many entries borrow from one lender: a service that fails
	// altogether makes all of them ask for each request.
	borrowersEach = 128
	// least stands for no retries a second; 0 would be the default.
	least = 1e-9
)

// OwnRetries returns what one of some entries may repeat in a second without a loan, where
// all together may repeat slack in a window.
func OwnRetries(slack float64, entries int) float64 {
	return max(least, ownPart*slack/retryWindowSeconds/float64(max(1, entries)))
}

// Pool names what an entry borrows from, for a budget: the entries are divided among as many
// pools as keep the askers of one lender few.
func Pool(budget, entry string, entries int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(entry))
	return budget + "/" + strconv.Itoa(int(h.Sum32()%uint32(pools(entries))))
}

func pools(entries int) int {
	return max(1, int(math.Ceil(float64(entries)/borrowersEach)))
}

// Loans is what one entry has lent to others.
type Loans struct {
	// started is when the entry began.
	started time.Time
	lent    retryBudgets
}

// NewLoans returns the loans of an entry that starts now.
func NewLoans(now time.Time) *Loans {
	return &Loans{started: now, lent: make(retryBudgets)}
}

// Lend tells whether another entry may repeat one request from a pool, and counts it if so.
// slack is what all of some entries may repeat in a window.
//
// One that has just started lends nothing for a window: it may have lent before and
// forgotten.
func (l *Loans) Lend(now time.Time, pool string, slack float64, entries int) bool {
	if now.Sub(l.started) < retryWindowSeconds*time.Second {
		return false
	}
	b := l.lent.get(now, pool)
	_, lent := b.sums(now)
	if float64(lent+1) > lentPart*slack/float64(pools(entries)) {
		return false
	}
	b.second(now).retried++
	return true
}
