package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Consensus is what the control role needs of a consensus replica.
type Consensus interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
	Status() replica.Status
	LeaseRemaining() time.Duration
	Found(ctx context.Context) error
	TransferLeadership(ctx context.Context) error
}

// Evidence gives the leader what the entry on the same VM has heard of
// backend servers, directly and from its peers.
type Evidence interface {
	// With calls f with the table; no one else changes it meanwhile.
	With(f func(*evidence.Table))
}

// OrderSender sends orders to engines.
type OrderSender interface {
	Order(ctx context.Context, address string, o backend.Order) (backend.OrderReply, error)
}

// Options are what a Server is made of.
type Options struct {
	Machine   *Machine
	Consensus Consensus
	Evidence  Evidence
	Orders    OrderSender
	Logger    log.Logger
	// Lease is how long an entry may serve without hearing from the leader.
	Lease time.Duration
	// Step is the time between two runs of the controllers.
	Step time.Duration
	// OrderLease is the longest lease of an earlier leader; a new leader gives
	// no order before it has run out.
	OrderLease time.Duration
	// Timing is what the controllers go by where it is not the default.
	Timing controller.Timing
	// MinDisks is how many disks must hold a change before it is acknowledged;
	// 0 leaves it to the majority of whatever voters there are.
	MinDisks int
	// Renewer renews leases through the leader; nil if this process answers no watches for
	// another one.
	Renewer Renewer
	// VM is this machine's name.
	VM string
	// DataCentres are those that the settings name; the board may know others.
	DataCentres []string
	Metrics     *metrics.Control
}

// Server is the control role of one process.
type Server struct {
	o Options

	mu     sync.Mutex
	leases *leases
	// rateLimits is used by Run alone.
	rateLimits rateLimitAges
	term       uint64
	relay      *relay
	events     *eventLog
	meter      meter
	// stalls holds what entries told of groups without progress.
	stalls *controller.Stalls
	// woken asks for a step before its time.
	woken chan struct{}
	// sampled is when the metrics were last fed; Run alone uses it.
	sampled time.Time
}

// NewServer returns a server; Run makes it work.
func NewServer(o Options) *Server {
	return &Server{
		o: o, woken: make(chan struct{}, 1), stalls: controller.NewStalls(), events: newEventLog(), relay: newRelay(),
		leases: newLeases(o.Lease, clock.Now()), rateLimits: make(rateLimitAges),
	}
}

// leading returns the term that this process leads, or a toFailure refusal that
// names the leader. It holds only for the instant: a caller that waits after
// it asks again.
func (s *Server) leading() (uint64, error) {
	st := s.o.Consensus.Status()
	if !st.Founded {
		return 0, failure.New(failure.TypeNotFounded, "the cluster is not founded: run citronstep init").WithRan(failure.RanNo)
	}
	if s.o.Consensus.LeaseRemaining() <= 0 {
		return 0, failure.New(failure.TypeNotLeader, "this control process does not lead").
			WithDetail(st.Leader.Address).WithRan(failure.RanNo)
	}
	s.enterTerm(st.Term)
	return st.Term, nil
}

// enterTerm starts the lease table of a new term.
func (s *Server) enterTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.term {
		return
	}
	s.term = term
	s.leases = newLeases(s.o.Lease, clock.Now())
	s.events.reset(s.o.VM)
	s.meter = meter{}
	_ = level.Info(s.o.Logger).Log("event", "leading", "term", term)
}

// commitBoard writes one command of the board and decodes its result.
func (s *Server) commitBoard(ctx context.Context, c blackboard.Command, result any) error {
	encoded, err := blackboard.Encode(c)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := s.o.Consensus.Propose(ctx, Wrap(noderpc.Machine_MACHINE_BOARD, encoded))
	if err != nil {
		return errors.Trace(toFailure(err))
	}
	return errors.Trace(json.Unmarshal(data, result))
}

// proposeDurably writes a command of which someone outside is told that it is
// kept. It refuses while a majority of the voters is fewer disks than MinDisks.
//
// Failure: right after the founding there is one voter. A change that it alone
// has synced is acknowledged, its disk is lost, and the change is gone although
// the cluster is meant to bear the loss. The voters are counted again after
// the commit: a change of the membership may have come between.
func (s *Server) proposeDurably(ctx context.Context, command []byte) ([]byte, error) {
	if !s.hasDurableMajority() {
		return nil, tooFewDisks().WithRan(failure.RanNo)
	}
	data, err := s.o.Consensus.Propose(ctx, command)
	if err != nil {
		return nil, toFailure(err)
	}
	if !s.hasDurableMajority() {
		return nil, tooFewDisks().WithRan(failure.RanUnknown)
	}
	return data, nil
}

func tooFewDisks() *failure.Error {
	return failure.New(failure.TypeUnavailable, "too few control VMs vote to keep a change safe").WithRetryAfter(time.Second)
}

// durable tells whether a majority of the voters is at least MinDisks disks.
func (s *Server) hasDurableMajority() bool {
	voters := 0
	for _, m := range s.o.Consensus.Status().Members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2+1 >= s.o.MinDisks
}

// toFailure turns an error of the consensus replica into one for peers and
// operators.
func toFailure(err error) error {
	var other *replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		return failure.New(failure.TypeNotLeader, err.Error()).WithDetail(other.Leader.Address).WithRan(failure.RanNo)
	case errors.Is(err, replica.ErrNotFounded):
		return failure.New(failure.TypeNotFounded, "the cluster is not founded: run citronstep init").WithRan(failure.RanNo)
	case errors.Is(err, replica.ErrNotProposed), errors.Is(err, replica.ErrRemoved), errors.Is(err, replica.ErrInvalidCommand):
		return failure.New(failure.TypeUnavailable, err.Error()).WithRan(failure.RanNo).WithRetryAfter(time.Second)
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return failure.New(failure.TypeOutcomeUnknown, err.Error()).WithRan(failure.RanUnknown)
	}
	return failure.New(failure.TypeUnavailable, err.Error()).WithRan(failure.RanUnknown)
}
