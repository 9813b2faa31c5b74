package control

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const (
	// renewInterval is the time between two batches of lease renewals sent to the leader for
	// the entries whose watches this process serves.
	renewInterval = 100 * time.Millisecond
	// renewTimeout bounds one such call.
	renewTimeout = 500 * time.Millisecond
	// relayGrace is how much longer than its hold time a watch may wait for a leader and a
	// lease.
	relayGrace = 400 * time.Millisecond
	// relayPollInterval is how often a waiting watch checks for a leader or for a revision.
	relayPollInterval = 10 * time.Millisecond
)

// Renewer calls the leader to renew leases.
type Renewer interface {
	Renew(ctx context.Context, leader string, r *noderpc.RenewRequest) (*noderpc.RenewReply, error)
}

// relay renews the leases of the entries whose watches this process serves without leading. One
// call renews many leases.
//
// Load: a thousand entries watch. A leader that served all of them would send a thousand
// replies for each change of the board, and more to renew leases. With the watches divided
// among the control processes, the leader gets only some calls a second from each process.
type relay struct {
	mu      sync.Mutex
	waiting map[string]*noderpc.EntryHolding
	// next is the renewal that will include the waiting entries.
	next *renewal
	// answered counts the watches that this process has served for the leader.
	answered uint64
}

// renewal is one call to the leader. done closes when reply and err are set.
type renewal struct {
	done  chan struct{}
	reply *noderpc.RenewReply
	err   error
}

func newRelay() *relay {
	return &relay{waiting: make(map[string]*noderpc.EntryHolding), next: &renewal{done: make(chan struct{})}}
}

// enqueue adds an entry's holding to the next renewal, and returns that renewal.
func (r *relay) enqueue(h *noderpc.EntryHolding) *renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[h.EntryId] = h
	return r.next
}

// takeBatch returns the next renewal with its entries, and starts another. It returns nil if no
// entry waits.
func (r *relay) takeBatch() (*renewal, []*noderpc.EntryHolding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) == 0 {
		return nil, nil
	}
	due, entries := r.next, make([]*noderpc.EntryHolding, 0, len(r.waiting))
	for _, h := range r.waiting {
		entries = append(entries, h)
	}
	clear(r.waiting)
	r.next = &renewal{done: make(chan struct{})}
	return due, entries
}

// renewLoop sends the waiting renewals to the leader until the context ends.
func (s *Server) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if due, entries := s.relay.takeBatch(); due != nil {
			go s.renewOnce(ctx, due, entries)
		}
	}
}

func (s *Server) renewOnce(ctx context.Context, due *renewal, entries []*noderpc.EntryHolding) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	defer close(due.done)
	leader := s.o.Consensus.Status().Leader.Address
	if leader == "" {
		due.err = failure.New(failure.TypeNotLeader, "no control process leads").WithRan(failure.RanNo)
		return
	}
	r := &noderpc.RenewRequest{ClusterId: s.o.Machine.Board().ClusterID, Entries: entries}
	due.reply, due.err = s.o.Renewer.Renew(ctx, leader, r)
}

// Renew records what entries hold, and grants them leases. It records the leases before it
// reads the board, for the reason given at grantLease.
func (s *Server) Renew(_ context.Context, r *noderpc.RenewRequest) (*noderpc.RenewReply, error) {
	if _, err := s.leading(); err != nil {
		return nil, rpcError(err)
	}
	if r.ClusterId != s.o.Machine.Board().ClusterID {
		return nil, rpcError(failure.New(failure.TypeConflict, "the entries follow another cluster"))
	}
	now := clock.Now()
	s.mu.Lock()
	for _, h := range r.Entries {
		s.leases.acknowledge(h.EntryId, h.Config, h.Board)
		s.leases.grant(h.EntryId, now)
	}
	s.mu.Unlock()
	reply := &noderpc.RenewReply{LeaseMs: s.o.EntryLease.Milliseconds(), Revision: s.o.Machine.Board().Revision}
	term, err := s.leading()
	if err != nil {
		return nil, rpcError(err)
	}
	reply.Term = term
	return reply, nil
}

// relayWatch serves an entry's watch on a process that does not lead. The changes come from
// this process's own log. The lease comes from the leader, which has granted it since the watch
// arrived.
//
// While there is no leader, relayWatch holds the watch instead of refusing it. A thousand
// refused entries would all retry at once for as long as the election takes.
func (s *Server) relayWatch(ctx context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	if e := s.checkRelay(r); e != nil {
		return nil, rpcError(e)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMs)*time.Millisecond+relayGrace)
	defer cancel()
	holding := &noderpc.EntryHolding{EntryId: r.EntryId, Board: r.HaveRevision, Config: r.HaveConfig}
	s.relay.enqueue(holding)
	if s.waitForChange(ctx, r) && r.HaveRevision > 0 {
		s.waitForSlot(ctx, r.EntryId, len(s.o.Machine.Board().Entries)/max(1, len(s.o.Consensus.Status().Members)))
	}
	granted, err := s.waitForRenewal(ctx, holding)
	if err != nil {
		return nil, rpcError(err)
	}
	if err := s.waitForRevision(ctx, granted.Revision); err != nil {
		return nil, rpcError(err)
	}
	s.relay.countAnswer()
	return s.replyTo(r, granted.Term, time.Duration(granted.LeaseMs)*time.Millisecond)
}

// checkRelay returns an error for a watch that only the leader can serve: the entry is not
// registered with these details, or holds a newer board than this process has applied.
func (s *Server) checkRelay(r *noderpc.WatchRequest) error {
	board := s.o.Machine.Board()
	if board.Entries[r.EntryId] == entryOf(r) && r.ClusterId == board.ClusterID && r.HaveRevision <= board.Revision {
		return nil
	}
	return failure.New(failure.TypeNotLeader, "this control process does not lead, and can't answer this watch for the leader").
		WithDetail(s.o.Consensus.Status().Leader.Address).WithRan(failure.RanNo)
}

// waitForRenewal waits until the leader has renewed an entry's lease in a call that was sent
// after waitForRenewal began.
func (s *Server) waitForRenewal(ctx context.Context, h *noderpc.EntryHolding) (*noderpc.RenewReply, error) {
	for {
		round := s.relay.enqueue(h)
		select {
		case <-round.done:
		case <-ctx.Done():
			return nil, renewalTimedOut()
		}
		if round.err == nil {
			return round.reply, nil
		}
		select {
		case <-time.After(relayPollInterval):
		case <-ctx.Done():
			return nil, errors.Trace(round.err)
		}
	}
}

// waitForRevision waits until this process has applied a revision.
func (s *Server) waitForRevision(ctx context.Context, revision uint64) error {
	for s.o.Machine.Board().Revision < revision {
		select {
		case <-time.After(relayPollInterval):
		case <-ctx.Done():
			return failure.New(failure.TypeUnavailable, "this control process is behind the leader").WithRan(failure.RanNo)
		}
	}
	return nil
}

func renewalTimedOut() error {
	return failure.New(failure.TypeUnavailable, "the leader did not renew the lease in time").WithRan(failure.RanNo)
}

// countAnswer counts a watch that this process has served.
func (r *relay) countAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered++
}
