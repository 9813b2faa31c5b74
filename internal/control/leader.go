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

// Times of the leader's upkeep.
const (
	// expireInterval is how often records are expired. Claims wait for their
	// outcome ten seconds past the deadline, so a few seconds more tell no one
	// anything false.
	expireInterval = 5 * time.Second
	// removeEntryAfter is how long an entry's lease must be out before the
	// entry is forgotten: longer than a restart of its VM takes.
	removeEntryAfter = 10 * time.Minute
)

// meter adds up the brief's two measures while this process leads.
type meter struct {
	last       time.Time
	total      adminapi.Measures
	lastExpiry time.Time
}

// leadership is what one term of leadership keeps.
type leadership struct {
	term uint64
	mu   sync.Mutex
	// memory is used by the controllers' run and by answers of engines.
	memory *controller.Memory
	// runTime is how long the controllers have run in this term.
	runTime time.Duration
	// replicas are the roles of the control replicas at the last step.
	replicas map[string]string
}

// Run runs the controllers while this process leads, until the context ends.
func (s *Server) Run(ctx context.Context) {
	if s.o.Renewer != nil {
		go s.renewLoop(ctx)
	}
	ticker := time.NewTicker(s.o.Step)
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
			o = &leadership{term: term, memory: controller.NewMemory(time.Now(), s.o.OrderLease)}
		}
		s.reportReplicaChanges(o)
		began := o.runTime
		// What one run has written the next may build on at once.
		for range maxRuns {
			if !s.step(ctx, o) {
				break
			}
		}
		s.pause(ctx, min((o.runTime-began)*pausePerRunTime, maxPause))
	}
}

// pausePerRunTime is how many times as long as the controllers ran they rest after it.
//
// Load: hundreds of backend servers tell of a change each within a second, and each
// word wakes the controllers. A run over a large pool takes some milliseconds; run after
// each word they take the whole processor, and what the consensus has to send waits.
// With a rest of three times the run they take a quarter of it, and what was told
// meanwhile is dealt with in one run.
const pausePerRunTime = 3

// maxPause bounds the rest after a long run, such as the one that forms all groups of
// a pool, so that the first orders of what it formed are not late.
const maxPause = 100 * time.Millisecond

// rest lets others have the processor.
func (s *Server) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reportReplicaChanges writes an event for each control replica that came, went or
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

// sample feeds the control metrics. It is called from Run alone.
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
	}
}

// step runs the controllers once and carries out what they want. It tells
// whether anything was written. The lease is
// read before the board, so that a board read under it is this leader's.
func (s *Server) step(ctx context.Context, o *leadership) bool {
	now := time.Now()
	view := controller.View{Timing: s.o.Timing, LeaseUntil: now.Add(s.o.Consensus.LeaseRemaining())}
	view.Board = s.o.Machine.Board()
	view.Stalled = s.stalledGroups(now, view.Board)
	view.Term = view.Board.TermBase + o.term
	if view.Board.ClusterID == "" {
		return false
	}
	var actions controller.Actions
	s.o.Evidence.With(func(t *evidence.Table) {
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
	s.upkeep(ctx, view.Board, now)
	return len(actions.Commands) > 0
}

// maxRuns bounds the runs of the controllers in one step; forming a group,
// beginning to load and freeing members take a run each.
const maxRuns = 4

func (s *Server) logDecisions(decisions []controller.Decision) {
	for _, d := range decisions {
		_ = level.Info(s.o.Logger).Log("event", "decision", "kind", d.Kind, "subject", d.Subject,
			"choice", d.Choice, "runner_up", d.RunnerUp, "reason", d.Reason)
		s.event(eventKind(d.Kind), d.Subject, d.Kind+" "+d.Choice+": "+d.Reason)
	}
}

func eventKind(decision string) string {
	if decision == "vm" {
		return "vm"
	}
	return "group"
}

// commandTimeout bounds the commit of one command of a controller; what is
// not committed is decided anew in the next step.
const commandTimeout = time.Second

// propose commits the commands in order, in as few entries of the log as they
// fit. A later one may build on an earlier one, so the first failure ends the
// step; each command checks its own preconditions when it is applied.
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

// maxBatch bounds the commands of one entry of the log; a command has a few
// hundred bytes.
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

// send sends the orders side by side, each with its deadline, which lies
// within this leader's lease.
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
	o.memory.Answered(time.Now(), p, reply, err)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// measure adds the time since the last step to the brief's two measures.
func (s *Server) measure(view controller.View, now time.Time) {
	var at adminapi.Measures
	s.o.Evidence.With(func(t *evidence.Table) { at = controller.Measures(view.Board, t, now) })
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

// upkeep expires records and forgets entries that are long expired.
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
	command, err := record.Encode(record.Command{Expire: &record.Expire{NowMillis: now.UnixMilli()}})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	_, err = s.o.Consensus.Propose(ctx, Wrap(noderpc.Machine_MACHINE_RECORDS, command))
	return errors.Trace(err)
}

// How long a request stays suspect after its last crash: one that shared a
// crash for an hour, one that was convicted for a day.
const (
	suspectLifetime    = time.Hour
	attributedLifetime = 24 * time.Hour
)

func expiredSuspects(board *blackboard.Board, now time.Time) []blackboard.Command {
	var old []blackboard.Command
	for fingerprint, suspect := range board.Suspects {
		lifetime := suspectLifetime
		if suspect.Convicted() {
			lifetime = attributedLifetime
		}
		if now.Sub(time.UnixMilli(suspect.LastMillis)) > lifetime {
			old = append(old, &blackboard.ForgetSuspect{Fingerprint: fingerprint})
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
