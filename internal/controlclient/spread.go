package controlclient

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// How long a process gets no spread watches of this entry after a refusal and after a timeout.
// A process that doesn't respond costs a whole watch each time.
const (
	avoidAfterRefusal = 2 * time.Second
	avoidAfterTimeout = 15 * time.Second
)

// watchTarget returns the control process that serves an entry's watches, by rendezvous
// hashing. found is false if all processes are avoided.
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

// avoid keeps further watches from a process whose watch has failed. silent means that the
// process did not respond before the deadline.
func (c *Client) avoid(now time.Time, address string, silent bool) {
	wait := avoidAfterRefusal
	if silent {
		wait = avoidAfterTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidedUntil[address] = now.Add(wait)
}

// Renew asks the leader to renew the leases of entries whose watches the caller serves.
func (c *Client) Renew(ctx context.Context, leader string, r *noderpc.RenewRequest) (*noderpc.RenewReply, error) {
	reply, err := c.clientFor(leader).Renew(ctx, r)
	return reply, errors.Trace(toFailure(err))
}
