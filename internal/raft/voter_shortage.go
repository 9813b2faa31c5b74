package raft

// VoterShortage compares the voters that answer with those that are wanted.
type VoterShortage struct {
	Wanted    int
	Answering int
	// Action is what the leader does about missing voters. It is empty if none is missing.
	Action ShortageAction
}

// ShortageAction is what the leader does about missing voters, or what it waits for.
type ShortageAction string

// The actions of a leader that misses voters, in the order in which a shortage usually passes
// through them.
const (
	ActionNoStandby     ShortageAction = "no control VM stands by"
	ActionCatchUp       ShortageAction = "waits until a control VM that stands by has caught up"
	ActionWaitForReturn ShortageAction = "waits until the missing voter returns or the replacement period ends"
	ActionWaitForVoters ShortageAction = "waits for more voters to answer, since a change now could stop the group"
	ActionChange        ShortageAction = "changes the voters"
)

// FindVoterShortage returns the number of voters that answer, and what the leader does about
// those that are missing.
func FindVoterShortage(v MembershipView) VoterShortage {
	voters := v.Membership.Voters()
	s := VoterShortage{Wanted: v.TargetVoters}
	for _, id := range voters {
		if v.ActiveMembers[id] {
			s.Answering++
		}
	}
	if s.Answering < s.Wanted {
		s.Action = v.shortageAction()
	}
	return s
}

func (v MembershipView) shortageAction() ShortageAction {
	if _, reason := NextMembership(v); reason != "" {
		return ActionChange
	}
	standby := false
	ready := false
	for _, m := range v.Membership.Members {
		standby = standby || m.Learner && v.ActiveMembers[m.ID]
		ready = ready || v.isReadyLearner(m)
	}
	switch {
	case !standby:
		return ActionNoStandby
	case !ready:
		return ActionCatchUp
	case v.hasVacancy() || v.hasVoterToReplace():
		return ActionWaitForVoters
	}
	return ActionWaitForReturn
}

func (v MembershipView) hasVacancy() bool {
	return len(v.Membership.Voters()) < v.TargetVoters
}

func (v MembershipView) hasVoterToReplace() bool {
	for _, m := range v.Membership.Members {
		if v.mustReplace(m) {
			return true
		}
	}
	return false
}
