// Package controlclient calls the control processes, mainly the leader.
package controlclient

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Keys of the metadata of a Twirp error.
const (
	// MetaLeader holds the leader's peer address.
	MetaLeader = "leader"
	// MetaType holds the type of the failure.
	MetaType = "type"
)

// Client finds the leader among the control processes and remembers it. It is safe for
// concurrent use.
type Client struct {
	// seeds are the addresses from the settings.
	seeds   []string
	clients map[string]noderpc.Board
	http    httpClients

	mu     sync.Mutex
	leader string
	next   int
	// addresses are the addresses that the cluster reports, followed by the seeds.
	addresses []string
	// avoidedUntil holds, by address, until when a process gets no spread watches.
	avoidedUntil map[string]time.Time
}

// New returns a client of the control processes at the addresses. The HTTP client must add the
// bearer token that the system's own processes share. A reply that is dropped for its size leaves a
// line in the log.
func New(addresses []string, client *http.Client, l log.Logger) *Client {
	return &Client{
		seeds: addresses, addresses: addresses, clients: make(map[string]noderpc.Board), http: newHTTPClients(client, l),
		avoidedUntil: make(map[string]time.Time),
	}
}

// SetMembers sets the addresses of the cluster's control processes. The addresses from the settings
// stay as the last resort.
//
// Failure: control VMs are replaced one after the other, until a process that knows only the
// addresses from its settings finds no control process any more.
func (c *Client) SetMembers(addresses []string) {
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

// SetSeeds replaces the addresses from the settings.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	c.seeds = slices.Clone(seeds)
	known := slices.Clone(c.addresses)
	c.mu.Unlock()
	c.SetMembers(known)
}

// Leader returns the peer address of the process last known to lead, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// processCount returns the number of known control processes.
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

// recordResult updates the leader from the result of a call to the process at address.
func (c *Client) recordResult(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.leader = address
		return
	}
	c.leader = ""
	if !isRefusal(err) {
		// The connection broke or timed out. Idle connections on the same path may be dead as
		// well, and each further call would run into one of them.
		c.http.boards.CloseIdleConnections()
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

// Watch calls the last known leader once. After a failure the next call goes to another
// process. A watch that may be spread goes to the control process that is chosen for the entry.
// If that process can't serve the watch and names the leader, Watch calls the leader.
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

// setLeader directs the next call to a leader that a control process has named.
func (c *Client) setLeader(leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = leader
}

// followRedirect directs the next call to the leader that the process at address has named in
// its refusal. It reports whether the refusal names another process.
func (c *Client) followRedirect(address string, err error) bool {
	leader := leaderIn(err)
	if leader == "" || leader == address {
		return false
	}
	c.setLeader(leader)
	return true
}

// allAddresses returns the addresses of all known control processes.
func (c *Client) allAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.addresses)
}

// clientFor returns the client of one control process.
func (c *Client) clientFor(address string) noderpc.Board {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clientLocked(address)
}

// clientLocked returns the client of one control process. The lock is held.
func (c *Client) clientLocked(address string) noderpc.Board {
	b, ok := c.clients[address]
	if !ok {
		b = c.http.at(address)
		c.clients[address] = b
	}
	return b
}

// Suspect reports groups without progress to the leader.
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

// ReportDemand sends an entry's report of observed demand to the process last known to lead. It
// is not repeated: the next report replaces it. Only a refusal that names another leader changes
// whom later calls go to.
func (c *Client) ReportDemand(ctx context.Context, r *noderpc.DemandReport) error {
	address, b := c.leaderClient()
	_, err := b.ReportDemand(ctx, r)
	c.followRedirect(address, err)
	return errors.Trace(toFailure(err))
}

// Commit commits a command through the leader. It retries after a refusal, which proves that
// nothing was written. Any other failure leaves the outcome unknown, and then only a command
// that is safe to commit twice may be sent again.
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

// isRefusal reports whether err states that the process did not execute the call.
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
