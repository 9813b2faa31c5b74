package replica

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// joinLifetime is how long the leader remembers a request to join; the one who
// wants in repeats it more often.
const joinLifetime = 10 * time.Second

// join is a request to be a member.
type join struct {
	member Member
	at     time.Duration
}

// manageMembers makes the next change of the membership, on the leader.
func (n *Node) manageMembers() {
	status := n.core.Status()
	if status.Role != raft.RoleLeader {
		clear(n.joins)
		return
	}
	if !status.OwnTermCommitted || status.MembershipIndex > status.Commit {
		return
	}
	next, reason := raft.NextMembership(n.membershipView(status))
	if reason == "" {
		return
	}
	if _, err := n.core.ProposeMembership(next); err != nil {
		n.logger.debug("msg", "membership change waits", "reason", reason, "err", err)
		return
	}
	n.logger.info("msg", "membership change proposed", "reason", reason,
		"members", len(next.Members), "voters", len(next.Voters()))
}

func (n *Node) membershipView(status raft.Status) raft.MembershipView {
	v := raft.MembershipView{
		Membership: status.Membership,
		Self:       status.ID,
		Wanted:     n.opts.Voters,
		Active:     map[raft.NodeID]bool{},
		CaughtUp:   map[raft.NodeID]bool{},
		Silent:     map[raft.NodeID]bool{},
		Fresh:      map[raft.NodeID]bool{},
	}
	now := n.opts.Now()
	for id, j := range n.joins {
		if now-j.at > joinLifetime {
			delete(n.joins, id)
			continue
		}
		v.Joins = append(v.Joins, j.member)
	}
	slices.SortFunc(v.Joins, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	for _, m := range status.Membership.Members {
		v.Active[m.ID] = n.core.Active(m.ID)
		v.CaughtUp[m.ID] = n.core.Match(m.ID) >= status.Commit
		v.Fresh[m.ID] = n.core.Fresh(m.ID)
		v.Silent[m.ID] = n.core.SilentFor(m.ID) > n.opts.ReplaceAfter
	}
	return v
}

func compareIDs(a, b raft.NodeID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// RemoveMember takes a member out for good and returns once that is committed.
// It is for a VM that does not come back; one that comes back with an empty
// disk is replaced without a command. Asked to remove itself, the leader hands
// over and returns a NotLeaderError: repeat the call there.
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
		// The leader is at another change of its own, which takes a moment.
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
