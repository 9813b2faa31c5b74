package entry

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

const (
	// replyMargin is how long a reply may take beyond the time that the coordinator holds the
	// call. A request that gets no reply is decided here; so it loses at most lateHold and this
	// time, and one that may be on time its time to be so and this time.
	replyMargin = 40 * time.Millisecond
	// leastCoordinatorBackoff and maxCoordinatorBackoff bound how long a coordinator is not
	// asked after a failed call. The time doubles with each failure in a row.
	leastCoordinatorBackoff = 500 * time.Millisecond
	maxCoordinatorBackoff   = 8 * time.Second
	// flushAfter is how long the end of a grant waits for a call that carries it.
	flushAfter = 100 * time.Millisecond
	// maxFinishedKept bounds the ends of grants kept for one coordinator. Later ones are
	// dropped: the groups' reports show them.
	maxFinishedKept = 256
)

// errWithdrawn ends the wait of a request whose caller is gone.
const errWithdrawn = errors.ConstError("the caller is gone")

// heldGrant is a grant of a coordinator that this entry has not returned.
type heldGrant struct {
	part   coordinatorPart
	home   string
	number uint64
}

// sharedQueue is this entry's side of the shared queues of all models. It is safe for concurrent
// use.
type sharedQueue struct {
	mu    sync.Mutex
	peers map[string]*coordinatorPeer
}

// coordinatorPeer is what this entry keeps of one coordinator.
type coordinatorPeer struct {
	failures int
	// askAgain is when the coordinator may be asked again.
	askAgain time.Time
	// finished holds the ends of grants to be sent, oldest since finishedAt.
	finished   map[coordinatorPart][]*noderpc.FinishedGrant
	finishedAt time.Time
}

func newSharedQueue() *sharedQueue { return &sharedQueue{peers: make(map[string]*coordinatorPeer)} }

// peer returns the state of a coordinator. The caller holds the lock.
func (q *sharedQueue) peer(id string) *coordinatorPeer {
	p := q.peers[id]
	if p == nil {
		p = &coordinatorPeer{finished: make(map[coordinatorPart][]*noderpc.FinishedGrant)}
		q.peers[id] = p
	}
	return p
}

func (q *sharedQueue) mayAsk(now time.Time, id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !now.Before(q.peer(id).askAgain)
}

// answered records a reply, failed a call without one.
func (q *sharedQueue) answered(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peer(id).failures = 0
}

func (q *sharedQueue) failed(now time.Time, id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(id)
	p.askAgain = now.Add(min(leastCoordinatorBackoff<<min(p.failures, 8), maxCoordinatorBackoff))
	p.failures++
}

// finish keeps the end of a grant for the next call to its coordinator.
func (q *sharedQueue) finish(now time.Time, h *heldGrant, used bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(h.home)
	if len(p.finished) == 0 {
		p.finishedAt = now
	}
	if list := p.finished[h.part]; len(list) < maxFinishedKept {
		p.finished[h.part] = append(list, &noderpc.FinishedGrant{Grant: h.number, Used: used})
	}
}

// takeFinished returns and forgets the ends of grants of a part.
func (q *sharedQueue) takeFinished(id string, part coordinatorPart) []*noderpc.FinishedGrant {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(id)
	list := p.finished[part]
	delete(p.finished, part)
	return list
}

// due returns the parts whose ends of grants have waited for flushAfter, by coordinator.
func (q *sharedQueue) due(now time.Time) map[coordinatorPart]string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out map[coordinatorPart]string
	for id, p := range q.peers {
		if len(p.finished) == 0 || now.Sub(p.finishedAt) < flushAfter || now.Before(p.askAgain) {
			continue
		}
		p.finishedAt = now
		for part := range p.finished {
			if out == nil {
				out = make(map[coordinatorPart]string)
			}
			out[part] = id
		}
	}
	return out
}

// usesSharedQueue reports whether a job may wait in the shared queue of its model: a new stream
// with an objective. Further attempts, resumed streams and suspects are decided here.
func (s *Server) usesSharedQueue(now time.Time, j *job) bool {
	return j.isGated() && !j.forward.resume && !j.nonIdempotent && s.dispatcher.isShort(now, j.model) &&
		!s.suspectOf(j).IsSuspected()
}

// admit waits until the job may run: in the shared queue while its model is short of room,
// otherwise, or if no coordinator answers, in this entry's own queue.
func (s *Server) admit(j *job) (grant, *failure.Error) {
	if e := s.refuseUnreachable(j); e != nil {
		return grant{}, e
	}
	for s.usesSharedQueue(time.Now(), j) {
		reply, part, home, cause := s.acquire(j)
		if cause != "" {
			s.o.Metrics.CoordinatorFallback(cause)
			j.lines.Info("event", "acquire", "request", j.id, "model", j.model, "part", part.index, "coordinator", home, "outcome", cause)
			break
		}
		if reply.Group != "" {
			held := &heldGrant{part, home, reply.Grant}
			g, ok := s.dispatcher.takeGranted(time.Now(), j, reply.Group, home)
			if !ok {
				s.shared.finish(time.Now(), held, false)
				s.o.Metrics.CoordinatorFallback("unusable")
				break
			}
			j.held = held
			return g, nil
		}
		if reply.Reason == replyWaits {
			continue
		}
		return grant{}, refusal(admission.Refusal{
			Reason: admission.Reason(reply.Reason), RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
		})
	}
	return s.dispatcher.admit(j)
}

