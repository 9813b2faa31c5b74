package raft

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// maxRemovedIDs is the most removed identities that a Membership keeps. Each takes 8
// bytes, and one is added only when a VM loses its disk or an operator removes a
// member.
const maxRemovedIDs = 1024

// Member is one replica of the group.
type Member struct {
	ID NodeID `json:"id"`
	// VM is the stable name of the machine. The ID changes with the disk.
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre,omitempty"`
	// Address is the IP and port at which the other members reach it.
	Address string `json:"address"`
	// Learner is set if the member receives the log but neither votes nor counts
	// towards a quorum.
	Learner bool `json:"learner,omitempty"`
}

// Membership is the complete list of replicas. A node uses a list as soon as it
// is appended to the log, before it is committed.
type Membership struct {
	Members []Member `json:"members"`
	// Outgoing lists the voters of the previous list while the group changes several
	// voters at once. Until a later list is without it, elections and commits need a
	// majority of Outgoing and a majority of the voters in Members.
	Outgoing []NodeID `json:"outgoing,omitempty"`
	// Removed lists identities of former members, which can never join again.
	Removed []NodeID `json:"removed,omitempty"`
}

// EncodeMembership returns the membership as the data of an EntryMembership.
func EncodeMembership(m Membership) ([]byte, error) {
	data, err := json.Marshal(m)
	return data, errors.Trace(err)
}

// DecodeMembership decodes the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, errors.Trace(err)
}

