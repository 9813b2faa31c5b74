package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/adminapi"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/controller"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/record"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Intervals of the leader's periodic clean-up.
const (
	// expireInterval is how often the leader expires records. Claims wait for their outcome
	// until ten seconds past the deadline, so expiring them a few seconds late misleads no
	// caller.
	expireInterval = 5 * time.Second
	// removeEntryAfter is how long an entry's lease must have expired before the leader removes
	// the entry. It is longer than a restart of the entry's VM.
	removeEntryAfter = 10 * time.Minute
)

// meter accumulates group downtime and stranded accelerator time while this process leads.
type meter struct {
	last       time.Time
	total      adminapi.Measures
	lastExpiry time.Time
}

// leadership is the state that lasts for one term of leadership.
type leadership struct {
	term uint64
	mu   sync.Mutex
	// memory is used by runs of the controllers and by the replies of engines.
	memory *controller.Memory
	// runTime is the total time that the controllers have run in this term.
	runTime time.Duration
	// replicas holds the roles of the control replicas as of the last step.
	replicas map[string]string
}

// Run runs the controllers while this process leads, until the context ends.
func (s *Server) Run(ctx context.Context) {
	if s.o.Renewer != nil {
		go s.renewLoop(ctx)
	}
	ticker := time.NewTicker(s.o.StepInterval)
	defer ticker.Stop()
	var o *leadership
	for {
		select {
		case <-ticker.C:
		case <-s.woken:
		case <-ctx.Done():
			return
		}
		term, err := s.leading()
		s.sample(err == nil)
		if err != nil {
			o = nil
			continue
		}
		if o == nil || o.term != term {
			o = &leadership{term: term, memory: controller.NewMemory(time.Now(), s.o.MaxOrderLease)}
		}
		s.reportReplicaChanges(o)
		began := o.runTime
		// Later runs act at once on what an earlier run has written.
		for range maxRuns {
			if !s.step(ctx, o) {
				break
			}
		}
		s.pause(ctx, min((o.runTime-began)*pausePerRunTime, maxPause))
	}
}

// pausePerRunTime is the pause after a run of the controllers, as a multiple of the run's time.
//
// Load: hundreds of backend servers each announce a change within one second, and each
// announcement wakes the controllers. A run over a large pool takes some milliseconds. A run
// for each announcement would take the whole processor and delay the messages of the consensus.
// With a pause of three times the run, the controllers take a quarter of the processor, and one
// run handles all announcements that arrived in the pause.
const pausePerRunTime = 3

// maxPause bounds the pause after a long run, such as a run that forms all groups of a pool, so
// that the first orders to the new groups are not delayed.
const maxPause = 100 * time.Millisecond

// pause leaves the processor to other goroutines for d.
func (s *Server) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reportReplicaChanges adds an event for each control replica that was added, was removed, or
// changed between voter and learner.
func (s *Server) reportReplicaChanges(o *leadership) {
	now := make(map[string]string)
	for _, r := range s.replicas() {
		role := r.Role
		if role == "leader" {
			role = "voter"
		}
		now[r.VM+" "+r.ID] = role
	}
	if o.replicas != nil {
		s.addReplicaEvents(o.replicas, now)
	}
	o.replicas = now
}

func (s *Server) addReplicaEvents(before, now map[string]string) {
	for who, role := range now {
		if before[who] != role {
			s.event("replica", who, "is now a "+role)
		}
	}
	for who := range before {
		if _, ok := now[who]; !ok {
			s.event("replica", who, "was removed")
		}
	}
}

// sampleInterval is the time between two samples of the control metrics.
const sampleInterval = time.Second

// sample records the control metrics. Only Run calls it.
func (s *Server) sample(leading bool) {
	now := time.Now()
	if now.Sub(s.sampled) < sampleInterval {
		return
	}
	s.sampled = now
	board := s.o.Machine.Board()
	s.o.Metrics.Sample(s.Status(), board.Config, leading, now)
	if leading {
		s.logPools(board)
		s.o.Metrics.Demand(s.observedDemand(now, board).Models)
	}
}

// step runs the controllers once, commits their commands and sends their orders. It reports
// whether there were any commands. It reads the lease before the board, so a board that was
// read while the lease is valid belongs to this leader's term.
func (s *Server) step(ctx context.Context, o *leadership) bool {
	now := time.Now()
	view := controller.View{Timing: s.o.Timing, LeaseUntil: now.Add(s.o.Consensus.LeaseRemaining())}
	view.Board = s.o.Machine.Board()
	view.Demand = s.observedDemand(now, view.Board)
	view.ConfirmedStalls = s.stalledGroups(now, view.Board)
	view.Term = view.Board.TermBase + o.term
	if view.Board.ClusterID == "" {
		return false
	}
	var actions controller.Actions
	s.o.Evidence.WithTable(func(t *evidence.Table) {
		o.mu.Lock()
		defer o.mu.Unlock()
		view.Evidence, view.Memory = t, o.memory
		began := time.Now()
		actions = controller.Run(view, now)
		o.runTime += time.Since(began)
	})
	s.logDecisions(actions.Decisions)
	s.propose(ctx, actions.Commands)
	s.send(ctx, o, actions.Orders)
	s.measure(view, now)
	s.logSuspects(s.o.Machine.Board())
	s.upkeep(ctx, view.Board, now)
	s.writeDemand(ctx, view.Board, now, view.Demand)
	return len(actions.Commands) > 0
}

