package raft

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// maxRemoved bounds the identities remembered as removed: 8 bytes each, and
// one is added only when a VM loses its disk or an operator removes it.
const maxRemoved = 1024

// Member is one replica of the group.
type Member struct {
	ID NodeID `json:"id"`
	// VM is the stable name of the machine; the ID changes with its disk.
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre,omitempty"`
	// Address is the IP and port at which the other members reach it.
	Address string `json:"address"`
	// Learner receives the log but neither votes nor counts for a quorum.
	Learner bool `json:"learner,omitempty"`
}

// Membership is the whole list of replicas. It takes effect when it is
// appended to the log, committed or not.
type Membership struct {
	Members []Member `json:"members"`
	// Removed lists identities that were members once and never are again.
	Removed []NodeID `json:"removed,omitempty"`
}

// EncodeMembership returns the data of an EntryMembership.
func EncodeMembership(m Membership) ([]byte, error) {
	data, err := json.Marshal(m)
	return data, errors.Trace(err)
}

// DecodeMembership reads the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	err := json.Unmarshal(data, &m)
	return m, errors.Trace(err)
}

// Find returns the member with the id.
func (m Membership) Find(id NodeID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Voters returns the identities that vote, in the order of the list.
func (m Membership) Voters() []NodeID {
	var ids []NodeID
	for _, member := range m.Members {
		if !member.Learner {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// IsVoter tells whether id votes.
func (m Membership) IsVoter(id NodeID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// IsRemoved tells whether id was a member and was removed.
func (m Membership) IsRemoved(id NodeID) bool {
	return slices.Contains(m.Removed, id)
}

// Quorum is how many voters make a majority.
func (m Membership) Quorum() int {
	return len(m.Voters())/2 + 1
}

// With returns a copy in which member replaces the one with its ID, or is
// added.
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

// Without returns a copy that lists id as removed.
func (m Membership) Without(id NodeID) Membership {
	next := m.clone()
	next.Members = slices.DeleteFunc(next.Members, func(member Member) bool { return member.ID == id })
	next.Removed = append(next.Removed, id)
	if excess := len(next.Removed) - maxRemoved; excess > 0 {
		next.Removed = next.Removed[excess:]
	}
	return next
}

func (m Membership) clone() Membership {
	return Membership{Members: slices.Clone(m.Members), Removed: slices.Clone(m.Removed)}
}

// votersChanged counts the identities that vote in one of the two lists only.
func votersChanged(a, b Membership) int {
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

// checkChange refuses a change that is not one step from the present list.
//
// Majorities of two lists that differ in one voter always overlap; with two
// voters exchanged at once, two disjoint majorities could elect a leader each.
func (n *Node) checkChange(next Membership) error {
	if votersChanged(n.membership, next) > 1 {
		return errors.Annotate(ErrInvalidChange, "more than one voter differs")
	}
	if !next.IsVoter(n.cfg.ID) {
		return errors.Annotate(ErrInvalidChange, "the leader would remove itself")
	}
	seen := map[NodeID]bool{}
	for _, member := range next.Members {
		if member.ID == 0 || seen[member.ID] || next.IsRemoved(member.ID) {
			return errors.Annotatef(ErrInvalidChange, "member %x", uint64(member.ID))
		}
		seen[member.ID] = true
	}
	return nil
}

// freshHeartbeats is for how many heartbeat intervals an answer counts when a
// membership change is judged: one may be lost and one late.
const freshHeartbeats = 3

// keepsMajority tells whether enough voters of next have answered just now to
// commit under it. Without this a second loss just after a removal or a
// promotion would stop the group although a majority of it lives.
//
// A change that makes the majority larger, such as the fourth voter, needs all
// of them: with one already gone it would take away the last spare, and if the
// new voter is lost before it counts, the group is stuck for good.
func (n *Node) keepsMajority(next Membership) bool {
	voters := next.Voters()
	fresh := 0
	for _, id := range voters {
		if n.Fresh(id) {
			fresh++
		}
	}
	if next.Quorum() > n.membership.Quorum() {
		return fresh == len(voters)
	}
	return fresh >= next.Quorum()
}

// ProposeMembership appends the next list of members. The leader refuses it
// until it has committed an entry of its own term (otherwise two leaders could
// each hold an uncommitted change that the other has not seen) and while an
// earlier change is not committed.
func (n *Node) ProposeMembership(next Membership) (Position, error) {
	if err := n.checkProposer(); err != nil {
		return Position{}, errors.Trace(err)
	}
	if !n.ownTermCommitted() {
		return Position{}, errors.Trace(ErrNotReady)
	}
	if n.membershipIndex > n.log.committed {
		return Position{}, errors.Trace(ErrChangePending)
	}
	if err := n.checkChange(next); err != nil {
		return Position{}, errors.Trace(err)
	}
	if votersChanged(n.membership, next) > 0 && !n.keepsMajority(next) {
		return Position{}, errors.Trace(ErrUnsafeChange)
	}
	data, err := EncodeMembership(next)
	if err != nil {
		return Position{}, errors.Trace(err)
	}
	return n.appendOwn(EntryMembership, data), nil
}

// reloadMembership takes the last list in the log, or else the snapshot's.
// It runs after each append, truncation and restore.
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
		n.useMembership(m, entry.Index, entry.Term)
		return nil
	}
	n.useMembership(n.log.snapshot.Membership, n.log.snapshot.Index, n.log.snapshot.Term)
	return nil
}

func (n *Node) useMembership(m Membership, index, term uint64) {
	n.membership = m
	n.membershipIndex = index
	n.membershipTerm = term
	if n.role != RoleLeader {
		return
	}
	for _, member := range m.Members {
		if n.progress[member.ID] == nil {
			n.progress[member.ID] = newProgress(n.log.lastIndex() + 1)
		}
	}
	for id := range n.progress {
		if _, ok := m.Find(id); !ok {
			delete(n.progress, id)
		}
	}
}
