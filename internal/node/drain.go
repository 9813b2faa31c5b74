package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

// Drain stops gracefully: it transfers leadership, admits no new work, and lets running
// work finish. It returns false if the context ends first.
func (n *Node) Drain(ctx context.Context) bool {
	n.transferLeadership(ctx)
	n.handOverVote(ctx)
	if n.entry != nil && !n.entry.Drain(ctx, n.closeIdleCallers) {
		return false
	}
	_ = level.Info(n.logger).Log("event", "drained_jobs")
	return n.shutdownServers(ctx)
}

// closeIdleCallers closes the callers' connections that carry no request.
//
// Failure: a caller holds an idle connection and does not know of the stop. Its next
// request is refused and uses up its only retry. If the connection is closed, the caller
// sends that request to another entry in the first place.
func (n *Node) closeIdleCallers() {
	for _, l := range n.servers {
		if l.name == callersServer {
			l.server.SetKeepAlivesEnabled(false)
		}
	}
}

// transferTimeout is a few election timeouts. If the leader can't transfer its
// leadership in that time, an election replaces it after it has stopped.
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

// voteTimeout is a few heartbeat intervals. A learner that has caught up takes over the vote
// within two.
const voteTimeout = time.Second

// handOverVote hands the vote of this control process over to one that stands by.
func (n *Node) handOverVote(ctx context.Context) {
	if n.replica == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	if err := n.replica.Leave(ctx); err != nil {
		_ = level.Warn(n.logger).Log("event", "vote_kept", "err", err)
	}
}

// shutdownServers shuts the servers down once all answers are written. It returns false
// if the context ends first.
//
// Failure: the job of a long answer is done, but the caller reads slowly and most of the
// answer is still unsent. Closing the connection would cut the answer. The callers'
// server is shut down first, because peers may be reading answers for their callers.
func (n *Node) shutdownServers(ctx context.Context) bool {
	complete := true
	for _, name := range []string{callersServer, "ready", "control", "admin", "peers"} {
		for _, l := range n.servers {
			if l.name == name && l.server.Shutdown(ctx) != nil {
				complete = false
			}
		}
	}
	return complete
}
