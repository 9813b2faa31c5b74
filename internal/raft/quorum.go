package raft

import (
	"cmp"
	"slices"
)

// voterLists returns the lists of voters of which each must agree with a majority. There
// are two while the group changes from one list to another, and else one.
func (m Membership) voterLists() [][]NodeID {
	if len(m.Outgoing) == 0 {
		return [][]NodeID{m.Voters()}
	}
	return [][]NodeID{m.Voters(), m.Outgoing}
}

// HasVote reports whether id is in one of the lists of voters.
func (m Membership) HasVote(id NodeID) bool {
	return m.IsVoter(id) || slices.Contains(m.Outgoing, id)
}

// electorate returns the identities that are in one of the lists of voters.
func (m Membership) electorate() []NodeID {
	var ids []NodeID
	for _, member := range m.Members {
		if m.HasVote(member.ID) {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// quorum returns the number of voters that make a majority of a list.
func quorum(voters []NodeID) int {
	return len(voters)/2 + 1
}

// hasMajority reports whether agrees returns true for a majority of each list.
func (m Membership) hasMajority(agrees func(NodeID) bool) bool {
	for _, voters := range m.voterLists() {
		count := 0
		for _, id := range voters {
			if agrees(id) {
				count++
			}
		}
		if count < quorum(voters) {
			return false
		}
	}
	return true
}

// majorityValue returns the highest value that a majority of each list has reached.
func majorityValue[T cmp.Ordered](m Membership, value func(NodeID) T) T {
	var reached []T
	for _, voters := range m.voterLists() {
		var values []T
		for _, id := range voters {
			values = append(values, value(id))
		}
		slices.Sort(values)
		reached = append(reached, values[len(values)-quorum(voters)])
	}
	return slices.Min(reached)
}

// keepsMajority reports whether enough voters of next have answered recently to
// commit entries under next. Without this check, a second loss just after a
// removal or a promotion would stop a group although a majority of it is alive.
//
// A change that raises the quorum, such as adding a fourth voter, uses up the failure
// tolerance if one voter is already lost. If a new voter is then lost before it has
// answered, the group can never commit again. Every voter must therefore have answered
// recently. A voter that is known to be silent is excused only if the others are one
// more than a majority.
func keepsMajority(current, next Membership, isFresh, isSilent func(NodeID) bool) bool {
	if countVoterChanges(current, next) == 0 && len(current.Outgoing) == len(next.Outgoing) {
		return true
	}
	if len(next.Voters()) > len(current.Voters()) && quorum(next.Voters()) > quorum(current.Voters()) {
		return canRaiseQuorum(next.Voters(), isFresh, isSilent) && next.hasMajority(isFresh)
	}
	return next.hasMajority(isFresh)
}

func canRaiseQuorum(voters []NodeID, isFresh, isSilent func(NodeID) bool) bool {
	fresh := 0
	for _, id := range voters {
		switch {
		case isFresh(id):
			fresh++
		case !isSilent(id):
			return false
		}
	}
	return fresh == len(voters) || fresh > quorum(voters)
}
