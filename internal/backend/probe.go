package backend

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// ListenState is what a connection attempt shows of an address.
type ListenState string

// The states. An address is ListenUnknown if its host did not answer in time.
const (
	ListenUnknown ListenState = "unknown"
	Listening     ListenState = "listening"
	NotListening  ListenState = "not_listening"
)

// probeTimeout is the time limit of a probe: a few round trips between data centres, and one
// lost packet.
const probeTimeout = 400 * time.Millisecond

// ListenProber finds out whether a process listens at an address.
type ListenProber interface {
	ProbeListener(ctx context.Context, address string) ListenState
}

var _ ListenProber = (*HTTPClient)(nil)

// ProbeListener opens a connection to address and closes it unused. A host that refuses the
// connection runs, and no process listens there.
func (c *HTTPClient) ProbeListener(ctx context.Context, address string) ListenState {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.options.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = conn.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	case errors.Is(err, syscall.ECONNRESET):
		return Listening
	}
	return ListenUnknown
}
