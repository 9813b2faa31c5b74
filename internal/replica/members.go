package replica

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// joinLifetime is how long the leader remembers a request to join. The joining node repeats the
// request more often.
const joinLifetime = 10 * time.Second

// join is a request to become a member.
type join struct {
	member Member
	at     time.Duration
}

// manageMembers proposes the next membership change if this node leads.
func (n *Node) manageMembers() {
	status := n.core.Status()
	if status.Role != raft.RoleLeader {
		clear(n.joins)
		n.shortage = shortage{}
		return
	}
	view := n.core.MembershipView(n.opts.Voters, n.joinRequests())
	// Right after an election no voter has answered the new leader yet.
	if n.opts.Now()-n.core.LeaderSince() >= n.opts.electionTimeout() {
		n.observeShortage(raft.FindVoterShortage(view))
	}
	if !status.OwnTermCommitted || status.MembershipIndex > status.Commit {
		return
	}
	next, reason := raft.NextMembership(view)
	if reason == "" {
		return
	}
	if _, err := n.core.ProposeMembership(next); err != nil {
		n.logger.debug("msg", "membership change postponed", "reason", reason, "err", err)
		return
	}
	n.logger.info("msg", "membership change proposed", "reason", reason,
		"members", len(next.Members), "voters", len(next.Voters()))
}

// joinRequests returns the current join requests, ordered by identity.
func (n *Node) joinRequests() []Member {
	var requests []Member
	now := n.opts.Now()
	for id, j := range n.joins {
		if now-j.at > joinLifetime {
			delete(n.joins, id)
			continue
		}
		requests = append(requests, j.member)
	}
	slices.SortFunc(requests, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return requests
}

// Leave hands this node's vote over to a learner that stands by, before a graceful stop, and
// tells the leader that this node can take over none. It returns once both are done, or at
// once if no learner is listed. If ctx ends first, the node may stop with its vote.
//
// Failure: a VM is taken away for good after its successor has caught up. Until the leader
// notices the silence, the group has a voter less than it seems to have.
func (n *Node) Leave(ctx context.Context) error {
	for {
		mayLeave := false
		if err := n.do(ctx, func() { mayLeave = n.core.Leave() }); err != nil || mayLeave {
			return errors.Trace(err)
		}
		select {
		case <-time.After(n.opts.TickInterval):
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// RemoveMember removes a member permanently, and returns once the removal is committed. It is
// for a VM that does not return; a VM that returns with an empty disk is replaced without a
// command. If the leader is asked to remove itself, it transfers the leadership and returns a
// NotLeaderError; the caller must repeat the call at the new leader.
func (n *Node) RemoveMember(ctx context.Context, id raft.NodeID) error {
	if err := n.checkUsable(); err != nil {
		return errors.Trace(err)
	}
	if id == n.Status().ID {
		if err := n.TransferLeadership(ctx); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(&NotLeaderError{Leader: n.Status().Leader})
	}
	for {
		err := n.removeOnce(ctx, id)
		if !errors.Is(err, raft.ErrChangePending) && !errors.Is(err, raft.ErrNotReady) {
			return errors.Trace(err)
		}
		// The leader has another membership change in progress, which takes a moment.
		select {
		case <-ctx.Done():
			return errors.Trace(err)
		case <-time.After(n.opts.TickInterval):
		}
	}
}

func (n *Node) removeOnce(ctx context.Context, id raft.NodeID) error {
	p := newProposal(nil)
	err := n.do(ctx, func() {
		p.claimed.Store(true)
		status := n.core.Status()
		if _, ok := status.Membership.Find(id); !ok && status.Role == raft.RoleLeader {
			p.done <- outcome{err: errors.Trace(ErrUnknownMember)}
			return
		}
		at, err := n.core.ProposeMembership(status.Membership.Without(id))
		n.trackProposal(p, at, err)
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = n.await(ctx, p)
	return errors.Trace(err)
}
