package raft

import (
	"time"

	"github.com/citronstep/citronstep/internal/invariant"
)

// startPreVote asks the voters whether this node could win an election, without
// starting a new term. Without a pre-vote, a node that returns from a network
// partition has a higher term and deposes a working leader.
//
// A forced call skips the pre-vote and starts the election at once.
func (n *Node) startPreVote(forced bool) {
	n.resetElectionTimer()
	n.leader = 0
	if n.removed || !n.mayCampaign() {
		return
	}
	if n.role == RoleCandidate {
		n.lostElections++
	}
	n.role = RolePreCandidate
	n.scheduleElectionRetry()
	n.votes = map[NodeID]bool{n.cfg.ID: true}
	if forced || n.votesWon() {
		n.startElection(forced)
		return
	}
	n.requestVotes(MessagePreVote, n.hard.Term+1, false)
}

// learnerCampaignTimeouts is the number of election timeouts without a leader after which a
// learner campaigns.
const learnerCampaignTimeouts = 4

// mayCampaign reports whether this node may stand for election: it has a vote, or it is a
// learner that has long known no leader.
//
// Failure: a leader is lost after it sent its last entry to a learner only. Another voter
// has appended an uncommitted list in which that learner votes. The voter needs the vote of
// the learner, whose log is more complete, and no voter with a shorter log can win. The
// learner can: it needs a majority of the voters like any other, and hands over at once.
func (n *Node) mayCampaign() bool {
	if n.membership.HasVote(n.cfg.ID) {
		return true
	}
	_, ok := n.membership.Find(n.cfg.ID)
	return ok && n.now-n.lastLeaderContact > learnerCampaignTimeouts*n.cfg.ElectionTimeout
}

// retryDivisor divides the election timeout to give the shortest delay before an
// unsuccessful candidate retries. The longest delay is twice the shortest.
//
// A first attempt often fails because the voters' promises have a moment left to
// run, or because it competes with another candidate. A quarter of the timeout
// spans many round trips. A delay of a whole timeout would double the time
// without a leader.
const retryDivisor = 4

// maxRetryDoublings bounds the growth of the delay: it is at most four times the first one, which
// is one to two election timeouts.
const maxRetryDoublings = 2

// scheduleElectionRetry sets the next election attempt to a random time within the retry
// range. The range doubles with each election that this node has lost since it last knew a leader.
//
// Failure: disks are slow, and each sync takes longer than the delay. Each voter's reply arrives
// when the candidate has given up, and there is no leader until the disks are fast again.
func (n *Node) scheduleElectionRetry() {
	minDelay := (n.cfg.ElectionTimeout / retryDivisor) << min(n.lostElections, maxRetryDoublings)
	n.electionDue = n.now + minDelay + time.Duration(n.cfg.Rand.Int64N(int64(minDelay)))
}

// electionSending tells whether the requests for votes of this node's latest attempt are sent.
type electionSending int

const (
	// requestsSent: the delay before the next attempt runs.
	requestsSent electionSending = iota
	// requestsQueued: the driver has not persisted and sent them yet.
	requestsQueued
	// requestsJustSent: the driver has sent them at a time that this node does not know yet.
	requestsJustSent
)

// restartElectionRetry restarts the delay before the next attempt if the driver has just sent the
// requests of this one.
//
// Failure: a candidate's own sync takes longer than the delay. Its next attempt was due before
// its requests for votes were sent.
func (n *Node) restartElectionRetry() {
	if n.sending != requestsJustSent {
		return
	}
	n.sending = requestsSent
	if n.role == RolePreCandidate || n.role == RoleCandidate {
		n.scheduleElectionRetry()
	}
}

// startElection enters a new term, votes for this node and requests the other
// voters' votes.
func (n *Node) startElection(forced bool) {
	n.hard.Term++
	n.hard.Vote = n.cfg.ID
	n.role = RoleCandidate
	n.leader = 0
	n.votes = map[NodeID]bool{n.cfg.ID: true}
	n.scheduleElectionRetry()
	if n.votesWon() {
		n.becomeLeader()
		return
	}
	n.requestVotes(MessageVote, n.hard.Term, forced)
}

func (n *Node) requestVotes(t MessageType, term uint64, forced bool) {
	n.sending = requestsQueued
	last := n.log.last()
	for _, id := range n.membership.electorate() {
		if id == n.cfg.ID {
			continue
		}
		n.send(Message{Type: t, To: id, Term: term, Index: last.Index, LogTerm: last.Term, Forced: forced})
	}
}

// votesWon reports whether a majority has granted its vote. It counts only
// voters of the current membership: a vote from a learner or a non-member does
// not count.
func (n *Node) votesWon() bool {
	return n.membership.hasMajority(func(id NodeID) bool { return n.votes[id] })
}

// isUpToDate reports whether the candidate's log is at least as up to date as the
// local log, so that it holds every entry that may be committed.
func (n *Node) isUpToDate(m Message) bool {
	last := n.log.last()
	return m.LogTerm > last.Term || (m.LogTerm == last.Term && m.Index >= last.Index)
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.hard.Term && !n.mustWithholdVote() && n.isUpToDate(m)
	reply := Message{Type: MessagePreVoteReply, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) handleVote(m Message) {
	// enterTerm checks the vote promise only for a message of a later term. This
	// node may already be in the candidate's term because of another message,
	// while its leader's lease still runs.
	mayVote := n.hard.Vote == 0 && n.leader == 0 && (m.Forced || !n.mustWithholdVote())
	grant := (mayVote || n.hard.Vote == m.From) && n.isUpToDate(m)
	if grant && !n.recordVote(m.From) {
		return
	}
	n.send(Message{Type: MessageVoteReply, To: m.From, Reject: !grant})
}

// recordVote stores the vote in the hard state. The driver sends the reply only
// after it has synced the hard state, so a crash cannot make this node forget the
// vote and vote twice in a term.
func (n *Node) recordVote(candidate NodeID) bool {
	ok := invariant.Check(n.hard.Vote == 0 || n.hard.Vote == candidate, "one vote in a term",
		"term %d: voted for %x, asked by %x", n.hard.Term, uint64(n.hard.Vote), uint64(candidate))
	if !ok {
		return false
	}
	n.hard.Vote = candidate
	n.resetElectionTimer()
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

// becomeLeader starts this node's leadership of the current term. It appends an
// empty entry: earlier entries can commit only together with one of this term.
func (n *Node) becomeLeader() {
	n.role = RoleLeader
	n.leader = n.cfg.ID
	n.votes = nil
	n.lostElections = 0
	n.leaderSince = n.now
	n.pendingReads = nil
	n.transfer = transfer{}
	n.round = 0
	n.progress = map[NodeID]*progress{}
	for _, member := range n.membership.Members {
		n.progress[member.ID] = newProgress(n.log.lastIndex()+1, n.now)
	}
	n.progress[n.cfg.ID].match = n.log.stable
	n.heartbeatDue = n.now
	n.termStartIndex = n.appendEntry(EntryCommand, nil).Index
	n.broadcastHeartbeat()
}

// handleTimeoutNow starts an election at once, as the target of a leadership
// transfer. The leader gave up its lease before it sent the message.
func (n *Node) handleTimeoutNow(m Message) {
	if m.From != n.leader || n.role != RoleFollower {
		return
	}
	n.startPreVote(true)
}
