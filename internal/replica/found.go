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
	// identityTimeout bounds the question to one peer while founding.
	identityTimeout = 2 * time.Second
	// joinInterval is how often a node that is no member asks to be one.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one such question.
	joinTimeout = 2 * time.Second
)

// Found makes this node the first, single voter of a new cluster. It is an
// operator's command and never inferred from an empty disk: a node whose disk
// was lost would else found a second cluster beside its own.
//
// It asks every peer first. It refuses if one belongs to a cluster, if one is
// founding at the same moment, and also if one can't be asked, because that
// one may belong to a cluster: the operator starts all processes first, or
// takes a VM that is gone out of the settings. On a node that belongs to a
// cluster it returns nil, so that a repeated command does no harm.
func (n *Node) Found(ctx context.Context) error {
	err := n.checkUsable()
	if err == nil {
		return nil
	}
	if !errors.Is(err, ErrNotFounded) {
		return errors.Trace(err)
	}
	// The mark is set before the peers are asked. Of two nodes that found at
	// once, at least one then sees the other's mark, so never both succeed.
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

// SetPeers replaces the addresses under which this node looks for its cluster.
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

// writeFounding runs on the node's goroutine. It writes the log's first entry,
// the list with this node as the only voter, and starts the step machine anew.
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
	if err := n.wal.Found(id, first); err != nil {
		return errors.Trace(err)
	}
	n.publishIdentity(id)
	n.logger.info("msg", "cluster founded", "cluster", cluster)
	saved := raft.Saved{HardState: raft.HardState{Term: 1, Commit: 1}, Entries: []raft.Entry{first}}
	return errors.Trace(n.startCore(saved))
}

// joinLoop asks the peers to make this node a member while it is none, or is
// listed under another address. Nothing is sent to the peers otherwise.
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

func (n *Node) shouldJoin() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.identity.Removed || n.founding {
		return false
	}
	status := n.view.status
	listed, ok := status.Membership.Find(n.id)
	// A learner starts no elections, so nobody tells it in that way that it
	// was removed: one that misses its leader asks.
	if listed.Learner && status.Leader == 0 {
		return true
	}
	listed.Learner = false
	return !ok || listed != n.self()
}

// requestJoin asks one peer after the other, and the leader that one names.
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

// handleVerdict acts on the answer to a request to join, and tells whether it
// settles this round.
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
		n.logger.error("msg", "cluster not recorded", "err", err)
		return
	}
	n.logger.info("msg", "joined a cluster", "cluster", cluster)
}

func (n *Node) adoptRemoval() {
	id := n.identity
	id.Removed = true
	if err := n.setIdentity(id); err != nil {
		n.logger.error("msg", "removal not recorded", "err", err)
	}
}