// Find returns the member with the given id, and whether there is one.
func (m Membership) Find(id NodeID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the identities of the voters in Members, in their order.
func (m Membership) Voters() []NodeID {
	var ids []NodeID
	for _, member := range m.Members {
		if !member.Learner {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// IsVoter reports whether id is a voter of the list in Members.
func (m Membership) IsVoter(id NodeID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// IsRemoved reports whether id was a member and has been removed.
func (m Membership) IsRemoved(id NodeID) bool {
	return slices.Contains(m.Removed, id)
}

// With returns a copy in which member replaces the entry with the same ID, or is
// added if there is none.
func (m Membership) With(member Member) Membership {
	next := m.clone()
	for i := range next.Members {
		if next.Members[i].ID == member.ID {
			next.Members[i] = member
			return next
		}
	}
	next.Members = append(next.Members, member)
	return next
}

// Without returns a copy without the member id, and with id in Removed.
func (m Membership) Without(id NodeID) Membership {
	next := m.dropped(id)
	next.Removed = append(next.Removed, id)
	if excess := len(next.Removed) - maxRemovedIDs; excess > 0 {
		next.Removed = next.Removed[excess:]
	}
	return next
}

// dropped returns a copy without the member id. The id may join again.
func (m Membership) dropped(id NodeID) Membership {
	next := m.clone()
	next.Members = slices.DeleteFunc(next.Members, func(member Member) bool { return member.ID == id })
	return next
}

func (m Membership) clone() Membership {
	return Membership{
		Members: slices.Clone(m.Members), Outgoing: slices.Clone(m.Outgoing), Removed: slices.Clone(m.Removed),
	}
}

// isJoint reports whether the group changes from one list of voters to another.
func (m Membership) isJoint() bool { return len(m.Outgoing) > 0 }

// joint returns a copy with the voters of m as Outgoing and the members of next.
func (m Membership) joint(next []Member) Membership {
	changed := m.clone()
	changed.Members = next
	changed.Outgoing = m.Voters()
	return changed
}

// settled returns a copy that is not joint.
func (m Membership) settled() Membership {
	next := m.clone()
	next.Outgoing = nil
	return next
}

// countVoterChanges returns the number of identities that are voters in exactly one of
// the two lists.
func countVoterChanges(a, b Membership) int {
	changed := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			changed++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			changed++
		}
	}
	return changed
}

// checkMembershipChange returns ErrInvalidChange unless majorities under the current
// and the next list always overlap, and ErrChangePending if the current list is joint
// and next does not end that.
//
// Majorities of two lists that differ in one voter always overlap. If two voters
// were exchanged at once, two disjoint majorities could each elect a leader. The list
// must therefore be joint: it also needs a majority of the current voters.
func (n *Node) checkMembershipChange(next Membership) error {
	changes := countVoterChanges(n.membership, next)
	switch {
	case n.membership.isJoint() && (changes > 0 || next.isJoint()):
		return errors.Trace(ErrChangePending)
	case next.isJoint() && !slices.Equal(next.Outgoing, n.membership.Voters()):
		return errors.Annotate(ErrInvalidChange, "the outgoing voters are not the current ones")
	case changes > 1 && !next.isJoint():
		return errors.Annotate(ErrInvalidChange, "more than one voter differs")
	}
	for _, id := range next.Outgoing {
		if _, ok := next.Find(id); !ok {
			return errors.Annotate(ErrInvalidChange, "an outgoing voter is not a member")
		}
	}
	if !next.IsVoter(n.cfg.ID) {
		return errors.Annotate(ErrInvalidChange, "the leader would remove itself")
	}
	seen := map[NodeID]bool{}
	for _, member := range next.Members {
		if member.ID == 0 || seen[member.ID] || next.IsRemoved(member.ID) {
			return errors.Annotatef(ErrInvalidChange, "identity of member %x is zero, duplicate or removed", uint64(member.ID))
		}
		seen[member.ID] = true
	}
	return nil
}

// freshHeartbeatIntervals is the number of heartbeat intervals for which an answer counts
// as recent when a membership change is checked. It allows for one lost and one
// late answer.
const freshHeartbeatIntervals = 3

// ProposeMembership appends the next list of members and returns its position.
//
// It returns ErrNotReady until the leader has committed an entry of its own term:
// otherwise two leaders could each hold an uncommitted change that the other has
// not seen. It returns ErrChangePending while an earlier change is uncommitted,
// ErrInvalidChange for a change whose majorities may not overlap with the current ones, and ErrUnsafeChange for a
// change of voters that could leave no responsive majority. Errors of Propose
// apply as well.
func (n *Node) ProposeMembership(next Membership) (Position, error) {
	if err := n.checkCanPropose(); err != nil {
		return Position{}, errors.Trace(err)
	}
	if !n.ownTermCommitted() {
		return Position{}, errors.Trace(ErrNotReady)
	}
	if n.membershipIndex > n.log.committed {
		return Position{}, errors.Trace(ErrChangePending)
	}
	if err := n.checkMembershipChange(next); err != nil {
		return Position{}, errors.Trace(err)
	}
	isSilent := func(id NodeID) bool { return n.isSilentFor(id, n.cfg.ReplaceAfter) }
	if !keepsMajority(n.membership, next, n.AnsweredRecently, isSilent) {
		return Position{}, errors.Trace(ErrUnsafeChange)
	}
	data, err := EncodeMembership(next)
	if err != nil {
		return Position{}, errors.Trace(err)
	}
	return n.appendEntry(EntryMembership, data), nil
}

// reloadMembership sets the membership from the last EntryMembership in the log,
// or from the snapshot if the log has none. It runs after entries are appended or
// truncated.
func (n *Node) reloadMembership() error {
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		entry := n.log.entries[i]
		if entry.Index <= n.log.snapshot.Index {
			break
		}
		if entry.Type != EntryMembership {
			continue
		}
		if entry.Index == n.membershipIndex && entry.Term == n.membershipTerm {
			return nil
		}
		m, err := DecodeMembership(entry.Data)
		if err != nil {
			return errors.Trace(err)
		}
		n.setMembership(m, entry.Index, entry.Term)
		return nil
	}
	n.setMembership(n.log.snapshot.Membership, n.log.snapshot.Index, n.log.snapshot.Term)
	return nil
}

// setMembership sets the membership and, on a leader, adds and removes the
// progress of members to match it.
func (n *Node) setMembership(m Membership, index, term uint64) {
	n.membership = m
	n.membershipIndex = index
	n.membershipTerm = term
	if n.role != RoleLeader {
		return
	}
	for _, member := range m.Members {
		if n.progress[member.ID] == nil {
			n.progress[member.ID] = newProgress(n.log.lastIndex()+1, n.now)
		}
	}
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
}
