// Package replica runs one node of the consensus state machine (package raft). It persists,
// sends and applies the output of that state machine, and offers the replicated state machine
// to the daemon.
//
// One goroutine owns the consensus state machine. It syncs before it sends messages or returns
// results. It publishes each new state before both, so that a reader never sees a lease that
// the node has given up.
package replica

import (
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// StateMachine is the replicated state machine. The node calls its methods from one goroutine,
// in the order of the log.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state as of the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
}

// Member is one replica of the group.
type Member = raft.Member

// Options configure a node. Fields with a default may be zero.
type Options struct {
	Group raft.GroupID
	// Folder is the data folder, on a disk that retains synced data.
	Folder string
	// VM is the stable name of this machine, unique in the cluster.
	VM         string
	DataCentre string
	// Address is the IP and port at which the other replicas reach Handler.
	Address string
	// SourceAddress is the source address of connections to peers; nil lets the system choose.
	SourceAddress net.Addr
	// Peers are the addresses of the control VMs from the settings. They may include this
	// node's own.
	Peers   []string
	Machine StateMachine
	Logger  log.Logger
	// Voters is the number of voters that the leader aims for, 3 or 5. Default 3.
	Voters int
	// Secret is the bearer token that the system's own processes share. If it is empty, no
	// token is required.
	Secret string
	// HTTPClient replaces the node's own client, which uses one connection to each peer.
	HTTPClient HTTPClient
	// TickInterval is how often the node reads its clock. Default 50 ms.
	TickInterval time.Duration
	// ElectionTicks is the election timeout in ticks. Default 20, which is 1 s: enough for
	// several syncs of a slow disk and one dead connection.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval in ticks. Default 4, a fifth of the election
	// timeout: four heartbeats may be lost before an election, and an idle leader sends half as
	// much as with 2.
	HeartbeatTicks int
	// MaxBatch bounds the proposals that share one sync. Default 1024.
	MaxBatch int
	// SnapshotEntries is the number of entries after which the log is compacted. Default 128: a
	// restart applies at most that many entries again, see defaultSnapshotEntries.
	SnapshotEntries uint64
	// ReplaceAfter is how long a voter must be unresponsive before a standby learner replaces
	// it. Default 10 minutes: longer than a restart of a VM, and short compared with the time
	// to a second loss.
	ReplaceAfter time.Duration
	// Now reads a clock that never steps back and includes the time during which the process or
	// the VM was suspended. Default BootTime.
	Now func() time.Duration
	// Seed seeds the randomisation of election timeouts. Default random.
	Seed uint64
}

// HTTPClient sends one request. http.Client implements it.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

const (
	defaultVoters         = 3
	defaultTickInterval   = 50 * time.Millisecond
	defaultElectionTicks  = 20
	defaultHeartbeatTicks = 4
	defaultMaxBatch       = 1024
	// defaultSnapshotEntries bounds the entries that a restart has to apply again.
	//
	// Load: all processes lose power, and callers wait for the control processes. With 1,024, a
	// replica with 0.48 of a core needed 0.3 s after it listened to apply 450 entries, twenty
	// of them complete configurations. With 128, a snapshot of 222 VMs and 33 groups costs some
	// milliseconds every 128 entries.
	defaultSnapshotEntries = 128
	defaultReplaceAfter    = 10 * time.Minute
	// maxCommandBytes bounds one command, so that the uncommitted commands fit into a node's
	// memory.
	maxCommandBytes = 1 << 20
	// maxBatchBytes bounds one append. It is well under MaxRequestBytes.
	maxBatchBytes = 1 << 20
	// leaseMarginDivisor gives the part of the election timeout by which the lease is shorter.
	// An eighth covers clocks whose rates differ by 6%.
	leaseMarginDivisor = 8
)

