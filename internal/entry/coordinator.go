package entry

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/citronstep/citronstep/internal/coordination"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Replies of a coordinator without a group that are no refusals.
const (
	// replyWaits asks the entry to ask again.
	replyWaits = "waits"
	// replyDecide means that the coordinator can't grant the request, and the entry decides.
	replyDecide = "decide"
)

const (
	// coordinatorIdle is how long a part that nobody asks for is kept.
	coordinatorIdle = 30 * time.Second
	// coordinatorRefresh is the time between two looks at the part's groups.
	coordinatorRefresh = 100 * time.Millisecond
	// lateHold is how long a request that is late already waits for one reply, holdMargin how
	// much longer one that may be on time waits after that has passed.
	lateHold   = 500 * time.Millisecond
	holdMargin = 10 * time.Millisecond
	leastHold  = 20 * time.Millisecond
)

// coordinators holds the parts that this entry coordinates.
type coordinators struct {
	mu    sync.Mutex
	parts map[coordinatorPart]*partQueue
}

// partQueue is the shared queue of one part.
type partQueue struct {
	mu sync.Mutex
	c  *coordination.Coordinator
	// replies holds the channel of each call that waits, by entry and request.
	replies     map[callKey]chan coordination.Decision
	usedAt      time.Time
	refreshedAt time.Time
	policy      uint64
}

type callKey struct{ entry, request string }

func newCoordinators() *coordinators {
	return &coordinators{parts: make(map[coordinatorPart]*partQueue)}
}

// Acquire lets a request of some entry wait in the shared queue of a part that this entry
// coordinates. An entry whose board names another coordinator gets an error and decides alone.
func (h localHome) Acquire(ctx context.Context, r *noderpc.AcquireRequest) (*noderpc.AcquireReply, error) {
	s := h.s
	part := coordinatorPart{r.Model, int(r.Part)}
	groups := s.partitions.of(s.o.Follower.Board())
	if groups.homes[part] != s.o.ID {
		return nil, twirp.NotFound.Error("this entry does not coordinate the part")
	}
	now := time.Now()
	q := s.coordinators.get(now, part, s.newCoordinator)
	q.mu.Lock()
	s.refreshPart(now, q, part, groups)
	for _, f := range r.Finished {
		q.c.Finish(now, r.EntryId, f.Grant, f.Used)
	}
	for _, l := range r.Loads {
		at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		q.c.Report(now, l.Group, coordination.Load{Running: int(l.Running), Queued: int(l.Queued), At: at})
	}
	if r.Request == "" {
		s.deliver(q, q.c.Decide(now))
		q.mu.Unlock()
		return &noderpc.AcquireReply{}, nil
	}
	key, reply := callKey{r.EntryId, r.Request}, make(chan coordination.Decision, 1)
	q.replies[key] = reply
	s.deliver(q, q.c.Offer(now, requestOf(now, r)))
	s.deliver(q, q.c.Decide(now))
	q.mu.Unlock()
	return s.awaitDecision(ctx, q, key, reply, holdFor(r)), nil
}

func requestOf(now time.Time, r *noderpc.AcquireRequest) coordination.Request {
	return coordination.Request{
		ID: r.Request, Entry: r.EntryId, Class: r.Class, Workspace: r.Workspace, Homes: r.Homes, Tokens: int(r.Tokens), Exclude: r.Exclude,
		OnTimeUntil: now.Add(time.Duration(r.OnTimeMs) * time.Millisecond),
		Deadline:    now.Add(time.Duration(r.DeadlineMs) * time.Millisecond),
	}
}

// holdFor returns how long a call waits at most for its reply.
func holdFor(r *noderpc.AcquireRequest) time.Duration {
	if r.OnTimeMs <= 0 {
		return lateHold
	}
	return min(lateHold, max(leastHold, time.Duration(r.OnTimeMs)*time.Millisecond+holdMargin))
}

// awaitDecision waits until the request is decided, the time is over or its entry gives up.
func (s *Server) awaitDecision(ctx context.Context, q *partQueue, key callKey, reply chan coordination.Decision, hold time.Duration) *noderpc.AcquireReply {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case d := <-reply:
		return replyOf(d)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	decided := false
	select {
	case d := <-reply:
		if ctx.Err() == nil {
			return replyOf(d)
		}
		decided = true
	default:
	}
	// A later call of the same request takes its place over.
	if decided || q.replies[key] == reply {
		delete(q.replies, key)
		now := time.Now()
		q.c.Cancel(now, key.entry, key.request)
		s.deliver(q, q.c.Decide(now))
	}
	return &noderpc.AcquireReply{Reason: replyWaits}
}

