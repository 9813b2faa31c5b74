package raft

import (
	"bytes"
	"fmt"
)

// simChecker checks the invariants of the complete group, which no single node can
// check.
type simChecker struct {
	w *simCluster
	// leaders holds the only leader of each term.
	leaders map[uint64]NodeID
	// committedAtElection holds, by term, the last applied index when its leader was found.
	committedAtElection map[uint64]uint64
	votes               map[simBallot]NodeID
	// committed holds, by index, the entries that at least one node has applied.
	committed       map[uint64]Entry
	lastCommitted   uint64
	membership      Membership
	membershipIndex uint64
}

// simBallot identifies the single vote of one voter in one term.
type simBallot struct {
	voter NodeID
	term  uint64
}

// simViolation is the panic value for an invariant violation in the simulation.
type simViolation struct{ detail string }

func (v simViolation) Error() string { return v.detail }

func newSimChecker(w *simCluster) *simChecker {
	return &simChecker{
		w: w, leaders: map[uint64]NodeID{}, committedAtElection: map[uint64]uint64{}, votes: map[simBallot]NodeID{}, committed: map[uint64]Entry{},
	}
}

func (c *simChecker) fail(format string, args ...any) {
	panic(simViolation{fmt.Sprintf(format, args...)})
}

// checkVote checks that each identity grants at most one vote per term.
func (c *simChecker) checkVote(p *simProcess, m Message) {
	if m.Type != MessageVoteReply || m.Reject || m.To != p.id {
		return
	}
	b := simBallot{voter: m.From, term: m.Term}
	if old, ok := c.votes[b]; ok && old != p.id {
		c.fail("%x voted for %x and %x in term %d", uint64(m.From), uint64(old), uint64(p.id), m.Term)
	}
	c.votes[b] = p.id
}

// checkLeader checks, after each step of a process, that a term has only one leader.
func (c *simChecker) checkLeader(p *simProcess) {
	s := p.node.Status()
	if s.Role != RoleLeader {
		return
	}
	old, ok := c.leaders[s.Term]
	if ok && old != p.id {
		c.fail("two leaders in term %d: %x and %x", s.Term, uint64(old), uint64(p.id))
	}
	if ok {
		return
	}
	c.leaders[s.Term] = p.id
	c.committedAtElection[s.Term] = c.lastCommitted
	c.w.counts["leaders"]++
	c.checkLeaderLog(p, s)
}

// checkLeaderLog checks that a new leader holds every applied entry of an earlier term.
// A node may learn that it won only after a leader of a later term was elected. It
// then lacks the later leader's entries, and those of earlier terms that the later leader
// has committed, but it can commit nothing.
func (c *simChecker) checkLeaderLog(p *simProcess, s Status) {
	last := c.lastCommitted
	for term, index := range c.committedAtElection {
		if term > s.Term {
			last = min(last, index)
		}
	}
	for index := s.FirstIndex; index <= last; index++ {
		if c.committed[index].Term >= s.Term {
			return
		}
		term, held := p.node.log.term(index)
		if !held || term != c.committed[index].Term {
			c.fail("the leader of term %d lacks entry %d", s.Term, index)
		}
	}
}

// checkApplied checks that all nodes apply the same entry at each index.
func (c *simChecker) checkApplied(p *simProcess, e Entry) {
	old, ok := c.committed[e.Index]
	if ok && (old.Term != e.Term || !bytes.Equal(old.Data, e.Data)) {
		c.fail("%x applies an entry %d that differs from the one applied before", uint64(p.id), e.Index)
	}
	if ok {
		return
	}
	if e.Index != c.lastCommitted+1 {
		c.fail("entry %d applied after %d", e.Index, c.lastCommitted)
	}
	c.committed[e.Index] = e
	c.lastCommitted = e.Index
	if e.Type != EntryMembership {
		return
	}
	m, err := DecodeMembership(e.Data)
	if err != nil {
		c.fail("entry %d: %v", e.Index, err)
	}
	c.membership = m
	c.membershipIndex = e.Index
}

// checkLeases checks that no process leads a later term while another one, frozen or
// not, holds a lease on its own clock.
func (c *simChecker) checkLeases() {
	for _, vm := range c.w.vms {
		p := vm.proc
		if p == nil || p.lease <= vm.clock(c.w.now) {
			continue
		}
		for _, other := range c.w.vms {
			o := other.proc
			if o == nil || o == p {
				continue
			}
			if s := o.node.Status(); s.Role == RoleLeader && s.Term > p.term {
				c.fail("%x leads term %d while %x holds the lease of term %d",
					uint64(o.id), s.Term, uint64(p.id), p.term)
			}
		}
	}
}