// acquire asks the coordinator of the job's part once. cause is not empty if the job must be
// decided here.
func (s *Server) acquire(j *job) (reply *noderpc.AcquireReply, part coordinatorPart, home, cause string) {
	board := s.o.Follower.Board()
	groups := s.partitions.of(board)
	part, ok := groups.partOf(j.id, j.model, func(id string) bool { return s.dispatcher.mayUse(j, id) })
	if !ok {
		return nil, part, "", "no_coordinator"
	}
	home = groups.homes[part]
	now := time.Now()
	if !s.shared.mayAsk(now, home) {
		return nil, part, home, "backoff"
	}
	r := s.acquireRequest(now, j, board, part, groups)
	r.Finished = s.shared.takeFinished(home, part)
	reply, err := s.callCoordinator(j.ctx, board, home, r)
	switch {
	case j.ctx.Err() != nil:
		return nil, part, home, errWithdrawn.Error()
	case err != nil:
		s.shared.failed(time.Now(), home)
		j.lines.Info("event", "acquire_failed", "request", j.id, "coordinator", home, "took_ms", time.Since(now).Milliseconds(), "err", err)
		return nil, part, home, "failed"
	}
	s.shared.answered(home)
	if reply.Group == "" && reply.Reason == replyDecide {
		return nil, part, home, replyDecide
	}
	return reply, part, home, ""
}

func (s *Server) acquireRequest(now time.Time, j *job, b *blackboard.Board, part coordinatorPart, p *partition) *noderpc.AcquireRequest {
	return &noderpc.AcquireRequest{
		ClusterId: b.ClusterID, EntryId: s.o.ID, Model: j.model, Part: int64(part.index), Request: j.id,
		Class: j.class, Workspace: j.workspace, Homes: j.homes, Tokens: int64(j.tokens()), Exclude: j.tried,
		OnTimeMs: s.dispatcher.onTimeLeft(now, j).Milliseconds(), DeadlineMs: j.deadline.Sub(now).Milliseconds(),
		Loads: s.groupLoads(now, part, p),
	}
}

// groupLoads returns the loads of a part's groups that this entry has seen.
func (s *Server) groupLoads(now time.Time, part coordinatorPart, p *partition) []*noderpc.GroupLoad {
	if part.index >= len(p.models[part.model]) {
		return nil
	}
	lag := s.reportLag(part.model)
	var list []*noderpc.GroupLoad
	for id, l := range s.dispatcher.lastReports(now, p.models[part.model][part.index]) {
		list = append(list, &noderpc.GroupLoad{
			Group: id, Running: int64(l.Running), Queued: int64(l.Queued), AgeMs: (now.Sub(l.At) + lag).Milliseconds(),
		})
	}
	return list
}

// callCoordinator makes one call, which ends a little after the coordinator should have replied.
func (s *Server) callCoordinator(ctx context.Context, b *blackboard.Board, home string, r *noderpc.AcquireRequest) (*noderpc.AcquireReply, error) {
	wait := replyMargin
	if r.Request != "" {
		wait += holdFor(r)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply, err := s.entryClient(home, b.Entries[home]).Acquire(ctx, r)
	return reply, errors.Trace(err)
}

// returnGrant ends the job's grant, if it holds one. used is set if an attempt was made.
func (s *Server) returnGrant(j *job, used bool) {
	if j.held == nil {
		return
	}
	s.shared.finish(time.Now(), j.held, used)
	j.held = nil
}

// flushGrants sends the ends of grants that no call has carried.
func (s *Server) flushGrants(ctx context.Context, now time.Time) {
	due := s.shared.due(now)
	if len(due) == 0 {
		return
	}
	board := s.o.Follower.Board()
	groups := s.partitions.of(board)
	for part, home := range due {
		r := &noderpc.AcquireRequest{
			ClusterId: board.ClusterID, EntryId: s.o.ID, Model: part.model, Part: int64(part.index),
			Finished: s.shared.takeFinished(home, part), Loads: s.groupLoads(now, part, groups),
		}
		go func() {
			// A lost end is shown by the group's next report.
			if _, err := s.callCoordinator(ctx, board, home, r); err != nil {
				s.shared.failed(time.Now(), home)
			}
		}()
	}
}

// groupLimit returns how many requests a group of a model may run; 0 without an engine that
// states its slots.
func (s *Server) groupLimit(model string) int {
	known := s.dispatcher.requestLimits()[model]
	if table := s.routing.Load(); table != nil {
		n := groupLimit(engineOf(table.config, model))
		if known > 0 {
			n = min(n, known)
		}
		return n
	}
	return 0
}

// usualTime returns the mean time of a request of a model at full slots; 0 if the engine's
// figures are not known.
func (s *Server) usualTime(model string) time.Duration {
	table := s.routing.Load()
	if table == nil {
		return 0
	}
	if e := engineOf(table.config, model); e != nil {
		return e.UsualAnswerTime(model)
	}
	return 0
}

// reportLag returns the age of the loads that groups of a model report.
func (s *Server) reportLag(model string) time.Duration {
	if table := s.routing.Load(); table != nil {
		if e := engineOf(table.config, model); e != nil {
			return time.Duration(e.ReportLagMillis * float64(time.Millisecond))
		}
	}
	return 0
}
