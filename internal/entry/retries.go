package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const (
	// loanTimeout is the time limit of a call to one lender. A failed request waits for the
	// lender's reply.
	loanTimeout = 100 * time.Millisecond
	// maxLendersAsked is how many lenders are asked, one after the other. A further lender that
	// lent as well could take all entries together over their limit.
	maxLendersAsked = 2
	// refusalBackoff is how long a pool is not asked again after a refused loan.
	refusalBackoff = 500 * time.Millisecond
)

// retryLoans holds this entry's state as a borrower of retries and, in lent, as a lender.
type retryLoans struct {
	mu sync.Mutex
	// refusedUntil holds until when each pool is not asked again.
	refusedUntil map[string]time.Time
	lent         *admission.RetryLoans
}

func newRetryLoans() *retryLoans {
	return &retryLoans{refusedUntil: make(map[string]time.Time), lent: admission.NewRetryLoans(time.Now())}
}

// takeRetry takes one retry for the job from this entry's own share of the retry budget, or
// borrows one. It reports whether it succeeded.
func (s *Server) takeRetry(j *job) bool {
	if s.dispatcher.allowRetry(j.retryBudget()) {
		return true
	}
	return j.forward != nil && s.o.Settings.RetrySlack > 0 && s.borrow(j)
}

// borrow asks the lenders of this entry's pool for one retry.
func (s *Server) borrow(j *job) bool {
	board := s.o.Follower.Board()
	entries := callerFacingEntries(board)
	pool := admission.LoanPool(j.retryBudget(), s.o.ID, len(entries))
	if !s.retryLoans.mayBorrow(time.Now(), pool) {
		return false
	}
	for _, lender := range lendersOf(pool, board.Entries) {
		lent, err := s.askLoan(j.ctx, board, lender, pool)
		j.lines.Info("event", "retry_loan", "request", j.id, "pool", pool, "lender", lender, "lent", lent, "err", errText(err))
		if err != nil {
			continue
		}
		if !lent {
			s.retryLoans.noteRefused(time.Now(), pool)
		}
		return lent
	}
	return false
}

func (b *retryLoans) mayBorrow(now time.Time, pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.After(b.refusedUntil[pool])
}

func (b *retryLoans) noteRefused(now time.Time, pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusedUntil[pool] = now.Add(refusalBackoff)
}

// lendersOf returns the entries that lend from a pool, in the order in which they are asked.
func lendersOf(pool string, entries map[string]blackboard.Entry) []string {
	left := make(map[string]blackboard.Entry, len(entries))
	for id, e := range entries {
		if e.Address != "" {
			left[id] = e
		}
	}
	var lenders []string
	for len(lenders) < maxLendersAsked && len(left) > 0 {
		id := homeOf(pool, left)
		lenders = append(lenders, id)
		delete(left, id)
	}
	return lenders
}

func (s *Server) askLoan(ctx context.Context, board *blackboard.Board, lender, pool string) (bool, error) {
	r := &noderpc.LendRetryRequest{ClusterId: board.ClusterID, Pool: pool}
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	reply, err := s.entryClient(lender, board.Entries[lender]).LendRetry(ctx, r)
	if err != nil {
		return false, errors.Trace(err)
	}
	return reply.Lent, nil
}

// LendRetry lends one retry to another entry, if this one has any left.
func (h localHome) LendRetry(_ context.Context, r *noderpc.LendRetryRequest) (*noderpc.LendRetryReply, error) {
	s := h.s
	entries := len(callerFacingEntries(s.o.Follower.Board()))
	s.retryLoans.mu.Lock()
	defer s.retryLoans.mu.Unlock()
	lent := s.retryLoans.lent.Lend(time.Now(), r.Pool, s.o.Settings.RetrySlack, entries)
	return &noderpc.LendRetryReply{Lent: lent}, nil
}

func (j *job) attemptLimit() int {
	if j.maxAttempts > 0 {
		return j.maxAttempts
	}
	return maxAttempts
}

// retryBudget names the budget that the job's retries are taken from. Forwarded requests have
// one budget for each service, since the load that a service's backend servers sustain is
// limited for each service.
func (j *job) retryBudget() string {
	if j.forward != nil {
		return "service " + j.forward.service
	}
	return j.workspace
}
