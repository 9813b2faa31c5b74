package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// Drain stops gracefully within the context: it hands leadership over, takes
// no new work, and lets running work finish. It returns false when the context
// ended first.
func (n *Node) Drain(ctx context.Context) bool {
	n.transferLeadership(ctx)
	if n.entry != nil && !n.entry.Drain(ctx, n.closeIdleCallers) {
		return false
	}
	_ = level.Info(n.logger).Log("event", "drained_jobs")
	return n.shutdownServers(ctx)
}

// closeIdleCallers ends the callers' connections that carry no request.
//
// Failure: a caller has kept a connection idle since before the stop and knows
// nothing of it; its next request is refused, and the one retry that it has is
// used up. Closed, it sends that request to another entry in the first place.
func (n *Node) closeIdleCallers() {
	for _, l := range n.servers {
		if l.name == "callers" {
			l.server.SetKeepAlivesEnabled(false)
		}
	}
}

// transferTimeout is a few election timeouts: a leader that can't hand over in
// that time is replaced by an election when it stops.
const transferTimeout = 2 * time.Second

func (n *Node) transferLeadership(ctx context.Context) {
	if n.replica == nil || n.replica.LeaseRemaining() <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := n.replica.TransferLeadership(ctx); err != nil {
		_ = level.Warn(n.logger).Log("event", "leadership_kept", "err", err)
	}
}

// shutdownServers waits until every answer is written.
//
// Failure: the last token of a long answer is known here, its job is done, but
// the caller reads slowly and has most of it still to come; closing the
// connection cuts it off. Callers come first, since peers may be reading
// answers for theirs.
func (n *Node) shutdownServers(ctx context.Context) bool {
	complete := true
	for _, name := range []string{"callers", "ready", "control", "admin", "peers"} {
		for _, l := range n.servers {
			if l.name == name && l.server.Shutdown(ctx) != nil {
				complete = false
			}
		}
	}
	return complete
}
