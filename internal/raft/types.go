// Package raft implements the Raft consensus algorithm as a deterministic state
// machine. Its inputs are messages, ticks and proposals. Its outputs are entries to
// persist, messages to send and committed entries to apply.
//
// The package uses no clock, disk, socket or goroutine. The driver passes in the
// time and the random source. For each Ready, the driver persists and syncs the
// state, then sends the messages, applies the committed entries and calls Advance.
//
// Pre-votes, leader leases, linearizable reads, single-step membership changes and
// leadership transfer are included.
//
// A node that received a message from a leader, led, or started grants no vote for
// an election timeout. Comments call this the vote promise. The leader lease
// depends on it, and only a leadership transfer overrides it.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// NodeID is the random identity of one replica's data folder. Zero means no node.
type NodeID uint64

// GroupID identifies one replicated log. Every message carries it, so several
// groups can share a process and a connection.
type GroupID uint64

// EntryType is the kind of data that an entry holds.
type EntryType uint8

const (
	// EntryCommand holds a command for the state machine. Empty data marks the
	// entry that a leader appends at the start of its term.
	EntryCommand EntryType = iota
	// EntryMembership holds an encoded Membership.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Term  uint64
	Index uint64
	Type  EntryType
	Data  []byte
}

// HardState is the state that a node must sync before it sends messages that
// depend on it. Commit alone needs no sync.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Snapshot is the state that replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// Position is a log index and the term of the entry at that index.
type Position struct {
	Index uint64
	Term  uint64
}

// PersistedState is the state that a node reads from its data folder when it starts. Base
// is the position just before the first of Entries.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	Base      Position
	Entries   []Entry
}

// MessageType is the kind of a Message.
type MessageType uint8

// The types of messages between nodes. MessageAppendReply answers both
// MessageAppend and MessageSnapshot. MessageTimeoutNow asks the target of a
// leadership transfer to start an election. MessageRemoved notifies a former member
// that its removal is committed. MessageLeaving notifies the leader that the sender is
// about to stop, so that a learner can take over its vote first.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageTimeoutNow
	MessageRemoved
	MessageLeaving
)

// Message is sent from one node to another. The network may lose, duplicate, delay
// or reorder messages.
type Message struct {
	Type  MessageType
	Group GroupID
	From  NodeID
	To    NodeID
	Term  uint64
	// Index and LogTerm describe the last entry of a candidate's log or, in an
	// append, the entry before Entries. In a reply to an append or snapshot, Index
	// is the last index that matches or, with Reject, the index that did not.
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// ConflictHint is the highest index at which a rejecting follower may match.
	ConflictHint uint64
	// Forced marks the election of a leadership transfer. The leader requested it,
	// so voters ignore their vote promise.
	Forced bool
	// SentAt and Round are the leader's time and heartbeat round at the sending.
	// The reply echoes both: SentAt renews the lease and Round confirms reads.
	SentAt   time.Duration
	Round    uint64
	Snapshot *Snapshot
}

// Read is a confirmed read, which the driver may answer once it has applied Index.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is the work that a node has for its driver. If MustPersist is set, the
// driver first persists Snapshot, Entries and HardState in one sync. It then sends
// Messages, applies Committed, answers Reads and calls Advance.
type Ready struct {
	HardState   HardState
	MustPersist bool
	Snapshot    *Snapshot
	Entries     []Entry
	Messages    []Message
	Committed   []Entry
	Reads       []Read
}

// IsEmpty reports whether there is no work.
func (r Ready) IsEmpty() bool {
	return !r.MustPersist && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Role is the role of a node in its current term.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name as shown in the status.
func (r Role) String() string {
	switch r {
	case RoleLeader:
		return "leader"
	case RoleCandidate:
		return "candidate"
	case RolePreCandidate:
		return "pre-candidate"
	default:
		return "follower"
	}
}

// Errors returned by New and by the methods of Node.
const (
	ErrNotLeader        = errors.ConstError("this node is not the leader")
	ErrNotReady         = errors.ConstError("the leader has not yet committed an entry of its own term")
	ErrBusy             = errors.ConstError("too many proposed entries are not yet committed")
	ErrTransferring     = errors.ConstError("a leadership transfer is in progress")
	ErrChangePending    = errors.ConstError("an earlier membership change is not yet committed")
	ErrUnsafeChange     = errors.ConstError("the membership change could leave the group without a responsive majority")
	ErrInvalidChange    = errors.ConstError("the membership change is not a valid single step")
	ErrNoTransferTarget = errors.ConstError("no other voter has answered within the election timeout")
	ErrInvalidConfig    = errors.ConstError("the node's configuration is incomplete or invalid")
	ErrInvariant        = errors.ConstError("the step was rejected: it would violate an invariant")
)

// Config holds a node's identity, timing and limits.
type Config struct {
	ID    NodeID
	Group GroupID
	// ElectionTimeout is the time for which a node neither starts an election nor
	// votes after it received a message from a leader.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats to each member. It must
	// be less than half of ElectionTimeout.
	HeartbeatInterval time.Duration
	// LeaseMargin shortens the lease to allow for clocks that run at different
	// rates: the lease lasts ElectionTimeout - LeaseMargin.
	LeaseMargin time.Duration
	// ReplaceAfter is the time without an answer after which a learner replaces a
	// voter. Zero means never.
	ReplaceAfter time.Duration
	// MaxBatchBytes limits the data of the entries in one append, except that an
	// append always has room for one entry. Zero means 1 MiB.
	MaxBatchBytes int
	// MaxInflight limits the entries that are sent to a member and not yet
	// acknowledged. Zero means 4096.
	MaxInflight uint64
	// MaxUncommitted limits the entries that a leader accepts beyond the commit
	// index. At the limit Propose returns ErrBusy. Zero means 16384.
	MaxUncommitted uint64
	// Rand randomises the election timeouts.
	Rand *rand.Rand
}

func (c Config) check() error {
	if c.ID == 0 || c.Rand == nil {
		return errors.Trace(ErrInvalidConfig)
	}
	if c.HeartbeatInterval <= 0 || c.ElectionTimeout <= 2*c.HeartbeatInterval {
		return errors.Trace(ErrInvalidConfig)
	}
	if c.LeaseMargin <= 0 || c.LeaseMargin >= c.ElectionTimeout {
		return errors.Trace(ErrInvalidConfig)
	}
	return nil
}
