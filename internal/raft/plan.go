package raft

// MembershipView is what the leader decides the next change of the membership
// on.
type MembershipView struct {
	Membership Membership
	Self       NodeID
	// Wanted is how many voters to aim at.
	Wanted int
	// Joins are the live requests to be a member, ordered by identity.
	Joins []Member
	// Active holds the members that answered lately.
	Active map[NodeID]bool
	// CaughtUp holds the members that have all that is committed.
	CaughtUp map[NodeID]bool
	// Silent holds the members that have not answered for so long that a
	// spare should take their place.
	Silent map[NodeID]bool
	// Fresh holds the members that have answered just now.
	Fresh map[NodeID]bool
}

// NextMembership decides the one change to make now and says why; the reason
// is empty if there is none.
func NextMembership(v MembershipView) (Membership, string) {
	if id, ok := replacedMember(v); ok {
		return v.Membership.Without(id), "its VM came back with an empty disk under a new identity"
	}
	for _, wants := range v.Joins {
		present, ok := v.Membership.Find(wants.ID)
		if !ok && !nameTaken(v, wants) && !v.Membership.IsRemoved(wants.ID) {
			wants.Learner = true
			return v.Membership.With(wants), "a new replica joins as learner"
		}
		wants.Learner = present.Learner
		if ok && wants != present {
			return v.Membership.With(wants), "a replica moved to another address"
		}
	}
	if id, ok := silentVoter(v); ok {
		return v.Membership.Without(id), "it has been silent for long and a learner can take its place"
	}
	if learner, ok := promotable(v); ok {
		learner.Learner = false
		return v.Membership.With(learner), "a learner has caught up and a voter is wanted"
	}
	return Membership{}, ""
}

// replacedMember returns a member whose VM asks to join under another identity
// while the old one is silent.
//
// Its disk is gone: it has forgotten what it voted for and acknowledged, so
// its old identity must never count again. It is removed before the new one
// is added, so that at no time both count. The removal never makes the group
// more fragile: the old identity answers no more, and raft refuses the change
// if the voters that remain and answer are no majority of the shorter list.
func replacedMember(v MembershipView) (NodeID, bool) {
	for _, wants := range v.Joins {
		// A request that was repeated until just before its sender became a
		// member, or was removed, is still remembered. It replaces nobody.
		_, present := v.Membership.Find(wants.ID)
		if present || v.Membership.IsRemoved(wants.ID) {
			continue
		}
		for _, m := range v.Membership.Members {
			if m.VM == wants.VM && m.ID != wants.ID && m.ID != v.Self && !v.Active[m.ID] {
				return m.ID, true
			}
		}
	}
	return 0, false
}

func nameTaken(v MembershipView, wants Member) bool {
	for _, m := range v.Membership.Members {
		if m.VM == wants.VM && m.ID != wants.ID {
			return true
		}
	}
	return false
}

// promotable returns the learner to make a voter: one that answers and has
// caught up, in the data centre with the fewest voters, so that losing one
// data centre takes as few voters as can be.
func promotable(v MembershipView) (Member, bool) {
	perCentre := map[string]int{}
	voters := 0
	for _, m := range v.Membership.Members {
		if !m.Learner {
			perCentre[m.DataCentre]++
			voters++
		}
	}
	if voters >= v.Wanted {
		return Member{}, false
	}
	return readyLearner(v, perCentre)
}

// silentVoter returns a voter that has been silent for long, if a learner is
// ready to be promoted in its place. Without a spare it stays: removing it
// would only shorten the list. With one, a group that nobody looks after at
// night gets back the loss that it can bear.
//
// All other voters must answer. The silent one may only be cut off, with its
// disk intact: if another is gone for good, its return may be what gives the
// group its majority back.
func silentVoter(v MembershipView) (NodeID, bool) {
	if _, ok := readyLearner(v, nil); !ok {
		return 0, false
	}
	var silent NodeID
	for _, id := range v.Membership.Voters() {
		switch {
		case id == v.Self || v.Fresh[id]:
		case silent == 0 && v.Silent[id]:
			silent = id
		default:
			return 0, false
		}
	}
	return silent, silent != 0
}

// readyLearner returns a learner that answers and has caught up, from the data
// centre with the fewest voters.
func readyLearner(v MembershipView, perCentre map[string]int) (Member, bool) {
	var best Member
	found := false
	for _, m := range v.Membership.Members {
		if !m.Learner || !v.Active[m.ID] || !v.CaughtUp[m.ID] {
			continue
		}
		if !found || perCentre[m.DataCentre] < perCentre[best.DataCentre] {
			best = m
			found = true
		}
	}
	return best, found
}
