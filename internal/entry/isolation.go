package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// Times of running requests in isolation.
const (
	// isolationWait is the longest wait for a turn in isolation. The wait also takes at most
	// half of the time to the deadline (isolationTimeDivisor). Past it the suspect runs beside
	// other requests: an innocent request must not miss its deadline because it was in flight
	// during a crash.
	isolationWait        = 30 * time.Second
	isolationTimeDivisor = 2
	isolationPoll        = 50 * time.Millisecond
	// quarantineFor ends a quarantine whose entry has died.
	quarantineFor = 60 * time.Second
	// quarantineMargin is added to the configuration lease. Past both, each entry that may
	// still send has seen the quarantine or lost its lease.
	quarantineMargin = 500 * time.Millisecond
	// targetReuseFor is how long one target is kept for one suspect after another. It leaves
	// the last of them half of quarantineFor.
	targetReuseFor = quarantineFor / 2
)

// isolation runs this entry's suspects of a pool one after another, each alone on one target.
// The quarantine lasts while suspects wait, since emptying a target costs other requests the
// most.
type isolation struct {
	mu    sync.Mutex
	pools map[string]*suspectQueue
}

// suspectQueue is the queue of one pool's suspects on this entry.
type suspectQueue struct {
	// turn holds one token. The suspect that runs has taken it.
	turn chan struct{}
	// waiting counts the suspects that wait for a turn or have it.
	waiting int
	// target is the quarantined target, which may be used again until reuseUntil.
	target     *route
	reuseUntil time.Time
}

func newIsolation() *isolation { return &isolation{pools: make(map[string]*suspectQueue)} }

func (i *isolation) enter(pool string) *suspectQueue {
	i.mu.Lock()
	defer i.mu.Unlock()
	t, ok := i.pools[pool]
	if !ok {
		t = &suspectQueue{turn: make(chan struct{}, 1)}
		t.turn <- struct{}{}
		i.pools[pool] = t
	}
	t.waiting++
	return t
}

// leave removes a suspect and reports whether it was the last.
func (i *isolation) leave(t *suspectQueue) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	t.waiting--
	return t.waiting == 0
}

// isolate waits for the suspect's turn and for a target on which it runs alone. It returns the
// grant and a function that ends the turn, or false if neither became available in time.
func (s *Server) isolate(j *job) (grant, func(), bool) {
	until := earlier(time.Now().Add(time.Until(j.deadline)/isolationTimeDivisor), time.Now().Add(isolationWait))
	t := s.isolation.enter(j.model)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-t.turn:
	case <-timer.C:
		s.isolation.leave(t)
		return grant{}, nil, false
	case <-j.ctx.Done():
		s.isolation.leave(t)
		return grant{}, nil, false
	}
	endTurn := func() { s.endTurn(j.model, t) }
	r, ok := s.acquireEmptyTarget(j, t, until)
	if !ok {
		endTurn()
		return grant{}, nil, false
	}
	return grant{attempt: j.nextAttempt(), route: r}, endTurn, true
}

// endTurn passes the turn to the next suspect, and ends the quarantine after the last.
func (s *Server) endTurn(pool string, t *suspectQueue) {
	if s.isolation.leave(t) && t.target != nil {
		t.target = nil
		s.endQuarantine(pool)
	}
	t.turn <- struct{}{}
}

// acquireEmptyTarget returns a target that this entry has in quarantine and that runs nothing.
// The caller has the turn.
func (s *Server) acquireEmptyTarget(j *job, t *suspectQueue, until time.Time) (route, bool) {
	if t.target != nil && allowsRegion(j.homes, t.target.region) && s.canReuseTarget(t) {
		return *t.target, true
	}
	t.target = nil
	for time.Now().Before(until) && j.ctx.Err() == nil {
		r, ok := s.dispatcher.leastBusy(j.model, j.homes)
		if !ok || !s.takeQuarantine(j, r.target) {
			time.Sleep(isolationPoll)
			continue
		}
		taken := time.Now()
		if s.awaitEmpty(j, r, taken, until) {
			t.target, t.reuseUntil = &r, taken.Add(targetReuseFor)
			return r, true
		}
		s.endQuarantine(j.model)
	}
	// A target that an earlier turn used and that crashed may still be in quarantine.
	s.endQuarantine(j.model)
	return route{}, false
}

// canReuseTarget reports whether the quarantined target can take another suspect: it has not
// crashed, it is not blocked, and the quarantine lasts longer than the next attempt.
func (s *Server) canReuseTarget(t *suspectQueue) bool {
	now := time.Now()
	return now.Before(t.reuseUntil) && s.inService(*t.target) && !s.dispatcher.isBlocked(now, t.target.target)
}

// inService reports whether a target would be routable without the quarantine, in the same
// epoch and incarnation.
func (s *Server) inService(r route) bool {
	if s.leavingServers.contains(r.incarnation) || s.crashChecks.hasCrashed(time.Now(), r.crashID()) {
		return false
	}
	if changed, _ := s.checkMembers(r, time.Now()); changed {
		return false
	}
	board := s.o.Follower.Board()
	if r.group == "" {
		return !board.Evacuated(board.Services[r.target].DataCentre)
	}
	if board.EvacuatesGroup(board.Groups[r.group]) {
		return false
	}
	ok := board.Groups[r.group].Epoch == r.epoch
	s.o.Announcements.WithTable(func(t *evidence.Table) {
		routable, _ := t.Routable(time.Now(), board, r.group)
		ok = ok && routable
	})
	return ok
}

func (s *Server) takeQuarantine(j *job, target string) bool {
	ctx, cancel := context.WithTimeout(j.ctx, boardTimeout)
	defer cancel()
	now := time.Now()
	var verdict blackboard.Verdict
	err := s.commitBoard(ctx, &blackboard.TakeQuarantine{
		Quarantine: blackboard.Quarantine{
			Pool: j.model, Target: target, Entry: s.o.ID, UntilMillis: now.Add(quarantineFor).UnixMilli(),
		},
		NowMillis: now.UnixMilli(),
	}, &verdict)
	return err == nil && verdict.Applied
}

func (s *Server) endQuarantine(pool string) {
	ctx, cancel := context.WithTimeout(context.Background(), boardTimeout)
	defer cancel()
	// If this fails, the quarantine ends when its time is over.
	if err := s.commitBoard(ctx, &blackboard.EndQuarantine{Pool: pool, Entry: s.o.ID}, nil); err != nil {
		_ = level.Warn(s.o.Logger).Log("event", "quarantine_not_ended", "pool", pool, "err", err)
	}
}

// awaitEmpty waits until the target reports that it runs nothing, at a time when all entries
// know of the quarantine. It gives up on a target that goes out of service meanwhile, such as
// one that has just crashed.
func (s *Server) awaitEmpty(j *job, r route, taken, until time.Time) bool {
	for time.Now().Before(until) && j.ctx.Err() == nil && s.inService(r) {
		if s.isEmptyAfter(r, taken.Add(s.o.Follower.LeaseLength()+quarantineMargin)) {
			return true
		}
		time.Sleep(isolationPoll)
	}
	return false
}

func (s *Server) isEmptyAfter(r route, known time.Time) bool {
	empty := false
	s.o.Announcements.WithTable(func(t *evidence.Table) {
		report, ok := t.Get(r.head)
		if r.group == "" {
			report, ok = t.GetService(r.head)
		}
		if !ok || report.Load == nil || report.Incarnation != r.incarnation {
			return
		}
		l := reportedLoad(report)
		empty = l.At.After(known) && l.Running == 0 && l.Queued == 0
	})
	return empty
}
