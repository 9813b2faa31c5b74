package raft

import (
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/invariant"
)

// Defaults for the fields of Config that a driver may leave zero.
const (
	defaultMaxBatchBytes  = 1 << 20
	defaultMaxInflight    = 4096
	defaultMaxUncommitted = 16384
)

// never is a time before any that a driver passes in.
const never = time.Duration(-1 << 62)

// Node is the consensus state machine of one replica. Time, messages and disk
// results come only from its driver. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  time.Duration
	role Role
	hard HardState
	// savedHard is the hard state that was last persisted.
	savedHard HardState
	leader    NodeID
	log       raftLog

	membership      Membership
	membershipIndex uint64
	membershipTerm  uint64
	// removed is set once this node learns that its removal is committed.
	removed bool
	// leaving is set once this node is about to stop, and leavingSent once it has notified
	// its leader.
	leaving     bool
	leavingSent bool

	// lastLeaderContact is the time at which this node last received a message from a
	// leader, led, or started. It grants no vote for an ElectionTimeout after
	// that: the leader's lease depends on this promise. The start counts because
	// a restarted node does not know what it received before.
	lastLeaderContact time.Duration
	electionDue       time.Duration
	votes             map[NodeID]bool
	// lostElections counts the elections that this node has lost since it last knew a leader.
	lostElections int
	sending       electionSending

	// The fields below are used only by a leader and reset when it is elected.
	progress    map[NodeID]*progress
	leaderSince time.Duration
	// termStartIndex is the index of the empty entry that began the leader's term.
	termStartIndex uint64
	heartbeatDue   time.Duration
	// round numbers the heartbeats that the leader broadcast in this term.
	round uint64
	// needsNewRound is set while a pending read needs a new round.
	needsNewRound bool
	pendingReads  []pendingRead
	transfer      transfer

	messages        []Message
	pendingSnapshot *Snapshot
	reads           []Read
}

// New returns a node with the state read from its data folder. It returns
// ErrInvalidConfig for an invalid cfg and ErrInvariant for an inconsistent state.
func New(cfg Config, saved PersistedState, now time.Duration) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, errors.Trace(err)
	}
	if cfg.MaxBatchBytes == 0 {
		cfg.MaxBatchBytes = defaultMaxBatchBytes
	}
	if cfg.MaxInflight == 0 {
		cfg.MaxInflight = defaultMaxInflight
	}
	if cfg.MaxUncommitted == 0 {
		cfg.MaxUncommitted = defaultMaxUncommitted
	}
	n := &Node{cfg: cfg, now: now, lastLeaderContact: now, hard: saved.HardState, savedHard: saved.HardState}
	n.log = raftLog{snapshot: saved.Snapshot, base: saved.Base, entries: saved.Entries}
	n.log.stable = n.log.lastIndex()
	n.log.applied = saved.Snapshot.Index
	n.log.committed = max(saved.HardState.Commit, saved.Snapshot.Index)
	if n.log.committed > n.log.lastIndex() {
		return nil, errors.Annotate(ErrInvariant, "the commit index is beyond the end of the log")
	}
	if err := n.reloadMembership(); err != nil {
		return nil, errors.Trace(err)
	}
	n.removed = n.membership.IsRemoved(cfg.ID)
	n.resetElectionTimer()
	if v := n.membership.electorate(); len(v) == 1 && v[0] == cfg.ID {
		// The only voter cannot have promised its vote to another node, so it need not
		// wait.
		n.electionDue = now
	}
	return n, nil
}

// Tick advances the clock to now. It starts a due election or, on a leader, checks
// the quorum and sends due heartbeats.
func (n *Node) Tick(now time.Duration) {
	n.advanceClock(now)
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	if n.now >= n.electionDue {
		n.startPreVote(false)
	}
}

// advanceClock sets the node's time to now. It ignores a step back, although a
// driver's clock must be monotonic.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
	n.restartElectionRetry()
}

// resetElectionTimer sets the next election to a random time, one to two election
// timeouts from now.
func (n *Node) resetElectionTimer() {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDue = n.now + n.cfg.ElectionTimeout + spread
}

// Step handles one message. It ignores a message for another node or group. A
// message of an earlier term changes no state.
func (n *Node) Step(now time.Duration, m Message) {
	n.advanceClock(now)
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || n.removed {
		return
	}
	if m.Type == MessageRemoved {
		n.handleRemoved(m)
		return
	}
	if n.refuseRemovedSender(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.replyStaleTerm(m)
		return
	}
	if m.Term > n.hard.Term && !n.enterTerm(m) {
		return
	}
	n.dispatch(m)
}

