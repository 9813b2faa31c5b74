package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/wal"
)

const (
	// inboxSize bounds the batches of messages that wait for the node's goroutine.
	inboxSize = 256
	// proposalQueue bounds the proposals that wait for the node's goroutine. When it is full,
	// Propose blocks, so a slow disk slows its callers down.
	proposalQueue = 4096
)

// Node is one replica of a consensus group.
type Node struct {
	id        raft.NodeID
	opts      Options
	logger    logger
	wal       *wal.WAL
	transport *transport

	inbox     chan []raft.Message
	proposals chan *proposal
	calls     chan func()
	stop      chan struct{}
	stopOnce  sync.Once
	failed    chan struct{}
	running   sync.WaitGroup
	cancel    context.CancelFunc

	// Only the node's own goroutine uses the fields from here to mu.
	core             *raft.Node
	waiters          map[uint64]*proposal
	reads            map[uint64]*proposal
	waitingReads     []*proposal
	nextRead         uint64
	joins            map[raft.NodeID]join
	shortage         shortage
	lostLeadershipAt time.Duration
	bytesSinceSnap   int
	// snapshotBytes is the size of the last snapshot in bytes.
	snapshotBytes int

	mu       sync.Mutex
	identity wal.Identity
	founding bool
	peers    []string
	view     view
	changed  chan struct{}
	err      error
}

// view is the last published state of the node.
type view struct {
	status      raft.Status
	leaseExpiry time.Duration
	leaderSince time.Duration
	active      []raft.NodeID
	// shortage and silentFor are empty on a node that does not lead.
	shortage  shortage
	silentFor map[raft.NodeID]time.Duration
}

// proposal is a command or a read that waits for its outcome.
type proposal struct {
	data []byte
	term uint64
	// claimed decides the race between the node's goroutine, which appends the command, and a
	// caller that stops waiting. The side that sets it first determines the outcome.
	claimed atomic.Bool
	done    chan outcome
}

type outcome struct {
	result []byte
	err    error
}

func newProposal(data []byte) *proposal {
	return &proposal{data: data, done: make(chan outcome, 1)}
}

// Open opens the data folder and starts the node. In an empty folder it creates a new identity,
// which asks the peers to let it join.
func Open(opts Options) (*Node, error) {
	opts = opts.withDefaults()
	if err := opts.check(); err != nil {
		return nil, errors.Trace(err)
	}
	full := &fullDisk{stop: make(chan struct{})}
	store, err := wal.Open(opts.Folder, full)
	if err != nil {
		return nil, errors.Trace(err)
	}
	identity := store.Identity()
	opts.Logger = log.With(opts.Logger, "component", "replica", "node", idString(identity.Node))
	full.logger = logger{opts.Logger}
	n := &Node{
		id:        identity.Node,
		opts:      opts,
		logger:    full.logger,
		wal:       store,
		transport: newTransport(opts, identity.Node),
		inbox:     make(chan []raft.Message, inboxSize),
		proposals: make(chan *proposal, proposalQueue),
		calls:     make(chan func()),
		stop:      full.stop,
		failed:    make(chan struct{}),
		waiters:   map[uint64]*proposal{},
		reads:     map[uint64]*proposal{},
		joins:     map[raft.NodeID]join{},
		identity:  identity,
		changed:   make(chan struct{}),
		peers:     opts.Peers,
	}
	if err := n.startCore(store.LoadedState()); err != nil {
		_ = store.Close()
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Add(2)
	go n.run()
	go n.joinLoop(ctx)
	return n, nil
}

func (n *Node) startCore(saved raft.PersistedState) error {
	if saved.Snapshot.Index > 0 {
		n.snapshotBytes = len(saved.Snapshot.Data)
		if err := n.opts.Machine.Restore(saved.Snapshot.Data); err != nil {
			return errors.Annotate(err, "restoring the state machine from the snapshot in the data folder")
		}
	}
	seed := n.opts.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	timeout := n.opts.electionTimeout()
	core, err := raft.New(raft.Config{
		ID:                n.id,
		Group:             n.opts.Group,
		ElectionTimeout:   timeout,
		HeartbeatInterval: time.Duration(n.opts.HeartbeatTicks) * n.opts.TickInterval,
		LeaseMargin:       timeout / leaseMarginDivisor,
		ReplaceAfter:      n.opts.ReplaceAfter,
		MaxBatchBytes:     maxBatchBytes,
		Rand:              rand.New(rand.NewPCG(seed, uint64(n.id))),
	}, saved, n.opts.Now())
	if err != nil {
		return errors.Trace(err)
	}
	n.core = core
	n.transport.setCluster(n.identity.Cluster)
	n.publish()
	return nil
}

// run is the loop of the node's goroutine.
func (n *Node) run() {
	defer n.running.Done()
	defer n.failWaiters(ErrOutcomeUnknown)
	ticker := time.NewTicker(n.opts.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			n.tick()
		case batch := <-n.inbox:
			n.step(batch)
		case p := <-n.proposals:
			n.propose(p)
		case f := <-n.calls:
			f()
		}
		n.drain()
		if err := n.process(); err != nil {
			n.fail(err)
			return
		}
	}
}

// drain handles further proposals and messages that have already arrived, so that they share
// the next sync. A sync costs the same for one entry as for a thousand.
func (n *Node) drain() {
	for range n.opts.MaxBatch - 1 {
		select {
		case p := <-n.proposals:
			n.propose(p)
		case batch := <-n.inbox:
			n.step(batch)
		default:
			return
		}
	}
}

func (n *Node) tick() {
	if n.identity.Removed {
		return
	}
	n.core.Tick(n.opts.Now())
	n.manageMembers()
	n.dropLostWaiters()
}

func (n *Node) step(batch []raft.Message) {
	if n.identity.Removed {
		return
	}
	now := n.opts.Now()
	for _, m := range batch {
		n.core.Step(now, m)
	}
}

// fail stops the node permanently. After a failed write the content of the disk is unknown, so
// the node may neither vote nor acknowledge any more.
func (n *Node) fail(err error) {
	n.logger.error("msg", "the replica stopped", "err", err)
	n.mu.Lock()
	n.err = err
	n.view = view{status: raft.Status{ID: n.id}}
	n.mu.Unlock()
	close(n.failed)
}

// Failed returns a channel that closes when the node has stopped because of an error, which
// Status returns. The process should then exit and be restarted.
func (n *Node) Failed() <-chan struct{} { return n.failed }

// Close stops the node and closes its data folder.
func (n *Node) Close() error {
	n.stopOnce.Do(func() { close(n.stop) })
	n.cancel()
	n.running.Wait()
	n.transport.close()
	return errors.Trace(n.wal.Close())
}

// do runs f on the node's goroutine and waits until f has returned.
func (n *Node) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	call := func() {
		defer close(done)
		f()
	}
	select {
	case n.calls <- call:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-n.stop:
		return errors.Trace(ErrClosed)
	case <-n.failed:
		return errors.Trace(ErrClosed)
	}
	<-done
	return nil
}

func (n *Node) clusterID() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.identity.Cluster
}

// setIdentity persists a change of the identity, then publishes it.
func (n *Node) setIdentity(id wal.Identity) error {
	if err := n.wal.SetIdentity(id); err != nil {
		return errors.Trace(err)
	}
	n.publishIdentity(id)
	return nil
}

func (n *Node) publishIdentity(id wal.Identity) {
	n.mu.Lock()
	n.identity = id
	n.mu.Unlock()
	n.transport.setCluster(id.Cluster)
}
