package raft

import (
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/invariant"
)

// Defaults of Config that a driver may leave zero.
const (
	defaultMaxBatchBytes  = 1 << 20
	defaultMaxInflight    = 4096
	defaultMaxUncommitted = 16384
)

// never is a point in time before any that a driver passes in.
const never = time.Duration(-1 << 62)

// Node is one replica's step machine. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	now  time.Duration
	role Role
	hard HardState
	// savedHard is the hard state as last persisted.
	savedHard HardState
	leader    NodeID
	log       raftLog

	membership      Membership
	membershipIndex uint64
	membershipTerm  uint64
	removed         bool

	// heardAt is when this node last heard from a leader, or started. Until
	// ElectionTimeout later it votes for nobody: the leader's lease rests on
	// that, also when this node has restarted and forgotten whom it heard.
	heardAt     time.Duration
	electionDue time.Duration
	votes       map[NodeID]bool

	// What follows is kept by a leader only and reset in each term.
	progress     map[NodeID]*progress
	leaderSince  time.Duration
	openingIndex uint64
	heartbeatDue time.Duration
	round        uint64
	roundWanted  bool
	pendingReads []pendingRead
	transfer     transfer

	messages        []Message
	pendingSnapshot *Snapshot
	reads           []Read
}

// New returns a node with the state of its data folder.
func New(cfg Config, saved Saved, now time.Duration) (*Node, error) {
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
	n := &Node{cfg: cfg, now: now, heardAt: now, hard: saved.HardState, savedHard: saved.HardState}
	n.log = raftLog{snapshot: saved.Snapshot, base: saved.Base, entries: saved.Entries}
	n.log.stable = n.log.lastIndex()
	n.log.applied = saved.Snapshot.Index
	n.log.committed = max(saved.HardState.Commit, saved.Snapshot.Index)
	if n.log.committed > n.log.lastIndex() {
		return nil, errors.Annotate(ErrInvariant, "the commit index is past the log")
	}
	if err := n.reloadMembership(); err != nil {
		return nil, errors.Trace(err)
	}
	n.removed = n.membership.IsRemoved(cfg.ID)
	n.resetElection()
	if v := n.membership.Voters(); len(v) == 1 && v[0] == cfg.ID {
		// Nobody else can have been promised anything.
		n.electionDue = now
	}
	return n, nil
}

// Tick lets time pass: elections, heartbeats and the check of the quorum.
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

// advanceClock ignores a clock that steps back; the driver's must not.
func (n *Node) advanceClock(now time.Duration) {
	n.now = max(n.now, now)
}

func (n *Node) resetElection() {
	spread := time.Duration(n.cfg.Rand.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDue = n.now + n.cfg.ElectionTimeout + spread
}

// Step takes one message. A message that is not for this node and group, or
// is of the past, changes nothing.
func (n *Node) Step(now time.Duration, m Message) {
	n.advanceClock(now)
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || n.removed {
		return
	}
	if m.Type == MessageRemoved {
		n.handleRemoved(m)
		return
	}
	if n.refuseStranger(m) {
		return
	}
	if m.Term < n.hard.Term {
		n.answerOldTerm(m)
		return
	}
	if m.Term > n.hard.Term && !n.enterTerm(m) {
		return
	}
	n.dispatch(m)
}

// enterTerm moves to the later term of m, unless m asks for a vote that this
// node has promised its leader not to give. It tells whether to handle m.
func (n *Node) enterTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return true
	case MessagePreVoteReply:
		if !m.Reject {
			return true
		}
	case MessageVote:
		if !m.Forced && n.promised() {
			return false
		}
	}
	n.becomeFollower(m.Term, 0)
	return true
}

// promised tells whether this node may not vote, because it heard from a
// leader, led, or started less than an election timeout ago. A leader's lease
// ends before this promise of a majority does. It also keeps a node that was
// cut off, or removed without knowing, from unseating a working leader.
func (n *Node) promised() bool {
	return n.role == RoleLeader || n.now-n.heardAt < n.cfg.ElectionTimeout
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
		n.handleFromLeader(m)
	case MessageAppendReply:
		n.handleAppendReply(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// answerOldTerm tells a sender of an earlier term which term it is, so that a
// leader or candidate left behind steps down.
func (n *Node) answerOldTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		n.send(Message{Type: MessageAppendReply, To: m.From, Reject: true, Index: m.Index})
	case MessagePreVote:
		n.send(Message{Type: MessagePreVoteReply, To: m.From, Reject: true})
	}
}

// refuseStranger answers a candidate whose removal is committed. It keeps
// asking otherwise, because nobody sends the removed the log any more.
func (n *Node) refuseStranger(m Message) bool {
	if !n.membership.IsRemoved(m.From) || n.membershipIndex > n.log.committed {
		return false
	}
	if m.Type == MessagePreVote || m.Type == MessageVote {
		n.send(Message{Type: MessageRemoved, To: m.From, Commit: n.log.committed})
	}
	return true
}

// handleRemoved ends this node's part. Its sender has seen the removal
// committed, and an identity never becomes a member again.
func (n *Node) handleRemoved(m Message) {
	if _, ok := n.membership.Find(m.From); !ok {
		return
	}
	n.becomeFollower(n.hard.Term, 0)
	n.removed = true
}

func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if !invariant.Check(term >= n.hard.Term, "terms never fall", "from %d to %d", n.hard.Term, term) {
		return
	}
	if n.role == RoleLeader {
		// This node's own word counted in the quorum behind its lease, so it
		// keeps the promise that it would have made to another leader.
		n.heardAt = n.now
	}
	if term > n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = 0
	}
	n.role = RoleFollower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.pendingReads = nil
	n.transfer = transfer{}
	n.resetElection()
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

// Propose appends a command and returns its position. It is committed when
// Ready hands it out, and surely lost when Ready hands out another entry with
// the same index.
func (n *Node) Propose(data []byte) (Position, error) {
	if err := n.checkProposer(); err != nil {
		return Position{}, errors.Trace(err)
	}
	return n.appendOwn(EntryCommand, data), nil
}

func (n *Node) checkProposer() error {
	if n.role != RoleLeader {
		return ErrNotLeader
	}
	if n.transfer.target != 0 {
		return ErrTransferring
	}
	// A group that has lost its quorum would else collect proposals without
	// end while callers retry.
	if n.log.lastIndex()-n.log.committed >= n.cfg.MaxUncommitted {
		return ErrBusy
	}
	return nil
}

func (n *Node) appendOwn(t EntryType, data []byte) Position {
	p := Position{Index: n.log.lastIndex() + 1, Term: n.hard.Term}
	n.log.entries = append(n.log.entries, Entry{Term: p.Term, Index: p.Index, Type: t, Data: data})
	if t == EntryMembership {
		// The data was encoded just before, so it decodes.
		_ = n.reloadMembership()
	}
	return p
}
