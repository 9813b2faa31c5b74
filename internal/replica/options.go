// Package replica drives one node of the consensus step machine: it persists,
// sends and applies what the machine returns, and offers the replicated state
// machine to the daemon.
//
// One goroutine owns the step machine. It syncs before it sends and before it
// answers, and it publishes each new state before either, so that a reader
// never sees a lease that the node has given up.
package replica

import (
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// StateMachine is what the group replicates. The node calls its methods from
// one goroutine, in the order of the log.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state as of the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Member is one replica of the group.
type Member = raft.Member

// Options configure a node. Those with a default may be left zero.
type Options struct {
	Group raft.GroupID
	// Folder is the data folder, on a disk that keeps what is synced.
	Folder string
	// VM is the stable name of this machine, unique in the cluster.
	VM         string
	DataCentre string
	// Address is the IP and port at which the other replicas reach Handler.
	Address string
	// LocalAddr is the address that connections to peers come from; nil leaves
	// the choice to the system.
	LocalAddr net.Addr
	// Peers are the addresses of the control VMs as the settings list them.
	// This node's own may be among them.
	Peers   []string
	Machine StateMachine
	Logger  log.Logger
	// Voters is how many voters the leader aims at, 3 or 5. Default 3.
	Voters int
	// Secret is the bearer token between the system's own processes; empty
	// means that none is asked for.
	Secret string
	// HTTPClient replaces the node's own client, one connection a peer.
	HTTPClient HTTPClient
	// TickInterval is how often the node looks at its clock. Default 50 ms.
	TickInterval time.Duration
	// ElectionTicks is the election timeout in ticks. Default 20, so 1 s:
	// several syncs of a slow disk and one silent connection fit into it.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval in ticks. Default 4, a fifth of
	// the election timeout: four may be lost before an election, and an idle
	// leader's traffic is half of what it is with 2.
	HeartbeatTicks int
	// MaxBatch bounds the proposals that share one sync. Default 1024.
	MaxBatch int
	// SnapshotEntries is after how many entries the log is compacted. Default 128:
	// a restart applies at most that many again, see defaultSnapshotEntries.
	SnapshotEntries uint64
	// ReplaceAfter is after how long a silent voter gives its place to a
	// learner that stands by. Default 10 minutes: longer than a restart of a
	// VM, short against the time to a second loss.
	ReplaceAfter time.Duration
	// Now reads a clock that never steps back and counts the time during which
	// the process or the VM was suspended. Default BootTime.
	Now func() time.Duration
	// Seed spreads the election timeouts. Default random.
	Seed uint64
}

// HTTPClient sends one request; http.Client does.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

const (
	defaultVoters         = 3
	defaultTickInterval   = 50 * time.Millisecond
	defaultElectionTicks  = 20
	defaultHeartbeatTicks = 4
	defaultMaxBatch       = 1024
	// defaultSnapshotEntries bounds what a restart has to apply again.
	//
	// Load: all processes lose power, and callers wait for the control processes.
	// Harm of 1,024: 450 entries, twenty of them whole configurations, took a
	// replica with 0.48 of a core 0.3 s after it listened. A snapshot of 222 VMs
	// and 33 groups takes some milliseconds each 128 entries.
	defaultSnapshotEntries = 128
	defaultReplaceAfter    = 10 * time.Minute
	// maxCommandBytes bounds one command, so that the commands ahead of the
	// commit index stay within a node's memory.
	maxCommandBytes = 1 << 20
	// maxBatchBytes bounds one append, well under maxRequestBytes.
	maxBatchBytes = 1 << 20
	// leaseMarginDivisor is the part of the election timeout that the lease is
	// shorter by: an eighth covers clocks that differ by 6% in rate.
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

// Errors that a node returns. Those of Propose say what became of the command.
const (
	// ErrOutcomeUnknown means that the command was appended and may or may not
	// take effect: the wait ended, or this node lost the leadership.
	ErrOutcomeUnknown = errors.ConstError("the outcome of the command is unknown")
	// ErrNotProposed means that the command was not appended and never takes
	// effect: the wait ended before its turn, or too much is in flight.
	ErrNotProposed = errors.ConstError("the command was not proposed")
	// ErrNotFounded means that this node belongs to no cluster yet.
	ErrNotFounded = errors.ConstError("this node belongs to no cluster")
	// ErrRemoved means that this node's identity is no member any more.
	ErrRemoved = errors.ConstError("this node was removed from its cluster")
	// ErrClosed means that the node was closed or has failed.
	ErrClosed = errors.ConstError("the node is closed")
	// ErrAlreadyFounded refuses to found a second cluster.
	ErrAlreadyFounded = errors.ConstError("a peer already belongs to a cluster, or founds one")
	// ErrPeerUnreachable refuses to found while a peer can't be asked.
	ErrPeerUnreachable = errors.ConstError("a peer could not be asked whether it belongs to a cluster")
	// ErrUnknownMember means that no member has the identity.
	ErrUnknownMember = errors.ConstError("no member has this identity")
	// ErrInvalidOptions refuses to open a node.
	ErrInvalidOptions = errors.ConstError("the node's options are not complete")
	// ErrInvalidCommand refuses a command that is empty or over 1 MiB.
	ErrInvalidCommand = errors.ConstError("the command is empty or too large")
)

// NotLeaderError means that this node does not lead. From Propose it also
// means that the command surely did not, and never will, take effect.
type NotLeaderError struct {
	// Leader is the member to ask, or the zero Member if none is known.
	Leader Member
}

// Error names the leader, if one is known.
func (e *NotLeaderError) Error() string {
	if e.Leader.Address == "" {
		return "this node is not the leader, and none is known"
	}
	return "this node is not the leader; it is at " + e.Leader.Address
}

// Status is what a node shows of itself.
type Status struct {
	ID raft.NodeID
	// Cluster is the random id of the cluster, zero if Founded is false.
	Cluster uint64
	Founded bool
	Removed bool
	// Role is "leader", "follower", "learner", "candidate", "pre-candidate" or
	// "removed".
	Role   string
	Term   uint64
	Leader Member
	// LeaderSince is by the node's clock; it is zero on a node that does not lead.
	LeaderSince   time.Duration
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	FirstIndex    uint64
	SnapshotIndex uint64
	// Members is the list in force. Until MembershipIndex is committed the
	// group still depends on the members of the list before it, too.
	Members         []Member
	MembershipIndex uint64
	// Active holds the members that answered the leader within the last
	// election timeout; only the leader knows.
	Active []raft.NodeID
	// Lease is how long this leader surely stays the only one.
	Lease time.Duration
	// Err is why the node stopped, if it failed.
	Err error
}