// maxRuns bounds the runs of the controllers in one step. Forming a group, starting to load it
// and releasing members each take one run.
const maxRuns = 4

func (s *Server) logDecisions(decisions []controller.Decision) {
	for _, d := range decisions {
		_ = level.Info(s.o.Logger).Log("event", "decision", "kind", d.Kind, "subject", d.Subject,
			"choice", d.Choice, "runner_up", d.RunnerUp, "reason", d.Reason)
		s.event(eventKind(d.Kind), d.Subject, d.Kind+" "+d.Choice+": "+d.Reason)
	}
}

func eventKind(decision string) string {
	if decision == "vm" || decision == "stage" {
		return "vm"
	}
	return "group"
}

// commandTimeout bounds the commit of one command of a controller. The next step decides again
// on a command that was not committed.
const commandTimeout = time.Second

// propose commits the commands in order, in as few log entries as possible. A command may
// depend on an earlier one, so the first failure skips the rest. Each command checks its own
// preconditions when it is applied.
func (s *Server) propose(ctx context.Context, commands []blackboard.Command) {
	for batch := range slices.Chunk(commands, maxBatch) {
		c, err := blackboard.NewBatch(batch)
		if err == nil {
			err = s.proposeOne(ctx, c)
		}
		if err != nil {
			_ = level.Warn(s.o.Logger).Log("event", "command_failed", "err", err)
			return
		}
	}
}

// maxBatch bounds the commands in one log entry; a command has a few hundred bytes.
const maxBatch = 256

func (s *Server) proposeOne(ctx context.Context, c blackboard.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var verdict blackboard.Verdict
	if err := s.commitBoard(ctx, c, &verdict); err != nil {
		return errors.Trace(err)
	}
	if !verdict.Applied {
		_ = level.Debug(s.o.Logger).Log("event", "command_refused", "reason", verdict.Reason)
	}
	return nil
}

// send sends the orders concurrently. The deadline of each order lies within this leader's
// lease.
func (s *Server) send(ctx context.Context, o *leadership, orders []controller.PlannedOrder) {
	for _, p := range orders {
		go s.sendOne(ctx, o, p)
	}
}

func (s *Server) sendOne(ctx context.Context, o *leadership, p controller.PlannedOrder) {
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	defer cancel()
	reply, err := s.o.Orders.Order(ctx, p.Address, p.Order)
	_ = level.Info(s.o.Logger).Log("event", "order", "vm", p.VM, "kind", p.Order.Kind, "group", p.Order.Group,
		"term", p.Order.Token.Term, "epoch", p.Order.Token.Epoch, "accepted", reply.Accepted, "err", errText(err))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory.RecordAnswer(time.Now(), p, reply, err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// measure adds the time since the last step to group downtime and stranded accelerator time.
func (s *Server) measure(view controller.View, now time.Time) {
	var at adminapi.Measures
	s.o.Evidence.WithTable(func(t *evidence.Table) { at = controller.CurrentMeasures(view.Board, t, now) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.meter.last.IsZero() {
		passed := now.Sub(s.meter.last).Seconds()
		s.meter.total.GroupDowntimeSeconds += passed * float64(at.GroupsDown)
		s.meter.total.StrandedAcceleratorSeconds += passed * float64(at.StrandedAccelerators)
	}
	s.meter.last = now
	s.meter.total.GroupsDown = at.GroupsDown
	s.meter.total.StrandedAccelerators = at.StrandedAccelerators
}

func (s *Server) measures() adminapi.Measures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.meter.total
}

// upkeep expires records, suspects and rate limits, and removes entries whose leases expired
// long ago.
func (s *Server) upkeep(ctx context.Context, board *blackboard.Board, now time.Time) {
	s.mu.Lock()
	due := now.Sub(s.meter.lastExpiry) >= expireInterval
	if due {
		s.meter.lastExpiry = now
	}
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.expireRecords(ctx, now); err != nil {
		_ = level.Warn(s.o.Logger).Log("event", "expire_failed", "err", err)
	}
	s.propose(ctx, s.expiredEntries(board))
	s.propose(ctx, expiredSuspects(board, now))
	s.propose(ctx, s.rateLimits.unconfirmed(now, board))
}

func (s *Server) expireRecords(ctx context.Context, now time.Time) error {
	command, err := record.EncodeCommand(record.Command{Expire: &record.Expire{NowMillis: now.UnixMilli()}})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err = s.o.Consensus.Propose(ctx, LogCommand(noderpc.Machine_MACHINE_RECORDS, command))
	return errors.Trace(err)
}

func expiredSuspects(board *blackboard.Board, now time.Time) []blackboard.Command {
	var old []blackboard.Command
	for fingerprint, suspect := range board.Suspects {
		if now.UnixMilli() > suspect.ExpiresMillis() {
			old = append(old, &blackboard.ClearSuspect{Fingerprint: fingerprint})
		}
	}
	return old
}

func (s *Server) expiredEntries(board *blackboard.Board) []blackboard.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	var expired []blackboard.Command
	now := clock.Now()
	for id := range board.Entries {
		if now.Sub(s.leases.holding(id).until) > removeEntryAfter {
			expired = append(expired, &blackboard.RemoveEntry{ID: id})
		}
	}
	return expired
}

var _ OrderSender = (backend.Client)(nil)
