package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/rpc/raftrpc"
	"github.com/citronstep/citronstep/internal/wal"
)

const (
	// identityTimeout bounds the identity request to one peer during founding.
	identityTimeout = 2 * time.Second
	// joinInterval is how often a node that is not a member asks to join.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one request to join.
	joinTimeout = 2 * time.Second
)

// Found bootstraps a new cluster with this node as its first and only voter. It runs only on an
// operator's command, never because a disk is empty: a node whose disk was lost would otherwise
// found a second cluster beside its own.
//
// Found first asks every peer for its identity. It fails if a peer belongs to a cluster or is
// founding one at the same moment. It also fails if a peer can't be reached, because that peer
// may belong to a cluster. The operator must first start all processes, or remove a lost VM
// from the settings. On a node that belongs to a cluster, Found returns nil, so a repeated
// command does no harm.
func (n *Node) Found(ctx context.Context) error {
	err := n.checkUsable()
	if err == nil {
		return nil
	}
	if !errors.Is(err, ErrNotFounded) {
		return errors.Trace(err)
	}
	// The founding flag is set before the peers are asked. Of two nodes that found at once, at
	// least one sees the other's flag, so they never both succeed.
	if !n.beginFounding() {
		return errors.Trace(ErrAlreadyFounded)
	}
	defer n.endFounding()
	if err := n.checkAllPeers(ctx); err != nil {
		return errors.Trace(err)
	}
	var foundErr error
	if err := n.do(ctx, func() { foundErr = n.writeFounding() }); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(foundErr)
}

// SetPeers replaces the addresses at which this node looks for its cluster.
func (n *Node) SetPeers(addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers = slices.Clone(addresses)
}

func (n *Node) peerAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers
}

func (n *Node) beginFounding() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.founding || n.identity.Cluster != 0 {
		return false
	}
	n.founding = true
	return true
}

func (n *Node) endFounding() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.founding = false
}

func (n *Node) checkAllPeers(ctx context.Context) error {
	peers := n.peerAddresses()
	results := make([]error, len(peers))
	var asking sync.WaitGroup
	for i, address := range peers {
		asking.Add(1)
		go func() {
			defer asking.Done()
			results[i] = n.checkPeer(ctx, address)
		}()
	}
	asking.Wait()
	return errors.Trace(firstError(results...))
}

func (n *Node) checkPeer(ctx context.Context, address string) error {
	if address == n.opts.Address {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	c := newConnection(n.opts)
	defer c.closeIdle()
	who, err := c.rpc(address).Identity(ctx, &raftrpc.IdentityRequest{Group: uint64(n.opts.Group)})
	if err != nil {
		return errors.Annotatef(ErrPeerUnreachable, "%s: %v", address, err)
	}
	if raft.NodeID(who.Id) == n.id {
		return nil
	}
	if who.Cluster != 0 || who.Founding {
		return errors.Annotatef(ErrAlreadyFounded, "%s (VM %s, cluster %x)", address, who.Vm, who.Cluster)
	}
	return nil
}

// writeFounding runs on the node's goroutine. It writes the first log entry, a membership with
// this node as the only voter, and restarts the consensus state machine.
func (n *Node) writeFounding() error {
	cluster, err := wal.RandomID()
	if err != nil {
		return errors.Trace(err)
	}
	data, err := raft.EncodeMembership(raft.Membership{Members: []Member{n.self()}})
	if err != nil {
		return errors.Trace(err)
	}
	first := raft.Entry{Term: 1, Index: 1, Type: raft.EntryMembership, Data: data}
	id := wal.Identity{Node: n.id, Cluster: cluster}
	if err := n.wal.Bootstrap(id, first); err != nil {
		return errors.Trace(err)
	}
	n.publishIdentity(id)
	n.logger.info("msg", "cluster founded", "cluster", cluster)
	saved := raft.PersistedState{HardState: raft.HardState{Term: 1, Commit: 1}, Entries: []raft.Entry{first}}
	return errors.Trace(n.startCore(saved))
}

// joinLoop asks the peers to make this node a member while shouldJoin returns true. Otherwise
// it sends nothing to the peers.
func (n *Node) joinLoop(ctx context.Context) {
	defer n.running.Done()
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		if n.shouldJoin() {
			n.requestJoin(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-n.failed:
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) self() Member {
	return Member{ID: n.id, VM: n.opts.VM, DataCentre: n.opts.DataCentre, Address: n.opts.Address}
}

// shouldJoin reports whether this node is not a member, is listed under another address, or
// knows no leader.
//
// Failure: a member is cut off until the leader has dropped or removed it. Nobody sends it the
// log any more, and the members that it knows may all have been replaced. Without asking it
// would wait forever.
func (n *Node) shouldJoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.identity.Removed || n.founding {
		return false
	}
	status := n.view.status
	listed, ok := status.Membership.Find(n.id)
	if status.Leader == 0 {
		return true
	}
	listed.Learner = false
	return !ok || listed != n.self()
}

// requestJoin asks the peers one after the other, and the leader that a peer names, until one
// settles the request.
func (n *Node) requestJoin(ctx context.Context) {
	for _, address := range n.peerAddresses() {
		if address == n.opts.Address || ctx.Err() != nil {
			continue
		}
		response, err := n.requestJoinAt(ctx, address)
		if err == nil && response.Verdict == raftrpc.JoinResponse_NOT_LEADER && response.LeaderAddress != "" {
			response, err = n.requestJoinAt(ctx, response.LeaderAddress)
		}
		if err != nil {
			continue
		}
		if n.handleVerdict(ctx, response) {
			return
		}
	}
}

func (n *Node) requestJoinAt(ctx context.Context, address string) (*raftrpc.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	c := newConnection(n.opts)
	defer c.closeIdle()
	self := n.self()
	response, err := c.rpc(address).Join(ctx, &raftrpc.JoinRequest{
		Group: uint64(n.opts.Group), Id: uint64(self.ID), Vm: self.VM,
		DataCentre: self.DataCentre, Address: self.Address,
	})
	return response, errors.Trace(err)
}

// handleVerdict acts on the response to a join request. It reports whether the response settles
// the request for now.
func (n *Node) handleVerdict(ctx context.Context, response *raftrpc.JoinResponse) bool {
	own := n.clusterID()
	if own != 0 && response.Cluster != 0 && response.Cluster != own {
		n.logger.error("msg", "a peer belongs to another cluster", "own", own, "other", response.Cluster)
		return false
	}
	switch response.Verdict {
	case raftrpc.JoinResponse_ACCEPTED:
		_ = n.do(ctx, func() { n.adoptCluster(response.Cluster) })
		return true
	case raftrpc.JoinResponse_REMOVED:
		_ = n.do(ctx, n.adoptRemoval)
		return true
	case raftrpc.JoinResponse_NAME_IN_USE:
		n.logger.error("msg", "join refused: a live member has this VM name", "vm", n.opts.VM)
	}
	return false
}

func (n *Node) adoptCluster(cluster uint64) {
	n.mu.Lock()
	adopt := n.identity.Cluster == 0 && !n.founding
	id := n.identity
	n.mu.Unlock()
	if !adopt {
		return
	}
	id.Cluster = cluster
	if err := n.setIdentity(id); err != nil {
		n.logger.error("msg", "the cluster id could not be recorded", "err", err)
		return
	}
	n.logger.info("msg", "joined a cluster", "cluster", cluster)
}

func (n *Node) adoptRemoval() {
	id := n.identity
	id.Removed = true
	if err := n.setIdentity(id); err != nil {
		n.logger.error("msg", "the removal could not be recorded", "err", err)
	}
}
