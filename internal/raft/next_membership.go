package raft

// MembershipView is the information from which the leader chooses the next
// membership change.
type MembershipView struct {
	Membership Membership
	Self       NodeID
	// TargetVoters is the target number of voters.
	TargetVoters int
	// JoinRequests holds the current join requests, ordered by identity.
	JoinRequests []Member
	// ActiveMembers holds the members that answered within the last election timeout.
	ActiveMembers map[NodeID]bool
	// CaughtUpMembers holds the members whose log has all committed entries.
	CaughtUpMembers map[NodeID]bool
	// FreshMembers holds the members that answered within the last few heartbeats.
	FreshMembers map[NodeID]bool
	// SilentMembers holds the members that have not answered for Config.ReplaceAfter.
	SilentMembers map[NodeID]bool
	// AbsentMembers holds the members that have been silent for so long that a learner
	// among them leaves the list.
	AbsentMembers map[NodeID]bool
}

// absentFactor is the number of replacement periods after which a silent learner is
// absent. It is high so that a VM that is only switched off for maintenance remains
// listed with its identity.
const absentFactor = 10

// MembershipView returns this leader's view of the members, for NextMembership.
// JoinRequests must be ordered by identity.
func (n *Node) MembershipView(targetVoters int, joinRequests []Member) MembershipView {
	v := MembershipView{
		Membership:      n.membership,
		Self:            n.cfg.ID,
		TargetVoters:    targetVoters,
		JoinRequests:    joinRequests,
		ActiveMembers:   map[NodeID]bool{},
		CaughtUpMembers: map[NodeID]bool{},
		FreshMembers:    map[NodeID]bool{},
		SilentMembers:   map[NodeID]bool{},
		AbsentMembers:   map[NodeID]bool{},
	}
	for _, m := range n.membership.Members {
		v.ActiveMembers[m.ID] = n.IsActive(m.ID)
		v.CaughtUpMembers[m.ID] = n.MatchIndex(m.ID) >= n.log.committed
		v.FreshMembers[m.ID] = n.AnsweredRecently(m.ID)
		v.SilentMembers[m.ID] = n.isSilentFor(m.ID, n.cfg.ReplaceAfter)
		v.AbsentMembers[m.ID] = n.isSilentFor(m.ID, absentFactor*n.cfg.ReplaceAfter)
	}
	return v
}

// NextMembership returns the one membership change to make now and the reason for
// it. The reason is empty if no change is needed.
func NextMembership(v MembershipView) (Membership, string) {
	if id, ok := supersededMember(v); ok {
		return v.Membership.Without(id), "the VM of a member rejoins with an empty disk under a new identity"
	}
	for _, request := range v.JoinRequests {
		present, ok := v.Membership.Find(request.ID)
		if !ok && !isVMListed(v, request) && !v.Membership.IsRemoved(request.ID) {
			request.Learner = true
			return v.Membership.With(request), "a replica joins as learner"
		}
		request.Learner = present.Learner
		if ok && request != present {
			return v.Membership.With(request), "a replica moved to another address"
		}
	}
	if learner, ok := learnerToPromote(v); ok {
		learner.Learner = false
		return v.Membership.With(learner), "a learner has caught up and the group needs another voter"
	}
	if voter, ok := silentVoterToReplace(v); ok {
		voter.Learner = true
		return v.Membership.With(voter), "a voter has not answered for the replacement period and a learner can replace it"
	}
	if learner, ok := absentLearner(v); ok {
		return v.Membership.dropped(learner.ID), "a learner has not answered for a long time"
	}
	return Membership{}, ""
}

// supersededMember returns an inactive member whose VM requests to join under
// another identity.
//
// The VM has lost its disk, and with it the record of its votes and acknowledged
// entries. The old identity must therefore never count again. It is removed before
// the new identity is added, so the two never count at the same time.
//
// The removal does not reduce fault tolerance: the old identity no longer answers,
// and ProposeMembership rejects the change unless a majority of the shorter list
// answers.
func supersededMember(v MembershipView) (NodeID, bool) {
	for _, request := range v.JoinRequests {
		// A join request is kept for some time after its sender became a member
		// or was removed. Such a stale request replaces no member.
		_, present := v.Membership.Find(request.ID)
		if present || v.Membership.IsRemoved(request.ID) {
			continue
		}
		for _, m := range v.Membership.Members {
			if m.VM == request.VM && m.ID != request.ID && m.ID != v.Self && !v.ActiveMembers[m.ID] {
				return m.ID, true
			}
		}
	}
	return 0, false
}

// isVMListed reports whether the VM of a join request is a member under another
// identity.
func isVMListed(v MembershipView, request Member) bool {
	for _, m := range v.Membership.Members {
		if m.VM == request.VM && m.ID != request.ID {
			return true
		}
	}
	return false
}

// learnerToPromote returns the learner to promote, if there are fewer voters than
// wanted. It chooses an active, caught-up learner in the data centre with the
// fewest voters, so that the loss of a data centre costs as few voters as possible.
func learnerToPromote(v MembershipView) (Member, bool) {
	perCentre := map[string]int{}
	voters := 0
	for _, m := range v.Membership.Members {
		if !m.Learner {
			perCentre[m.DataCentre]++
			voters++
		}
	}
	if voters >= v.TargetVoters {
		return Member{}, false
	}
	return findReadyLearner(v, perCentre)
}

// silentVoterToReplace returns a silent voter that a ready learner can replace. Without
// such a learner, demoting the voter would only shorten the list. With one, the
// group regains its failure tolerance without an operator, for example at night. The
// silent voter keeps its identity as a learner, and can become a voter again when it returns.
//
// All other voters must have answered recently. The silent voter may only be
// partitioned, with its disk intact. If another voter is lost for good, the group
// may need the silent one back to reach a majority.
func silentVoterToReplace(v MembershipView) (Member, bool) {
	if _, ok := findReadyLearner(v, nil); !ok {
		return Member{}, false
	}
	var silent NodeID
	for _, id := range v.Membership.Voters() {
		switch {
		case id == v.Self || v.FreshMembers[id]:
		case silent == 0 && v.SilentMembers[id]:
			silent = id
		default:
			return Member{}, false
		}
	}
	return v.Membership.Find(silent)
}

// absentLearner returns a learner whose VM has probably been replaced. Its identity may
// join again: an identity that asks to join has its disk, and with it the record of its
// votes and acknowledged entries.
func absentLearner(v MembershipView) (Member, bool) {
	for _, m := range v.Membership.Members {
		if m.Learner && v.AbsentMembers[m.ID] {
			return m, true
		}
	}
	return Member{}, false
}

// findReadyLearner returns an active, caught-up learner from the data centre with the
// fewest voters according to perCentre.
func findReadyLearner(v MembershipView, perCentre map[string]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range v.Membership.Members {
		if !m.Learner || !v.ActiveMembers[m.ID] || !v.CaughtUpMembers[m.ID] {
			continue
		}
		if !found || perCentre[m.DataCentre] < perCentre[best.DataCentre] {
			best = m
			found = true
		}
	}
	return best, found
}
