package raft

import "slices"

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
	// LeavingMembers holds the members that are about to stop.
	LeavingMembers map[NodeID]bool
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
		LeavingMembers:  map[NodeID]bool{},
		AbsentMembers:   map[NodeID]bool{},
	}
	for _, m := range n.membership.Members {
		v.ActiveMembers[m.ID] = n.IsActive(m.ID)
		v.CaughtUpMembers[m.ID] = n.MatchIndex(m.ID) >= n.log.committed
		v.FreshMembers[m.ID] = n.AnsweredRecently(m.ID)
		v.SilentMembers[m.ID] = n.isSilentFor(m.ID, n.cfg.ReplaceAfter)
		v.LeavingMembers[m.ID] = m.ID != n.cfg.ID && n.progress[m.ID].leavingUntil > n.now
		v.AbsentMembers[m.ID] = n.isSilentFor(m.ID, absentFactor*n.cfg.ReplaceAfter)
	}
	return v
}

// membershipRule returns a change and the reason for it. The reason is empty if the
// rule requires no change.
type membershipRule func(v MembershipView) (Membership, string)

// membershipRules are the rules in order of precedence.
var membershipRules = []membershipRule{
	settleVoters,
	fillVacancies,
	removeSuperseded,
	admitJoinRequest,
	replaceVoters,
	dropAbsentLearner,
}

// NextMembership returns the one membership change to make now and the reason for
// it. The reason is empty if no change is needed, or if none is safe at the moment.
func NextMembership(v MembershipView) (Membership, string) {
	for _, rule := range membershipRules {
		next, reason := rule(v)
		if reason != "" && v.keepsMajority(next) {
			return next, reason
		}
	}
	return Membership{}, ""
}

func (v MembershipView) keepsMajority(next Membership) bool {
	return keepsMajority(v.Membership, next,
		func(id NodeID) bool { return v.FreshMembers[id] },
		func(id NodeID) bool { return v.SilentMembers[id] })
}

// settleVoters ends the change from one list of voters to another.
func settleVoters(v MembershipView) (Membership, string) {
	if !v.Membership.isJoint() {
		return Membership{}, ""
	}
	return v.Membership.settled(), "the change of the voters is committed"
}

// fillVacancies promotes learners if there are fewer voters than wanted.
func fillVacancies(v MembershipView) (Membership, string) {
	members := slices.Clone(v.Membership.Members)
	for range v.TargetVoters - len(v.Membership.Voters()) {
		i := v.readyLearner(members, isAnyMember)
		if i < 0 {
			break
		}
		members[i].Learner = false
	}
	return v.changeVoters(members, "learners have caught up and the group needs more voters")
}

// removeSuperseded removes an inactive member whose VM requests to join under
// another identity.
//
// The VM has lost its disk, and with it the record of its votes and acknowledged
// entries. The old identity must therefore never count again. It is removed before
// the new identity is added, so the two never count at the same time.
//
// The removal does not reduce fault tolerance: the old identity no longer answers,
// and a removal requires recent answers from a majority of the shorter list.
func removeSuperseded(v MembershipView) (Membership, string) {
	for _, request := range v.JoinRequests {
		// A join request is kept for some time after its sender became a member
		// or was removed. Such a stale request replaces no member.
		_, present := v.Membership.Find(request.ID)
		if present || v.Membership.IsRemoved(request.ID) {
			continue
		}
		for _, m := range v.Membership.Members {
			if m.VM == request.VM && m.ID != request.ID && m.ID != v.Self && !v.ActiveMembers[m.ID] {
				return v.Membership.Without(m.ID), "the VM of a member rejoins with an empty disk under a new identity"
			}
		}
	}
	return Membership{}, ""
}

// admitJoinRequest adds a replica as a learner, or changes the address of a member.
func admitJoinRequest(v MembershipView) (Membership, string) {
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
	return Membership{}, ""
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

// replaceVoters exchanges silent voters, and those that are about to stop, for learners.
// The group thus regains its failure tolerance without an operator, for example at night.
// Without a learner, the removal of a voter would only shorten the list.
//
// A silent voter may be lost, or only partitioned with its disk intact, and another voter
// may be lost at the same moment. All exchanges are therefore one change: there is no list
// in between that has fewer voters, or that depends on a learner alone. The silent voter
// keeps its identity as a learner, and can become a voter again when it returns.
//
// If fewer learners are ready than voters are silent, those of the learners' own data centres
// are exchanged: a successor usually starts where the lost VM was, so the other silent
// voter is more probably intact.
func replaceVoters(v MembershipView) (Membership, string) {
	members := slices.Clone(v.Membership.Members)
	for i, voter := range members {
		v.exchange(members, i, func(learner Member) bool { return learner.DataCentre == voter.DataCentre })
	}
	for i := range members {
		v.exchange(members, i, isAnyMember)
	}
	return v.changeVoters(members, "a voter is silent or about to stop and a learner can replace it")
}

// exchange makes member i a learner, and a ready learner that isSuccessor accepts a voter,
// if member i is a voter to be replaced.
func (v MembershipView) exchange(members []Member, i int, isSuccessor func(Member) bool) {
	if !v.mustReplace(members[i]) {
		return
	}
	k := v.readyLearner(members, isSuccessor)
	if k < 0 {
		return
	}
	members[i].Learner = true
	members[k].Learner = false
}

// mustReplace reports whether m is a voter that is silent or about to stop.
func (v MembershipView) mustReplace(m Member) bool {
	return !m.Learner && (v.SilentMembers[m.ID] || v.LeavingMembers[m.ID])
}

func isAnyMember(Member) bool { return true }

// changeVoters returns the change to members, joint if more than one voter differs. The
// reason is empty if members are the current ones.
func (v MembershipView) changeVoters(members []Member, reason string) (Membership, string) {
	next := v.Membership.clone()
	next.Members = members
	switch countVoterChanges(v.Membership, next) {
	case 0:
		return Membership{}, ""
	case 1:
		return next, reason
	}
	return v.Membership.joint(members), reason
}

// dropAbsentLearner removes a learner whose VM has probably been replaced. Its
// identity may join again: an identity that asks to join has its disk, and with it the
// record of its votes and acknowledged entries.
func dropAbsentLearner(v MembershipView) (Membership, string) {
	for _, m := range v.Membership.Members {
		if m.Learner && v.AbsentMembers[m.ID] {
			return v.Membership.dropped(m.ID), "a learner has not answered for a long time"
		}
	}
	return Membership{}, ""
}

// readyLearner returns the index of the active, caught-up learner that accept allows in the
// data centre with the fewest voters that answer, so that the loss of a data centre costs as
// few voters as possible. It returns -1 if there is none.
func (v MembershipView) readyLearner(members []Member, accept func(Member) bool) int {
	perCentre := map[string]int{}
	for _, m := range members {
		if !m.Learner && !v.SilentMembers[m.ID] {
			perCentre[m.DataCentre]++
		}
	}
	best := -1
	for i, m := range members {
		if !v.isReadyLearner(m) || !accept(m) {
			continue
		}
		if best < 0 || perCentre[m.DataCentre] < perCentre[members[best].DataCentre] {
			best = i
		}
	}
	return best
}

func (v MembershipView) isReadyLearner(m Member) bool {
	return m.Learner && v.ActiveMembers[m.ID] && v.CaughtUpMembers[m.ID] && !v.LeavingMembers[m.ID]
}
