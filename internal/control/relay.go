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
	// renewInterval is the time between two messages to the leader for the entries whose
	// watches this process answers.
	renewInterval = 100 * time.Millisecond
	// renewTimeout bounds one of them.
	renewTimeout = 500 * time.Millisecond
	// relayGrace is how much longer than its hold a watch may wait for a leader and for
	// the lease.
	relayGrace = 400 * time.Millisecond
	// relayPollInterval is how often a watch looks whether there is a leader, or a revision.
	relayPollInterval = 10 * time.Millisecond
)

// Renewer calls the leader to renew leases.
type Renewer interface {
	Renew(ctx context.Context, leader string, r *noderpc.RenewRequest) (*noderpc.RenewReply, error)
}

// relay renews the leases of the entries whose watches this process answers although it does
// not lead, many in one message.
//
// Load: a thousand entries watch. Answered by the leader alone, each change of the board is a
// thousand answers of one process and each renewal one more; divided among the control
// processes, the leader gets some messages a second from each.
type relay struct {
	mu      sync.Mutex
	waiting map[string]*noderpc.EntryHolding
	// next is the round that will renew what waits.
	next *renewal
	// answered counts the watches that this process has answered for the leader.
	answered uint64
}

// renewal is one message to the leader. done closes with its outcome.
type renewal struct {
	done  chan struct{}
	reply *noderpc.RenewReply
	err   error
}

func newRelay() *relay {
	return &relay{waiting: make(map[string]*noderpc.EntryHolding), next: &renewal{done: make(chan struct{})}}
}

// note adds what an entry holds to the next message, and returns that.
func (r *relay) enqueue(h *noderpc.EntryHolding) *renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting[h.EntryId] = h
	return r.next
}

// take returns the round that is due and what it renews, and begins another; nil if nothing
// waits.
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

// renewLoop sends what waits to the leader until the context ends.
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

// Renew notes what entries hold and grants them leases. The leases are noted before the board
// is read, as in grant.
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
	reply := &noderpc.RenewReply{LeaseMs: s.o.Lease.Milliseconds(), Revision: s.o.Machine.Board().Revision}
	term, err := s.leading()
	if err != nil {
		return nil, rpcError(err)
	}
	reply.Term = term
	return reply, nil
}

// relayWatch answers the watch of an entry on a process that does not lead: from its own log,
// with a lease that the leader has granted since the watch came.
//
// While no process leads, the watch is held and not refused: a thousand entries that are
// refused ask again at once, all of them, for as long as an election takes.
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

// checkRelay refuses a watch that only the leader can answer: of an entry that is not registered
// as it says, or that holds more than this process has applied.
func (s *Server) checkRelay(r *noderpc.WatchRequest) error {
	board := s.o.Machine.Board()
	if board.Entries[r.EntryId] == entryOf(r) && r.ClusterId == board.ClusterID && r.HaveRevision <= board.Revision {
		return nil
	}
	return failure.New(failure.TypeNotLeader, "this control process does not lead, and can't answer for the one that does").
		WithDetail(s.o.Consensus.Status().Leader.Address).WithRan(failure.RanNo)
}

// renewed waits until the leader has renewed an entry's lease in a message that left after
// the call.
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

// reach waits until this process has applied a revision.
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
	return failure.New(failure.TypeUnavailable, "the leader renewed no lease in time").WithRan(failure.RanNo)
}

// count counts an answer.
func (r *relay) countAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered++
}
