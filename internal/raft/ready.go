package raft

import (
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/invariant"
)

// Ready returns the work that has accumulated since the last Advance. The driver
// must call Advance with the result before it calls any other method.
func (n *Node) Ready() Ready {
	n.replicate()
	n.hard.Commit = n.log.committed
	r := Ready{
		HardState: n.hard,
		Snapshot:  n.pendingSnapshot,
		Entries:   n.log.entriesBetween(n.log.stable, n.log.lastIndex()),
		Messages:  n.messages,
		Committed: n.log.entriesBetween(n.log.applied, n.log.committed),
		Reads:     n.reads,
	}
	// A change of the commit index alone needs no sync: a restarted node learns
	// the index again from a majority.
	termOrVoteChanged := n.hard.Term != n.savedHard.Term || n.hard.Vote != n.savedHard.Vote
	r.MustPersist = termOrVoteChanged || r.Snapshot != nil || len(r.Entries) > 0
	return r
}

// Advance records that the driver has persisted, sent and applied all of r.
func (n *Node) Advance(r Ready) {
	n.messages = nil
	n.reads = nil
	n.pendingSnapshot = nil
	if n.sending == requestsQueued {
		n.sending = requestsJustSent
	}
	if r.MustPersist {
		n.savedHard = r.HardState
		n.log.stable = n.log.lastIndex()
	}
	if k := len(r.Committed); k > 0 {
		last := r.Committed[k-1].Index
		invariant.Check(r.Committed[0].Index == n.log.applied+1 && last <= n.log.committed,
			"entries are applied in order", "%d to %d after %d", r.Committed[0].Index, last, n.log.applied)
		n.log.applied = last
	}
	if n.membership.IsRemoved(n.cfg.ID) && n.membershipIndex <= n.log.committed {
		n.removed = true
	}
	if n.role == RoleLeader {
		n.progress[n.cfg.ID].match = n.log.stable
		n.maybeCommit()
	}
}

// Compact records data as the snapshot of the state machine at the applied index.
// It drops all entries but the last keep up to that index. The driver must persist
// the returned snapshot and base in one write.
//
// It returns ErrInvariant if no entry was applied since the last snapshot.
func (n *Node) Compact(data []byte, keep uint64) (Snapshot, Position, error) {
	index := n.log.applied
	term, ok := n.log.term(index)
	if !ok || index <= n.log.snapshot.Index {
		return Snapshot{}, Position{}, errors.Annotate(ErrInvariant, "nothing to compact")
	}
	m, err := n.membershipAt(index)
	if err != nil {
		return Snapshot{}, Position{}, errors.Trace(err)
	}
	n.log.snapshot = Snapshot{Index: index, Term: term, Membership: m, Data: data}
	if index > keep {
		n.log.compact(index - keep)
	}
	return n.log.snapshot, n.log.base, nil
}

// membershipAt returns the membership as of an applied index.
func (n *Node) membershipAt(index uint64) (Membership, error) {
	if n.membershipIndex <= index {
		return n.membership, nil
	}
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if e.Type == EntryMembership && e.Index <= index && e.Index > n.log.snapshot.Index {
			return DecodeMembership(e.Data)
		}
	}
	return n.log.snapshot.Membership, nil
}

// Status is a copy of a node's state, for its driver and for operators.
type Status struct {
	ID              NodeID
	Role            Role
	Term            uint64
	Leader          NodeID
	Commit          uint64
	Applied         uint64
	LastIndex       uint64
	FirstIndex      uint64
	SnapshotIndex   uint64
	Membership      Membership
	MembershipIndex uint64
	Removed         bool
	// OwnTermCommitted is set on a leader that has committed an entry of its own
	// term. Until then it may not know all entries that earlier leaders committed.
	OwnTermCommitted bool
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	return Status{
		ID:               n.cfg.ID,
		Role:             n.role,
		Term:             n.hard.Term,
		Leader:           n.leader,
		Commit:           n.log.committed,
		Applied:          n.log.applied,
		LastIndex:        n.log.lastIndex(),
		FirstIndex:       n.log.base.Index + 1,
		SnapshotIndex:    n.log.snapshot.Index,
		Membership:       n.membership,
		MembershipIndex:  n.membershipIndex,
		Removed:          n.removed,
		OwnTermCommitted: n.ownTermCommitted(),
	}
}

// MatchIndex returns the highest index up to which a member is known to have synced the
// log. It returns zero for a non-member and on a node that does not lead.
func (n *Node) MatchIndex(id NodeID) uint64 {
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}
