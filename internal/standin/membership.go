package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// membership is an engine's membership in one epoch of a serving group. It decides which
// members are present; engine_group.go sends and receives the heartbeats.
type membership struct {
	order         backend.Order
	self          string
	memberTimeout time.Duration
	groupTimeout  time.Duration
	lostMembers   func() []string

	// ctx ends with the membership; the group's streams end with it.
	ctx     context.Context
	cancel  context.CancelFunc
	streams sync.WaitGroup

	mu    sync.Mutex
	phase backend.Phase
	peers map[string]*peer
	// wasComplete is set once all members have been ready at the same time.
	wasComplete bool
	// brokenSince is the time at which a member of a complete group was first found missing;
	// zero while none is.
	brokenSince time.Time
}

// peer is what the engine knows of another member from its heartbeats.
type peer struct {
	lastReceived time.Time
	incarnation  string
	ready        bool
	// replaced is set once the peer has restarted as another incarnation.
	replaced bool
}

func (e *Engine) newMembership(s *engineState, o backend.Order) *membership {
	g := &membership{
		order:         o,
		self:          e.common.ID,
		memberTimeout: e.options.MemberTimeout,
		groupTimeout:  e.options.GroupTimeout,
		lostMembers:   func() []string { return e.faults.get().LostMembers },
		phase:         backend.PhaseLoading,
		peers:         map[string]*peer{},
	}
	g.ctx, g.cancel = context.WithCancel(s.incarnation.ctx)
	return g
}

// matches reports whether an order repeats the one that started this membership.
func (g *membership) matches(o backend.Order) bool {
	return g.order.Group == o.Group && g.order.Token.Epoch == o.Token.Epoch && g.order.Rank == o.Rank &&
		g.order.Model == o.Model && slices.Equal(g.order.Members, o.Members) && g.ctx.Err() == nil
}

func (g *membership) isHead() bool { return g.order.Rank == 0 }

// end ends the membership. It holds the lock so that no stream can enter once the wait for the
// streams has begun.
func (g *membership) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel()
}

func (g *membership) setPhase(p backend.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phase = p
}

func (g *membership) becomeReady() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.phase == backend.PhaseLoading {
		g.phase = backend.PhaseReady
	}
}

// enter counts a new stream of the group. It returns false if the group does not serve.
func (g *membership) enter(now time.Time) bool {
	if !g.isServing(now) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return false
	}
	g.streams.Add(1)
	return true
}

// isServing reports whether this engine is the head of a group whose members are all ready and
// have sent recent heartbeats.
func (g *membership) isServing(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isHead() && g.phase == backend.PhaseReady && g.wasComplete && len(g.missing(now)) == 0
}

// status returns the phase and the missing members to announce.
func (g *membership) status(now time.Time) (backend.Phase, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.wasComplete {
		return g.phase, nil
	}
	return g.phase, g.missing(now)
}

// recordHeartbeat records a heartbeat of a peer. A peer that restarted as a new incarnation has
// lost its part of the model, so it counts as missing for the rest of the epoch.
func (g *membership) recordHeartbeat(vm, incarnation string, ready bool, now time.Time) {
	if slices.Contains(g.lostMembers(), vm) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[vm]
	if !ok {
		p = &peer{incarnation: incarnation}
		g.peers[vm] = p
	}
	p.replaced = p.replaced || p.incarnation != incarnation
	p.lastReceived = now
	p.ready = ready
}

// missing returns the monitored members that sent no recent heartbeat, are not ready or have
// restarted. The head monitors all members, the others monitor the head. The caller holds g.mu.
func (g *membership) missing(now time.Time) []string {
	var out []string
	for rank, member := range g.order.Members {
		watched := member.VM != g.self && (g.isHead() || rank == 0)
		if watched && !g.isPresent(member.VM, now) {
			out = append(out, member.VM)
		}
	}
	return out
}

func (g *membership) isPresent(vm string, now time.Time) bool {
	p, ok := g.peers[vm]
	return ok && p.ready && !p.replaced && now.Sub(p.lastReceived) <= g.memberTimeout
}

// check updates wasComplete and brokenSince. A complete group that lacks a member for longer
// than groupTimeout has failed and needs a new epoch, because a collective operation that timed
// out can't be resumed.
func (g *membership) check(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	allReady := g.phase == backend.PhaseReady && len(g.missing(now)) == 0
	switch {
	case allReady:
		g.wasComplete = true
		g.brokenSince = time.Time{}
	case !g.wasComplete || g.phase != backend.PhaseReady:
	case g.brokenSince.IsZero():
		g.brokenSince = now
	case now.Sub(g.brokenSince) > g.groupTimeout:
		g.phase = backend.PhaseFailed
		g.cancel()
	}
}
