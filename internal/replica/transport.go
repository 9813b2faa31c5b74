package replica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/duplex"
	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/rpc/raftrpc"
)

const (
	// maxQueuedMessages bounds the messages that wait for one peer. Without it, messages for a
	// slow or disconnected peer would accumulate without limit. When the queue is full, the
	// oldest message is dropped, because later messages supersede it.
	maxQueuedMessages = 1024
	// maxDeliverBytes bounds the messages of one call, unless a single message is larger.
	maxDeliverBytes = 4 << 20
	// minPeerBytesPerSecond extends the deadline of a large call in proportion to its size, so
	// that a snapshot gets through a slow link.
	minPeerBytesPerSecond = 1 << 20
)

// transport sends messages to the other members. Each peer has one goroutine and one
// connection, and gets one call at a time, so that messages stay in order.
type transport struct {
	opts   Options
	self   raft.NodeID
	logger logger

	mu      sync.Mutex
	cluster uint64
	peers   map[raft.NodeID]*peer
	closed  bool
	running sync.WaitGroup
}

func newTransport(opts Options, self raft.NodeID) *transport {
	return &transport{opts: opts, self: self, logger: logger{opts.Logger}, peers: map[raft.NodeID]*peer{}}
}

// setCluster sets the cluster id that messages carry.
func (t *transport) setCluster(cluster uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cluster = cluster
}

// setAddress sets the address of a node. selfReported means that the node itself reported it.
// Such an address overrides the one in the membership, because the VM may have moved.
func (t *transport) setAddress(id raft.NodeID, address string, selfReported bool) {
	if id == t.self || address == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	p := t.peers[id]
	if p == nil {
		p = newPeer(t, id)
		t.peers[id] = p
		t.running.Add(1)
		go p.run()
	}
	p.setAddress(address, selfReported)
}

// removeIdlePeers stops the senders to idle nodes that are not members.
func (t *transport) removeIdlePeers(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	member := map[raft.NodeID]bool{}
	for _, m := range members {
		member[m.ID] = true
	}
	for id, p := range t.peers {
		if !member[id] && p.isIdle() {
			p.stop()
			delete(t.peers, id)
		}
	}
}

func (t *transport) send(messages []raft.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		if p := t.peers[m.To]; p != nil {
			p.enqueue(m)
		}
	}
}

func (t *transport) close() {
	t.mu.Lock()
	t.closed = true
	for _, p := range t.peers {
		p.stop()
	}
	t.mu.Unlock()
	t.running.Wait()
}

func (t *transport) clusterID() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cluster
}

// peer is the sender to one other node.
type peer struct {
	t      *transport
	id     raft.NodeID
	client *connection
	ctx    context.Context
	stop   context.CancelFunc
	wake   chan struct{}

	mu           sync.Mutex
	address      string
	selfReported bool
	queue        []raft.Message
	lastUsed     time.Time
	isFailing    bool
}

func newPeer(t *transport, id raft.NodeID) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &peer{
		t: t, id: id, ctx: ctx, stop: cancel, wake: make(chan struct{}, 1),
		client: newConnection(t.opts), lastUsed: time.Now(),
	}
}

func (p *peer) setAddress(address string, selfReported bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.selfReported && !selfReported {
		return
	}
	p.address = address
	p.selfReported = selfReported
}

// idlePeerTimeout is how long a peer that is not a member keeps its sender. It is long enough
// to notify a removed node of its removal.
const idlePeerTimeout = 30 * time.Second

func (p *peer) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastUsed) > idlePeerTimeout
}

func (p *peer) enqueue(m raft.Message) {
	p.mu.Lock()
	if len(p.queue) >= maxQueuedMessages {
		p.queue = p.queue[1:]
	}
	p.queue = append(p.queue, m)
	p.lastUsed = time.Now()
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// nextBatch returns the next messages to send, up to maxDeliverBytes, their size in bytes, and
// the peer's address.
func (p *peer) nextBatch() ([]raft.Message, int, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	count := 0
	for count < len(p.queue) {
		next := wireSize(p.queue[count])
		if count > 0 && size+next > maxDeliverBytes {
			break
		}
		size += next
		count++
	}
	batch := p.queue[:count:count]
	p.queue = p.queue[count:]
	return batch, size, p.address
}

func (p *peer) run() {
	defer p.t.running.Done()
	defer p.client.closeIdle()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		}
		for {
			batch, size, address := p.nextBatch()
			if len(batch) == 0 {
				break
			}
			p.deliver(batch, size, address)
		}
	}
}

func (p *peer) deliver(batch []raft.Message, size int, address string) {
	request := &raftrpc.DeliverRequest{
		Cluster: p.t.clusterID(), Group: uint64(p.t.opts.Group), From: uint64(p.t.self),
		FromAddress: p.t.opts.Address,
	}
	for _, m := range batch {
		w, err := toWire(m)
		if err != nil {
			p.t.logger.error("msg", "the message could not be encoded", "err", err)
			continue
		}
		request.Messages = append(request.Messages, w)
	}
	// The call must end well within an election timeout. A dead connection is then found,
	// closed and replaced before the peer misses the leader.
	timeout := p.t.opts.electionTimeout()/3 + time.Duration(size)*time.Second/minPeerBytesPerSecond
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	_, err := p.client.rpc(address).Deliver(ctx, request)
	p.logReachability(err, address)
	if err == nil || p.ctx.Err() != nil {
		return
	}
	p.client.closeIdle()
	select {
	case <-p.ctx.Done():
	case <-time.After(p.t.opts.TickInterval):
	}
}

// logReachability logs when calls to a peer start to fail and when they succeed again.
func (p *peer) logReachability(err error, address string) {
	p.mu.Lock()
	changed := p.isFailing != (err != nil)
	p.isFailing = err != nil
	p.mu.Unlock()
	if !changed || p.ctx.Err() != nil {
		return
	}
	if err != nil {
		p.t.logger.warn("msg", "peer does not accept messages", "peer", idString(p.id), "address", address, "err", err)
		return
	}
	p.t.logger.info("msg", "peer accepts messages again", "peer", idString(p.id), "address", address)
}

// connection calls one peer over at most one connection.
type connection struct {
	http      HTTPClient
	transport *http.Transport
}

// maxReplyBytes bounds the head and the body of a reply: some numbers and one member.
const maxReplyBytes = 64 << 10

func newConnection(opts Options) *connection {
	if opts.HTTPClient != nil {
		return &connection{http: authorised{opts.HTTPClient, opts.Secret}}
	}
	transport := &http.Transport{
		DialContext:            duplex.Dialer((&net.Dialer{Timeout: opts.electionTimeout() / 3, LocalAddr: opts.SourceAddress}).DialContext),
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxReplyBytes,
	}
	client := bounded.Client(&http.Client{Transport: transport}, maxReplyBytes, opts.Logger)
	return &connection{http: authorised{client, opts.Secret}, transport: transport}
}

func (c *connection) rpc(address string) raftrpc.Consensus {
	return raftrpc.NewConsensusProtobufClient("http://"+address, c.http)
}

func (c *connection) closeIdle() {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

// authorised adds the bearer token to each request.
type authorised struct {
	next   HTTPClient
	secret string
}

// Do sends the request with the token.
func (a authorised) Do(req *http.Request) (*http.Response, error) {
	if a.secret != "" {
		req.Header.Set("Authorization", bearerPrefix+a.secret)
	}
	response, err := a.next.Do(req)
	return response, errors.Trace(err)
}
