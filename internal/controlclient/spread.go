package controlclient

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// How long a process gets no spread watches of this entry: after a refusal, and after no
// answer. A silent one costs a whole watch each time.
const (
	avoidAfterRefusal = 2 * time.Second
	avoidAfterTimeout = 15 * time.Second
)

// watchTarget returns the control process that answers an entry's watches, by rendezvous
// hashing; false if all are avoidedUntil.
func (c *Client) watchTarget(now time.Time, entry string) (best string, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var most uint64
	for _, address := range c.addresses {
		if now.Before(c.avoidedUntil[address]) {
			continue
		}
		if w := xxhash.Sum64String(entry + "\x00" + address); !found || w > most {
			best, most, found = address, w, true
		}
	}
	return best, found
}

func (c *Client) watchAt(ctx context.Context, address string, r *noderpc.WatchRequest) (*noderpc.WatchReply, error) {
	reply, err := c.clientFor(address).Watch(ctx, r)
	if err != nil {
		c.avoid(time.Now(), address, ctx.Err() != nil)
	}
	return reply, err
}

// avoid keeps further watches from a process that gave none; silent says that it gave no
// answer at all in time.
func (c *Client) avoid(now time.Time, address string, silent bool) {
	wait := avoidAfterRefusal
	if silent {
		wait = avoidAfterTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[address] = now.Add(wait)
}

// Renew calls the leader to renew leases of entries whose watches the caller answers.
func (c *Client) Renew(ctx context.Context, leader string, r *noderpc.RenewRequest) (*noderpc.RenewReply, error) {
	reply, err := c.clientFor(leader).Renew(ctx, r)
	return reply, errors.Trace(toFailure(err))
}