// enterTerm handles the later term of m and reports whether to handle m itself. It
// returns false for a vote request that this node's vote promise forbids. A
// pre-vote request, or the grant of one, does not change the term.
func (n *Node) enterTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !m.Forced && n.mustWithholdVote() {
			return false
		}
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// mustWithholdVote reports whether this node has promised not to vote: it leads, or it
// received a message from a leader, led or started less than an election timeout
// ago. The leader's lease ends before a majority's promises do. The promise also
// prevents a node that was partitioned, or removed without knowing it, from
// deposing a working leader.
func (n *Node) mustWithholdVote() bool {
	return n.role == RoleLeader || n.now-n.lastLeaderContact < n.cfg.ElectionTimeout
}

func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MessagePreVote:
		n.handlePreVote(m)
	case MessageVote:
		n.handleVote(m)
	case MessagePreVoteReply, MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.handleLeaderMessage(m)
	case MessageAppendReply:
		n.handleAppendReply(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(m)
	case MessageLeaving:
		n.handleLeaving(m)
	}
}

// replyStaleTerm sends the current term to a sender in an earlier term, so that a
// stale leader or candidate steps down.
func (n *Node) replyStaleTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index})
	case MessagePreVote:
		n.send(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

// refuseRemovedSender reports whether the sender's removal is committed, in which case
// the message is dropped. It notifies a removed candidate of its removal.
// Otherwise the candidate would request votes forever, because no leader sends the
// log to a removed member.
func (n *Node) refuseRemovedSender(m Message) bool {
	if !n.membership.IsRemoved(m.From) || n.membershipIndex > n.log.committed {
		return false
	}
	if m.Type == MessagePreVote || m.Type == MessageVote {
		n.send(Message{Type: MessageRemoved, To: m.From, Commit: n.log.committed})
	}
	return true
}

// handleRemoved makes this node ignore all later messages. The sender knows that
// the removal is committed, and a removed identity never becomes a member again.
func (n *Node) handleRemoved(m Message) {
	if _, ok := n.membership.Find(m.From); !ok {
		return
	}
	n.becomeFollower(n.hard.Term, 0)
	n.removed = true
}

// becomeFollower enters term as a follower of leader, which is zero if unknown.
func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if !invariant.Check(term >= n.hard.Term, "terms never fall", "from %d to %d", n.hard.Term, term) {
		return
	}
	if n.role == RoleLeader {
		// This node counted itself in the quorum for its lease, so it makes the
		// same vote promise that it would have made to another leader.
		n.lastLeaderContact = n.now
	}
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = 0
	}
	n.role = RoleFollower
	n.leader = leader
	if leader != 0 {
		n.lostElections = 0
	}
	n.votes = nil
	n.progress = nil
	n.pendingReads = nil
	n.transfer = transfer{}
	n.resetElectionTimer()
}

// send queues a message for the next Ready.
func (n *Node) send(m Message) {
	m.Group = n.cfg.Group
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	n.messages = append(n.messages, m)
}

// Propose appends a command and returns its position. The command is committed
// once Ready returns it in Committed. It is lost once Ready returns an entry with
// the same index and another term.
//
// It returns ErrNotLeader on a node that does not lead, ErrTransferring during a
// leadership transfer, and ErrBusy when MaxUncommitted entries are uncommitted.
func (n *Node) Propose(data []byte) (Position, error) {
	if err := n.checkCanPropose(); err != nil {
		return Position{}, errors.Trace(err)
	}
	return n.appendEntry(EntryCommand, data), nil
}

func (n *Node) checkCanPropose() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.transfer.target != 0 {
		return ErrTransferring
	}
	// Without this limit, a group that has lost its quorum would accumulate
	// proposals without bound while callers retry.
	if n.log.lastIndex()-n.log.committed >= n.cfg.MaxUncommitted {
		return ErrBusy
	}
	return nil
}

// appendEntry appends an entry of the leader's current term.
func (n *Node) appendEntry(t EntryType, data []byte) Position {
	p := Position{Index: n.log.lastIndex() + 1, Term: n.hard.Term}
	n.log.entries = append(n.log.entries, Entry{Term: p.Term, Index: p.Index, Type: t, Data: data})
	if t == EntryMembership {
		// ProposeMembership has just encoded the data, so decoding cannot fail.
		_ = n.reloadMembership()
	}
	return p
}
