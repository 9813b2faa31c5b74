package raft

import (
	"time"

	"github.com/citronstep/citronstep/internal/invariant"
)

// startPreVote asks whether an election could be won, without a new term.
// Without it a node that was cut off returns with a high term and unseats a
// leader that works.
func (n *Node) startPreVote(forced bool) {
	n.resetElection()
	n.leader = 0
	if n.removed || !n.membership.IsVoter(n.cfg.ID) {
		return
	}
	n.role = RolePreCandidate
	n.scheduleRetry()
	n.votes = map[NodeID]bool{n.cfg.ID: true}
	if forced || n.votesWon() {
		n.startElection(forced)
		return
	}
	n.askForVotes(MessagePreVote, n.hard.Term+1, false)
}

// retryParts is the part of the election timeout after which a candidate that
// did not win tries again, at the earliest; at the latest it is twice that. A
// first try often comes a moment before the voters' promises end, or against
// another candidate's. A quarter is many round trips, and the wait for a whole
// timeout more would double the time without a leader.
const retryParts = 4

func (n *Node) scheduleRetry() {
	least := n.cfg.ElectionTimeout / retryParts
	n.electionDue = n.now + least + time.Duration(n.cfg.Rand.Int64N(int64(least)))
}

func (n *Node) startElection(forced bool) {
	n.hard.Term++
	n.hard.Vote = n.cfg.ID
	n.role = RoleCandidate
	n.leader = 0
	n.votes = map[NodeID]bool{n.cfg.ID: true}
	n.scheduleRetry()
	if n.votesWon() {
		n.becomeLeader()
		return
	}
	n.askForVotes(MessageVote, n.hard.Term, forced)
}

func (n *Node) askForVotes(t MessageType, term uint64, forced bool) {
	last := n.log.last()
	for _, id := range n.membership.Voters() {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: t, To: id, Term: term, Index: last.Index, LogTerm: last.Term, Forced: forced})
	}
}

// votesWon counts only voters of the present membership, so that a vote by an
// identity that is not, or not yet, a voter has no weight.
func (n *Node) votesWon() bool {
	granted := 0
	for _, id := range n.membership.Voters() {
		if n.votes[id] {
			granted++
		}
	}
	return granted >= n.membership.Quorum()
}

// upToDate tells whether a candidate's log holds all that may be committed.
func (n *Node) upToDate(m Message) bool {
	last := n.log.last()
	return m.LogTerm > last.Term || (m.LogTerm == last.Term && m.Index >= last.Index)
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.promised() && n.upToDate(m)
	reply := Message{Type: MessagePreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handleVote(m Message) {
	// The promise is checked here too: this node can have come to the
	// candidate's term by another message while its leader's lease still runs.
	free := n.hard.Vote == 0 && n.leader == 0 && (m.Forced || !n.promised())
	grant := (free || n.hard.Vote == m.From) && n.upToDate(m)
	if grant && !n.recordVote(m.From) {
		return
	}
	n.send(Message{Type: MessageVoteReply, To: m.From, Reject: !grant})
}

// recordVote notes the vote in the hard state; the reply leaves only after
// Ready's sync, so that a crash can't make this node forget it and vote twice.
func (n *Node) recordVote(candidate NodeID) bool {
	ok := invariant.Check(n.hard.Vote == 0 || n.hard.Vote == candidate, "one vote in a term",
		"term %d: voted for %x, asked by %x", n.hard.Term, uint64(n.hard.Vote), uint64(candidate))
	if !ok {
		return false
	}
	n.hard.Vote = candidate
	n.resetElection()
	return true
}

func (n *Node) handleVoteReply(m Message) {
	switch {
	case n.role == RolePreCandidate && m.Type == MessagePreVoteReply:
		if m.Term != n.hard.Term+1 && !m.Reject {
			return
		}
	case n.role == RoleCandidate && m.Type == MessageVoteReply:
	default:
		return
	}
	if m.Reject {
		return
	}
	n.votes[m.From] = true
	if !n.votesWon() {
		return
	}
	if n.role == RolePreCandidate {
		n.startElection(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.votes = nil
	n.leaderSince = n.now
	n.pendingReads = nil
	n.transfer = transfer{}
	n.round = 0
	n.progress = map[NodeID]*progress{}
	for _, member := range n.membership.Members {
		n.progress[member.ID] = newProgress(n.log.lastIndex() + 1)
	}
	n.progress[n.cfg.ID].match = n.log.stable
	n.heartbeatDue = n.now
	n.openingIndex = n.appendOwn(EntryCommand, nil).Index
	n.beat()
}

// handleTimeoutNow starts an election at the wish of the leader, which has
// given up its lease before it sent this.
func (n *Node) handleTimeoutNow(m Message) {
	if m.From != n.leader || n.role != RoleFollower {
		return
	}
	n.startPreVote(true)
}