func replyOf(d coordination.Decision) *noderpc.AcquireReply {
	switch {
	case d.Grant != nil:
		return &noderpc.AcquireReply{Group: d.Grant.Group, Grant: d.Grant.Number}
	case d.Refusal != nil:
		return &noderpc.AcquireReply{Reason: string(d.Refusal.Reason), RetryAfterMs: d.Refusal.RetryAfter.Milliseconds()}
	}
	return &noderpc.AcquireReply{Reason: replyDecide}
}

// deliver replies to the calls that the decisions end. The caller holds the part's lock.
func (s *Server) deliver(q *partQueue, list []coordination.Decision) {
	for _, d := range list {
		s.logDecision(d)
		key := callKey{d.Request.Entry, d.Request.ID}
		if reply := q.replies[key]; reply != nil {
			delete(q.replies, key)
			reply <- d
		}
	}
}

// logDecision counts a decision and writes one line for a grant, within the limit on lines about
// requests. The entry of a refused request writes that line.
func (s *Server) logDecision(d coordination.Decision) {
	switch {
	case d.Grant != nil:
		s.o.Metrics.CoordinatorDecision("granted")
	case d.Refusal != nil:
		s.o.Metrics.CoordinatorDecision(string(d.Refusal.Reason))
		return
	default:
		s.o.Metrics.CoordinatorDecision(replyDecide)
		return
	}
	lines := s.requests.Request()
	defer lines.End(false)
	lines.Info("event", "grant", "request", d.Request.ID, "entry", d.Request.Entry, "class", d.Request.Class,
		"workspace", d.Request.Workspace, "group", d.Grant.Group, "grant", d.Grant.Number, "load", d.Load, "limit", d.Limit,
		"age_ms", d.Age.Milliseconds(), "waiting", d.Waiting)
}

func (c *coordinators) get(now time.Time, part coordinatorPart, create func(model string) *coordination.Coordinator) *partQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.parts[part]
	if q == nil {
		q = &partQueue{c: create(part.model), replies: make(map[callKey]chan coordination.Decision)}
		c.parts[part] = q
	}
	q.usedAt = now
	return q
}

func (s *Server) newCoordinator(model string) *coordination.Coordinator {
	policy, _ := s.dispatcher.currentPolicy()
	return coordination.New(coordination.Options{
		Model: model, Policy: policy, Seed: policy.Seed, FirstGrant: uint64(time.Now().UnixNano()), UsualTime: s.usualTime(model),
		Ramp: time.Duration(s.o.Settings.RampMillis) * time.Millisecond,
	})
}

// refreshPart applies this entry's routes, reports and policy to a part. The caller holds the
// part's lock.
func (s *Server) refreshPart(now time.Time, q *partQueue, part coordinatorPart, p *partition) {
	if now.Sub(q.refreshedAt) < coordinatorRefresh {
		return
	}
	q.refreshedAt = now
	if policy, changes := s.dispatcher.currentPolicy(); changes != q.policy {
		q.policy = changes
		q.c.SetPolicy(now, policy)
	}
	if part.index >= len(p.models[part.model]) {
		return
	}
	ids := p.models[part.model][part.index]
	limit := s.groupLimit(part.model)
	var groups []coordination.Group
	for _, r := range s.dispatcher.routesOf(ids) {
		groups = append(groups, coordination.Group{ID: r.target, Region: r.region, Limit: limit})
	}
	q.c.SetGroups(now, groups)
	for id, l := range s.dispatcher.lastReports(now, ids) {
		q.c.Report(now, id, coordination.Load{Running: l.Running, Queued: l.Queued, At: l.At.Add(-s.reportLag(part.model))})
	}
}

// tickCoordinators decides what follows from time alone in all parts, and removes parts that
// nobody asks for.
func (s *Server) tickCoordinators(now time.Time) {
	s.coordinators.mu.Lock()
	parts := make(map[coordinatorPart]*partQueue, len(s.coordinators.parts))
	for part, q := range s.coordinators.parts {
		if now.Sub(q.usedAt) > coordinatorIdle {
			delete(s.coordinators.parts, part)
			continue
		}
		parts[part] = q
	}
	s.coordinators.mu.Unlock()
	if len(parts) == 0 {
		return
	}
	groups := s.partitions.of(s.o.Follower.Board())
	for part, q := range parts {
		q.mu.Lock()
		s.refreshPart(now, q, part, groups)
		s.deliver(q, q.c.Decide(now))
		q.mu.Unlock()
	}
}

// sharedQueueSizes returns how many requests of all entries wait at this entry as a coordinator,
// and how many of its grants have not ended.
func (s *Server) sharedQueueSizes() (waiting, grants int) {
	s.coordinators.mu.Lock()
	defer s.coordinators.mu.Unlock()
	for _, q := range s.coordinators.parts {
		q.mu.Lock()
		waiting += q.c.Waiting()
		grants += q.c.Granted()
		q.mu.Unlock()
	}
	return waiting, grants
}
