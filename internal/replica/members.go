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

// memberView is what the next change of the membership is decided on.
type memberView struct {
	membership raft.Membership
	self       raft.NodeID
	// wanted is how many voters to aim at.
	wanted int
	// joins are the live requests, ordered by identity.
	joins []Member
	// active holds the members that answered lately.
	active map[raft.NodeID]bool
	// caughtUp holds the members that have all that is committed.
	caughtUp map[raft.NodeID]bool
}

// nextMembership decides the one change to make now, if any, and why.
func nextMembership(v memberView) (raft.Membership, string) {
	if id, ok := replacedMember(v); ok {
		return v.membership.Without(id), "its VM came back with an empty disk under a new identity"
	}
	for _, wants := range v.joins {
		present, ok := v.membership.Find(wants.ID)
		if !ok && !nameTaken(v, wants) && !v.membership.IsRemoved(wants.ID) {
			wants.Learner = true
			return v.membership.With(wants), "a new replica joins as learner"
		}
		wants.Learner = present.Learner
		if ok && wants != present {
			return v.membership.With(wants), "a replica moved to another address"
		}
	}
	if learner, ok := promotable(v); ok {
		learner.Learner = false
		return v.membership.With(learner), "a learner has caught up and a voter is wanted"
	}
	return raft.Membership{}, ""
}

// replacedMember returns a member whose VM asks to join under another identity
// while the old one is silent.
//
// Its disk is gone: it has forgotten what it voted for and acknowledged, so
// its old identity must never count again. It is removed before the new one
// is added, so that at no time both count. The removal never makes the group
// more fragile: the old identity answers no more, and raft refuses the change
// if the voters that remain and answer are no majority of the shorter list.
func replacedMember(v memberView) (raft.NodeID, bool) {
	for _, wants := range v.joins {
		// A request that was repeated until just before its sender became a
		// member, or was removed, is still remembered. It replaces nobody.
		_, present := v.membership.Find(wants.ID)
		if present || v.membership.IsRemoved(wants.ID) {
			continue
		}
		for _, m := range v.membership.Members {
			if m.VM == wants.VM && m.ID != wants.ID && m.ID != v.self && !v.active[m.ID] {
				return m.ID, true
			}
		}
	}
	return 0, false
}

func nameTaken(v memberView, wants Member) bool {
	for _, m := range v.membership.Members {
		if m.VM == wants.VM && m.ID != wants.ID {
			return true
		}
	}
	return false
}

// promotable returns the learner to make a voter: one that answers and has
// caught up, in the data centre with the fewest voters, so that losing one
// data centre takes as few voters as can be.
func promotable(v memberView) (Member, bool) {
	perCentre := map[string]int{}
	voters := 0
	for _, m := range v.membership.Members {
		if !m.Learner {
			perCentre[m.DataCentre]++
			voters++
		}
	}
	if voters >= v.wanted {
		return Member{}, false
	}
	var best Member
	found := false
	for _, m := range v.membership.Members {
		if !m.Learner || !v.active[m.ID] || !v.caughtUp[m.ID] {
			continue
		}
		if !found || perCentre[m.DataCentre] < perCentre[best.DataCentre] {
			best = m
			found = true
		}
	}
	return best, found
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
	next, reason := nextMembership(n.memberView(status))
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

func (n *Node) memberView(status raft.Status) memberView {
	v := memberView{
		membership: status.Membership,
		self:       status.ID,
		wanted:     n.opts.Voters,
		active:     map[raft.NodeID]bool{},
		caughtUp:   map[raft.NodeID]bool{},
	}
	now := n.opts.Now()
	for id, j := range n.joins {
		if now-j.at > joinLifetime {
			delete(n.joins, id)
			continue
		}
		v.joins = append(v.joins, j.member)
	}
	slices.SortFunc(v.joins, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	for _, m := range status.Membership.Members {
		v.active[m.ID] = n.core.Active(m.ID)
		v.caughtUp[m.ID] = n.core.Match(m.ID) >= status.Commit
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
	if err := n.usable(); err != nil {
		return errors.Trace(err)
	}
	if id == n.Status().ID {
		if err := n.TransferLeadership(ctx); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(&NotLeaderError{Leader: n.Status().Leader})
	}
	p := newProposal(nil)
	err := n.do(ctx, func() {
		p.taken.Store(true)
		status := n.core.Status()
		if _, ok := status.Membership.Find(id); !ok && status.Role == raft.RoleLeader {
			p.done <- outcome{err: errors.Trace(ErrUnknownMember)}
			return
		}
		at, err := n.core.ProposeMembership(status.Membership.Without(id))
		n.wait(p, at, err)
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = n.await(ctx, p)
	return errors.Trace(err)
}
