// Package controlclient calls the control process that leads.
package controlclient

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// The keys of a Twirp error's meta.
const (
	// MetaLeader carries the leader's peer address.
	MetaLeader = "leader"
	// MetaType carries the failure's type.
	MetaType = "type"
)

// Client finds the leader among the control processes and remembers it.
// It is safe for concurrent use.
type Client struct {
	// seeds are the addresses of the settings.
	seeds   []string
	clients map[string]noderpc.Board
	http    *http.Client

	mu     sync.Mutex
	leader string
	next   int
	// addresses are those that the cluster names, then the seeds.
	addresses []string
	// avoidedUntil holds until when a process gets no spread watches.
	avoidedUntil map[string]time.Time
}

// New returns a client of the control processes at the addresses. The HTTP
// client adds the secret between our processes to each call.
func New(addresses []string, client *http.Client) *Client {
	return &Client{seeds: addresses, addresses: addresses, clients: make(map[string]noderpc.Board), http: client, avoidedUntil: make(map[string]time.Time)}
}

// Learn takes in where the cluster's control processes are. The addresses of
// the settings stay the last resort.
//
// Failure: control VMs are replaced one after the other, and a process that
// knows only those of its settings finds none of them any more.
func (c *Client) Learn(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	all := slices.Clone(addresses)
	for _, seed := range c.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	for address := range c.clients {
		if !slices.Contains(all, address) {
			delete(c.clients, address)
		}
	}
	c.addresses = all
}

// Reseed replaces the addresses of the settings.
func (c *Client) Reseed(seeds []string) {
	c.mu.Lock()
	c.seeds = slices.Clone(seeds)
	known := slices.Clone(c.addresses)
	c.mu.Unlock()
	c.Learn(known)
}

// Leader returns the peer address of the process last known to lead, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// known returns how many control processes there are to ask.
func (c *Client) processCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.addresses)
}

func (c *Client) leaderClient() (string, noderpc.Board) {
	c.mu.Lock()
	defer c.mu.Unlock()
	address := c.leader
	if address == "" {
		address = c.addresses[c.next%len(c.addresses)]
	}
	return address, c.clientLocked(address)
}

// learn takes from an answer where the leader is.
func (c *Client) recordResult(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.leader = address
		return
	}
	c.leader = ""
	if !isRefusal(err) {
		// No answer, or a broken one: what sits idle beside that connection
		// may have gone silent with it, and each call would find one more.
		c.http.CloseIdleConnections()
	}
	if leader := leaderIn(err); leader != "" && leader != address {
		c.leader = leader
		return
	}
	c.next++
}

// leaderIn returns the leader that a refusal names, or "".
func leaderIn(err error) string {
	var te twirp.Error
	if !errors.As(err, &te) {
		return ""
	}
	return te.Meta(MetaLeader)
}

// Watch calls the process last known to lead, once. After a failure the next
// call goes to another process. A watch that may be spread goes to one of all
// control processes, chosen for the entry, and to the leader if that one can't answer
// and names it.
func (c *Client) Watch(ctx context.Context, r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	if r.Spread {
		if address, ok := c.watchTarget(time.Now(), r.EntryId); ok {
			reply, err := c.watchAt(ctx, address, r)
			if !c.followRedirect(address, err) {
				return reply, errors.Trace(toFailure(err))
			}
		}
	}
	address, b := c.leaderClient()
	reply, err := b.Watch(ctx, r)
	c.recordResult(address, err)
	return reply, errors.Trace(toFailure(err))
}

// follow makes the next call go to the leader that a control process names.
func (c *Client) setLeader(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// followTo makes the next call go to the leader that a process has named in its refusal,
// and tells whether it has named another one than itself.
func (c *Client) followRedirect(address string, err error) bool {
	leader := leaderIn(err)
	if leader == "" || leader == address {
		return false
	}
	c.setLeader(leader)
	return true
}

// all returns the addresses of all known control processes.
func (c *Client) allAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// boardOf returns the client of one control process.
func (c *Client) clientFor(address string) noderpc.Board {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientLocked(address)
}

// at returns the client of one control process. The lock is held.
func (c *Client) clientLocked(address string) noderpc.Board {
	b, ok := c.clients[address]
	if !ok {
		b = noderpc.NewBoardProtobufClient("http://"+address, c.http)
		c.clients[address] = b
	}
	return b
}

// Suspect tells the leader of groups without progress.
func (c *Client) Suspect(ctx context.Context, r *noderpc.SuspectRequest) error {
	var err error
	for range 2 * c.processCount() {
		address, b := c.leaderClient()
		_, err = b.Suspect(ctx, r)
		c.recordResult(address, err)
		if err == nil || !isRefusal(err) || ctx.Err() != nil {
			break
		}
	}
	return errors.Trace(toFailure(err))
}

// Commit writes a command through the leader. It follows refusals that prove
// that nothing was written; any other failure leaves the outcome unknown, and
// only a command that is safe to write twice may be sent again.
func (c *Client) Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error) {
	var err error
	for range 2 * c.processCount() {
		address, b := c.leaderClient()
		var reply *noderpc.CommitReply
		reply, err = b.Commit(ctx, r)
		c.recordResult(address, err)
		if err == nil {
			return reply.Result, nil
		}
		if !isRefusal(err) || ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Trace(toFailure(err))
}

// isRefusal tells whether the process said that it did not write the command.
func isRefusal(err error) bool {
	var te twirp.Error
	if !errors.As(err, &te) {
		return false
	}
	switch failure.Type(te.Meta(MetaType)) {
	case failure.TypeNotLeader, failure.TypeNotFounded:
		return true
	}
	return false
}

func toFailure(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if errors.As(err, &te) && te.Meta(MetaType) != "" {
		return failure.New(failure.Type(te.Meta(MetaType)), te.Msg())
	}
	return failure.New(failure.TypeUnavailable, err.Error())
}
