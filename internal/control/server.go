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
	"github.com/citronstep/citronstep/internal/demand"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Consensus is the part of a consensus replica that the control role uses.
type Consensus interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	ReadBarrier(ctx context.Context) error
	Status() replica.Status
	LeaseRemaining() time.Duration
	Found(ctx context.Context) error
	TransferLeadership(ctx context.Context) error
}

// Evidence gives the leader what the entry on the same VM knows about backend servers, from
// their own announcements and from peers.
type Evidence interface {
	// WithTable calls f with the table. No other goroutine changes the table during the call.
	WithTable(f func(*evidence.Table))
}

// OrderSender sends orders to engines.
type OrderSender interface {
	Order(ctx context.Context, address string, o backend.Order) (backend.OrderReply, error)
}

// Options configure a Server.
type Options struct {
	Machine   *Machine
	Consensus Consensus
	Evidence  Evidence
	Orders    OrderSender
	Logger    log.Logger
	// EntryLease is how long an entry may serve without a message from the leader.
	EntryLease time.Duration
	// StepInterval is the time between two runs of the controllers.
	StepInterval time.Duration
	// MaxOrderLease is the longest lease of an earlier leader. A new leader sends no order until
	// that time has passed.
	MaxOrderLease time.Duration
	// Timing overrides the default times of the controllers.
	Timing controller.Timing
	// MinDisks is how many disks must hold a change before it is acknowledged. With 0, a
	// majority of the current voters is enough.
	MinDisks int
	// Renewer renews leases through the leader. It is nil if this process serves no watches
	// while another process leads.
	Renewer Renewer
	// VM is the name of this VM.
	VM string
	// DataCentres are the data centres that the settings name; the board may name others.
	DataCentres []string
	Metrics     *metrics.Control
}

// Server is the control role of one process.
type Server struct {
	o Options

	mu     sync.Mutex
	leases *leases
	// rateLimits is used only by Run.
	rateLimits rateLimitAges
	term       uint64
	relay      *relay
	events     *eventLog
	meter      meter
	// stalls holds the entries' reports of groups without progress.
	stalls *controller.StallReports
	// withheldStalls is how many confirmed stalls the last look held against no group.
	withheldStalls int
	// demand sums the entries' reports of demand in this term.
	demand *demand.Table
	// demandMinEntries is the number of entries from which layouts follow demand.
	demandMinEntries int
	// demandWrittenAt is when the demand was last written to the board; only Run uses it.
	demandWrittenAt time.Time
	// steady times what entries report.
	steady steadyClock
	// loggedSuspects is the table of suspects at the last call of logSuspects; only Run uses it.
	loggedSuspects map[string]blackboard.Suspect
	// woken triggers a step before the next tick.
	woken chan struct{}
	// sampled is the time of the last metrics sample; only Run uses it.
	sampled time.Time
}

// NewServer returns a server. Run starts its work.
func NewServer(o Options) *Server {
	return &Server{
		o: o, woken: make(chan struct{}, 1), stalls: controller.NewStallReports(), events: newEventLog(), relay: newRelay(),
		leases: newLeases(o.EntryLease, clock.Now()), rateLimits: make(rateLimitAges), demand: demand.NewTable(),
		demandMinEntries: demand.MinEntries, steady: newSteadyClock(),
	}
}

// leading returns the term in which this process leads, or a failure that names the leader. The
// result holds only at the moment of the call: a caller that waits must call leading again.
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

// enterTerm resets the lease table, the events and the measures when a new term begins.
func (s *Server) enterTerm(term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.term {
		return
	}
	s.term = term
	s.leases = newLeases(s.o.EntryLease, clock.Now())
	s.events.reset(s.o.VM)
	s.meter = meter{}
	s.demand = demand.NewTable()
	_ = level.Info(s.o.Logger).Log("event", "leading", "term", term)
}

// commitBoard commits one command for the board and decodes its result.
func (s *Server) commitBoard(ctx context.Context, c blackboard.Command, result any) error {
	encoded, err := blackboard.Encode(c)
	if err != nil {
		return errors.Trace(err)
	}
	data, err := s.o.Consensus.Propose(ctx, LogCommand(noderpc.Machine_MACHINE_BOARD, encoded))
	if err != nil {
		return errors.Trace(toFailure(err))
	}
	return errors.Trace(json.Unmarshal(data, result))
}

// proposeDurably commits a command whose success is reported outside the cluster. It returns an
// error while a majority of the voters is fewer than MinDisks disks.
//
// Failure: right after founding there is one voter. It alone syncs a change, the change is
// acknowledged, and the disk is lost. The change is lost too, although the cluster is meant to
// survive the loss of a disk. The voters are counted again after the commit, because the
// membership may have changed in between.
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

// hasDurableMajority reports whether a majority of the voters is at least MinDisks disks.
func (s *Server) hasDurableMajority() bool {
	voters := 0
	for _, m := range s.o.Consensus.Status().Members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2+1 >= s.o.MinDisks
}

// toFailure converts an error of the consensus replica to a failure for peers and operators.
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