func (o Options) withDefaults() Options {
	if o.Voters == 0 {
		o.Voters = defaultVoters
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = defaultHeartbeatTicks
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.ReplaceAfter == 0 {
		o.ReplaceAfter = defaultReplaceAfter
	}
	if o.Now == nil {
		o.Now = BootTime
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return o
}

func (o Options) check() error {
	switch {
	case o.Folder == "":
		return errors.Annotate(ErrInvalidOptions, "no data folder")
	case o.VM == "":
		return errors.Annotate(ErrInvalidOptions, "no VM name")
	case o.Address == "":
		return errors.Annotate(ErrInvalidOptions, "no address")
	case o.Machine == nil:
		return errors.Annotate(ErrInvalidOptions, "no state machine")
	}
	return nil
}

func (o Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.TickInterval
}

// Errors that a node returns. The errors of Propose state what became of the command.
const (
	// ErrOutcomeUnknown means that the command was appended and may or may not take effect: the
	// wait ended, or this node lost the leadership.
	ErrOutcomeUnknown = errors.ConstError("the outcome of the command is unknown")
	// ErrNotProposed means that the command was not appended and never takes effect: the wait
	// ended before the command was handled, or too many commands are in flight.
	ErrNotProposed = errors.ConstError("the command was not proposed")
	// ErrNotFounded means that this node does not belong to a cluster yet.
	ErrNotFounded = errors.ConstError("this node belongs to no cluster")
	// ErrRemoved means that this node's identity was removed from the membership.
	ErrRemoved = errors.ConstError("this node was removed from its cluster")
	// ErrClosed means that the node was closed or has failed.
	ErrClosed = errors.ConstError("the node is closed")
	// ErrAlreadyFounded means that a second cluster would be founded.
	ErrAlreadyFounded = errors.ConstError("a peer already belongs to a cluster, or founds one")
	// ErrPeerUnreachable means that founding failed because a peer could not be asked for its
	// identity.
	ErrPeerUnreachable = errors.ConstError("a peer could not be asked whether it belongs to a cluster")
	// ErrUnknownMember means that no member has the given identity.
	ErrUnknownMember = errors.ConstError("no member has this identity")
	// ErrInvalidOptions means that required options are missing.
	ErrInvalidOptions = errors.ConstError("the node's options are not complete")
	// ErrInvalidCommand means that a command is empty or larger than 1 MiB.
	ErrInvalidCommand = errors.ConstError("the command is empty or too large")
)

// NotLeaderError means that this node does not lead. From Propose it also means that the
// command has not taken effect and never will.
type NotLeaderError struct {
	// Leader is the leader, or the zero Member if none is known.
	Leader Member
}

// Error names the leader, if one is known.
func (e *NotLeaderError) Error() string {
	if e.Leader.Address == "" {
		return "this node is not the leader, and none is known"
	}
	return "this node is not the leader; the leader is at " + e.Leader.Address
}

// Status describes the state of a node.
type Status struct {
	ID raft.NodeID
	// Cluster is the random id of the cluster, or zero if Founded is false.
	Cluster uint64
	Founded bool
	Removed bool
	// Role is "leader", "follower", "learner", "candidate", "pre-candidate" or
	// "removed".
	Role   string
	Term   uint64
	Leader Member
	// LeaderSince is when this node became the leader, by the node's clock. It is zero on a
	// node that does not lead.
	LeaderSince   time.Duration
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	SnapshotIndex uint64
	// Members is the current membership. Until MembershipIndex is committed, the group still
	// depends on the members of the previous membership too.
	Members         []Member
	MembershipIndex uint64
	// Active holds the members that responded to the leader within the last election timeout.
	// It is empty on a node that does not lead.
	Active []raft.NodeID
	// Voters tells whether as many voters answer as are wanted. It is zero on a node that does
	// not lead.
	Voters VoterStatus
	// SilentFor is the time since each member last answered the leader. It is empty on a node
	// that does not lead.
	SilentFor map[raft.NodeID]time.Duration
	// LeaseRemaining is how long this leader is certain to remain the only one.
	LeaseRemaining time.Duration
	// Err is the error that stopped the node, if it failed.
	Err error
}
