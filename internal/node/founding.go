package node

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
)

const (
	// foundRetry is the time between two attempts to found (bootstrap) the cluster.
	foundRetry = 200 * time.Millisecond
	// turnDelay is how long a process leaves the founding to each process before it in
	// the sorted list of control processes. It exceeds the differences in start time
	// within one start of the system.
	turnDelay = time.Second
	// foundTimeout bounds one attempt.
	foundTimeout = 3 * time.Second
)

// foundLoop founds (bootstraps) the cluster at the first start of a complete system. Only
// the processes that the settings list as control processes do so, each in its turn, so
// that the loss of the first one does not leave the system without a cluster.
//
// Failure: two processes found a cluster each. replica.Found prevents this: it asks all
// other listed processes and refuses unless each answers that it belongs to no cluster
// and is not founding one either.
func (n *Node) foundLoop(ctx context.Context) {
	turn, listed := n.foundingTurn()
	if !listed {
		return
	}
	wait := time.Duration(turn) * turnDelay
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if n.tryFound(ctx) {
			return
		}
		wait = foundRetry
	}
}

// tryFound attempts to found the cluster once. It returns true if this process is part
// of a cluster or has founded one.
func (n *Node) tryFound(ctx context.Context) bool {
	if board := n.machine.Board(); board.ClusterID != "" {
		return true
	}
	if st := n.replica.Status(); st.Founded && st.Leader.VM != n.settings.VM {
		return len(st.Members) > 1
	}
	ctx, cancel := context.WithTimeout(ctx, foundTimeout)
	defer cancel()
	err := n.control.Found(ctx, blackboard.ConfigChange{})
	if err != nil {
		_ = level.Info(n.logger).Log("event", "not_founded", "reason", failure.From(err).Message)
		return false
	}
	_ = level.Info(n.logger).Log("event", "founded")
	return true
}

// foundingTurn returns the index of this process among the control processes of the
// settings, and false if the settings do not list it. They are sorted by host, so all
// processes use the same order.
func (n *Node) foundingTurn() (int, bool) {
	hosts := make([]string, 0, len(n.settings.Peers.Control))
	for _, address := range n.settings.Peers.Control {
		host, _, err := net.SplitHostPort(address)
		if err == nil {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	own, _, err := net.SplitHostPort(n.settings.Peers.Advertise)
	if err != nil {
		return 0, false
	}
	return slices.BinarySearch(hosts, own)
}
