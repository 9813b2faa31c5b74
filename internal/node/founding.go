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
	// foundRetry is the time between two tries to found the cluster.
	foundRetry = 200 * time.Millisecond
	// turnDelay is how long a process leaves the founding to those before it in
	// the list of its settings: longer than the processes of one start are apart.
	turnDelay = time.Second
	// foundTimeout bounds one try.
	foundTimeout = 3 * time.Second
)

// foundLoop founds the cluster at the first start of a whole system. Only the
// processes that the settings name as control processes found, each in its
// turn, so that the loss of the first does not leave the system without one.
//
// Failure: two processes found a cluster each. The guard is replica.Found's: it
// asks all others named and refuses unless each answers that it belongs to
// none and is not founding either.
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

// foundingTurn returns this process's place among the control processes of the
// settings, in the order of their addresses, which is the same on all.
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
