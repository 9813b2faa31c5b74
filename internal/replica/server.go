package replica

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"

	"github.com/twitchtv/twirp"

	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/rpc/raftrpc"
)

const (
	bearerPrefix = "Bearer "
	// MaxRequestBytes bounds the body of one call, which holds at most a snapshot and one
	// batch.
	MaxRequestBytes = 256 << 20
)

// PathPrefix is the path under which Handler must be mounted.
const PathPrefix = raftrpc.ConsensusPathPrefix

// Handler serves the protocol between the replicas under PathPrefix.
func (n *Node) Handler() http.Handler {
	rpc := raftrpc.NewConsensusServer(service{n})
	want := []byte(bearerPrefix + n.opts.Secret)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if n.opts.Secret != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("the bearer token does not match"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxRequestBytes)
		rpc.ServeHTTP(w, r)
	})
}

func idString(id raft.NodeID) string { return strconv.FormatUint(uint64(id), 16) }

// service serves the calls of the other replicas.
type service struct{ n *Node }

// Deliver puts messages into the node's queue.
func (s service) Deliver(_ context.Context, req *raftrpc.DeliverRequest) (*raftrpc.DeliverResponse, error) {
	n := s.n
	if raft.GroupID(req.Group) != n.opts.Group {
		return nil, twirp.NotFound.Errorf("group %d is not served here", req.Group)
	}
	// A replica of another cluster has a different log with the same indexes and terms. Its
	// messages would mix the two logs.
	if cluster := n.clusterID(); cluster == 0 || req.Cluster != cluster {
		return nil, twirp.FailedPrecondition.Error("the sender belongs to another cluster")
	}
	n.transport.setAddress(raft.NodeID(req.From), req.FromAddress, true)
	batch := make([]raft.Message, 0, len(req.Messages))
	for _, w := range req.Messages {
		m, err := fromWire(w)
		if err != nil {
			return nil, twirp.InvalidArgument.Error("a message can't be read")
		}
		batch = append(batch, m)
	}
	select {
	case n.inbox <- batch:
		return &raftrpc.DeliverResponse{}, nil
	default:
		// The node is busy or its disk hangs. Waiting here would only block the sender's one
		// connection.
		return &raftrpc.DeliverResponse{Dropped: uint32(len(batch))}, nil
	}
}

// Identity returns the identity of this process.
func (s service) Identity(_ context.Context, req *raftrpc.IdentityRequest) (*raftrpc.IdentityResponse, error) {
	n := s.n
	n.mu.Lock()
	defer n.mu.Unlock()
	return &raftrpc.IdentityResponse{
		Id: uint64(n.id), Cluster: n.identity.Cluster, Founding: n.founding, Vm: n.opts.VM,
	}, nil
}

// Join handles a request of the caller to become a member.
func (s service) Join(ctx context.Context, req *raftrpc.JoinRequest) (*raftrpc.JoinResponse, error) {
	n := s.n
	if raft.GroupID(req.Group) != n.opts.Group {
		return nil, twirp.NotFound.Errorf("group %d is not served here", req.Group)
	}
	if req.Id == 0 || req.Vm == "" || req.Address == "" {
		return nil, twirp.InvalidArgument.Error("id, vm and address are needed")
	}
	response := &raftrpc.JoinResponse{}
	err := n.do(ctx, func() { n.handleJoin(req, response) })
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return response, nil
}

// handleJoin runs on the node's goroutine.
func (n *Node) handleJoin(req *raftrpc.JoinRequest, response *raftrpc.JoinResponse) {
	status := n.core.Status()
	response.Cluster = n.identity.Cluster
	response.Verdict = n.joinVerdict(status, req)
	if response.Verdict == raftrpc.JoinResponse_NOT_LEADER {
		leader, _ := status.Membership.Find(status.Leader)
		response.LeaderAddress = leader.Address
	}
	if response.Verdict != raftrpc.JoinResponse_ACCEPTED {
		return
	}
	for id, j := range n.joins {
		if j.member.VM == req.Vm {
			delete(n.joins, id) // the VM's earlier identity
		}
	}
	n.joins[raft.NodeID(req.Id)] = join{
		member: Member{ID: raft.NodeID(req.Id), VM: req.Vm, DataCentre: req.DataCentre, Address: req.Address},
		at:     n.opts.Now(),
	}
}

func (n *Node) joinVerdict(status raft.Status, req *raftrpc.JoinRequest) raftrpc.JoinResponse_Verdict {
	id := raft.NodeID(req.Id)
	switch {
	case n.identity.Cluster == 0:
		return raftrpc.JoinResponse_NOT_FOUNDED
	case status.Membership.IsRemoved(id) && status.MembershipIndex <= status.Commit:
		return raftrpc.JoinResponse_REMOVED
	case status.Role != raft.RoleLeader:
		return raftrpc.JoinResponse_NOT_LEADER
	}
	for _, m := range status.Membership.Members {
		if m.VM == req.Vm && m.ID != id && (m.ID == status.ID || n.core.IsActive(m.ID)) {
			// Two machines with the same name in their settings would otherwise replace each
			// other endlessly.
			n.logger.warn("msg", "join refused", "vm", req.Vm, "id", idString(id),
				"reason", "a live member has this VM name", "member", idString(m.ID))
			return raftrpc.JoinResponse_NAME_IN_USE
		}
	}
	return raftrpc.JoinResponse_ACCEPTED
}
