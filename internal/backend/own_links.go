package backend

import (
	"context"
	"time"
)

// linkProbeTimeout bounds a connection that shows whether this process's links work. Three of them
// take less than a dial through peers.
const linkProbeTimeout = 50 * time.Millisecond

// HasLinks reports whether this process connects to a backend server that is not at the address
// beside, or knows of none.
//
// Failure: the links of several entries refuse all connections. Each takes the refusals of the
// others for a confirmation that the backend servers have crashed.
func (c *HTTPClient) HasLinks(ctx context.Context, beside string) bool {
	if c.options.OtherServers == nil {
		return true
	}
	others := c.options.OtherServers(beside)
	for _, address := range others {
		if c.connects(ctx, address) {
			return true
		}
	}
	return len(others) == 0
}

func (c *HTTPClient) connects(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, linkProbeTimeout)
	defer cancel()
	return c.probeDirect(ctx, address) == Listening
}
