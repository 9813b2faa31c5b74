// Package raft is a consensus step machine: it takes messages, ticks and
// proposals, and returns what to persist, send and apply.
//
// It has no clock, disk, socket or goroutine of its own. The driver passes in
// `now` and the random source, persists what Ready returns, sends the messages
// only after that sync, applies the committed entries and calls Advance.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
)

// NodeID is the random identity of one replica's data folder. Zero is no node.
type NodeID uint64

// GroupID names one replicated log. Every message carries it, so that several
// groups can share a process and a connection.
type GroupID uint64

// EntryType says what an entry's data is.
type EntryType uint8

const (
	// EntryCommand holds a command for the state machine; empty data is the
	// entry with which a leader opens its term.
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

// HardState is what a node must have synced before it speaks in a term.
type HardState struct {
	Term   uint64
	Vote   NodeID
	Commit uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// Position is an index of the log and the term of the entry there.
type Position struct {
	Index uint64
	Term  uint64
}

// Saved is what a node finds in its data folder when it starts. Base is the
// position just before the first of Entries.
type Saved struct {
	HardState HardState
	Snapshot  Snapshot
	Base      Position
	Entries   []Entry
}

// MessageType says what a Message asks or answers.
type MessageType uint8

// The messages between nodes. A reply of type MessageAppendReply answers
// MessageAppend and MessageSnapshot.
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
)

// Message is sent from one node to another; it may be lost, doubled, delayed
// or reordered.
type Message struct {
	Type  MessageType
	Group GroupID
	From  NodeID
	To    NodeID
	Term  uint64
	// Index and LogTerm are the last entry of a candidate, the entry before
	// Entries in an append, or in a reply the index that matches (or, with
	// Reject, the one that did not).
	Index   uint64
	LogTerm uint64
	Entries []Entry
	Commit  uint64
	Reject  bool
	// Hint is the highest index at which a rejecting follower may match.
	Hint uint64
	// Forced marks a candidate that the leader itself told to start, so that
	// voters need not wait until they miss the leader.
	Forced bool
	// SentAt and Round are the leader's clock and heartbeat round; a reply
	// echoes them, which renews the lease and confirms reads.
	SentAt   time.Duration
	Round    uint64
	Snapshot *Snapshot
}

// Read is a read that may be answered once Index has been applied.
type Read struct {
	ID    uint64
	Index uint64
}

// Ready is the work of one step. The driver first persists Snapshot, Entries
// and HardState in one sync, then sends Messages, applies Committed, answers
// Reads and calls Advance.
type Ready struct {
	HardState   HardState
	MustPersist bool
	Snapshot    *Snapshot
	Entries     []Entry
	Messages    []Message
	Committed   []Entry
	Reads       []Read
}

// Empty tells whether there is nothing to do.
func (r Ready) Empty() bool {
	return !r.MustPersist && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

// Role is what a node is in its term.
type Role uint8

// The roles of a node.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name as the status shows it.
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

// Errors of the step machine.
const (
	ErrNotLeader        = errors.ConstError("this node is not the leader")
	ErrNotReady         = errors.ConstError("the leader has not yet committed an entry of its own term")
	ErrBusy             = errors.ConstError("too much is proposed and not yet committed")
	ErrTransferring     = errors.ConstError("the leader is handing over")
	ErrChangePending    = errors.ConstError("an earlier membership change is not yet committed")
	ErrUnsafeChange     = errors.ConstError("the membership change could leave no majority that answers")
	ErrInvalidChange    = errors.ConstError("the membership change is not one step")
	ErrNoTransferTarget = errors.ConstError("no other voter answers and holds the log")
	ErrInvalidConfig    = errors.ConstError("the node's configuration is not complete")
	ErrInvariant        = errors.ConstError("the step was refused: it would break an invariant")
)

// Config sets a node's identity and timing.
type Config struct {
	ID    NodeID
	Group GroupID
	// ElectionTimeout is how long a node that heard from a leader neither
	// starts an election nor votes in one.
	ElectionTimeout time.Duration
	// HeartbeatInterval is how often a leader speaks to each member.
	HeartbeatInterval time.Duration
	// LeaseMargin is taken off the lease, for clocks that run at different
	// rates: the lease lasts ElectionTimeout - LeaseMargin.
	LeaseMargin time.Duration
	// MaxBatchBytes bounds the entries in one append.
	MaxBatchBytes int
	// MaxInflight bounds the entries sent to a follower and not yet
	// acknowledged.
	MaxInflight uint64
	// MaxUncommitted bounds the entries that a leader accepts ahead of the
	// commit index; beyond it Propose returns ErrBusy.
	MaxUncommitted uint64
	// Rand spreads the election timeouts.
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
