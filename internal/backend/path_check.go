package backend

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/relay"
)

// ListenState is what connection attempts show of an address.
type ListenState string

// The states. An address is ListenUnknown if nobody who was asked got an answer from its host in
// time.
const (
	ListenUnknown ListenState = "unknown"
	Listening     ListenState = "listening"
	NotListening  ListenState = "not_listening"
	// ListeningToPeers means that a process listens, and that this process does not reach it while
	// another entry does.
	ListeningToPeers ListenState = "listening_to_peers"
	// RefusedOnce means that the address refused one process, this one or a peer, and that the others
	// that were asked said nothing.
	RefusedOnce ListenState = "refused_once"
	// NoLinks means that the address refused this process, which reaches no other backend server either.
	NoLinks ListenState = "no_links"
)

const (
	// probeTimeout is the time limit of a probe: a few round trips between data centres, and one
	// lost packet.
	probeTimeout = 400 * time.Millisecond
	// peerProbeDelay is how long the direct path may take before peers are asked: ten times a round
	// trip between data centres.
	peerProbeDelay = 50 * time.Millisecond
	// directProbeGrace is how much longer than a peer this process may take to connect. Both begin
	// at the same time, so that a server that was silent for a moment is not taken for cut off, and
	// neither is one whose answer to the first probe was lost.
	directProbeGrace = 20 * time.Millisecond
)

// errPathLost is the cause of a call that ended because its connection hangs: the direct path to its
// backend server is down, and a peer reaches the server.
const errPathLost = errors.ConstError("the direct path to the backend server is down")

// ListenProbe is what a check of an address found.
type ListenProbe struct {
	State ListenState
	// Own is what this process found by itself, Peers what the peers said that it asked.
	Own   ListenState
	Peers relay.PeerAnswers
}

// ListenProber finds out whether a process listens at an address.
type ListenProber interface {
	ProbeListener(ctx context.Context, address string) ListenProbe
}

var _ ListenProber = (*HTTPClient)(nil)

// ProbeListener opens a connection to address and closes it unused. If that fails, or takes long,
// it has peers do the same: a connection that fails from here alone shows that this process's own
// link is down.
func (c *HTTPClient) ProbeListener(ctx context.Context, address string) ListenProbe {
	p := c.probe(ctx, address)
	if c.options.OnPathCheck != nil {
		c.options.OnPathCheck(p.State)
	}
	return p
}

func (c *HTTPClient) probe(ctx context.Context, address string) ListenProbe {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	direct := c.startProbe(ctx, address)
	if c.options.Relay == nil {
		own := <-direct
		return ListenProbe{State: own, Own: own}
	}
	own := awaitProbe(direct, peerProbeDelay)
	if own == Listening {
		return ListenProbe{State: own, Own: own}
	}
	again := c.startProbe(ctx, address)
	isConnected, answers := c.probeByPeer(ctx, address)
	if isConnected && awaitProbe(again, directProbeGrace) == Listening {
		return ListenProbe{State: Listening, Own: Listening}
	}
	p := ListenProbe{State: ListeningToPeers, Own: own, Peers: answers}
	if !isConnected {
		if own == NotListening && !c.HasLinks(ctx, address) {
			p.Own = NoLinks
		}
		p.State = combineRefusals(p.Own, answers)
	}
	if p.State == ListeningToPeers {
		c.recordRelayed(address, "a probe found it "+string(own), true)
	}
	return p
}

// startProbe connects to address from this process and sends the result to the returned channel.
func (c *HTTPClient) startProbe(ctx context.Context, address string) <-chan ListenState {
	result := make(chan ListenState, 1)
	go func() { result <- c.probeDirect(ctx, address) }()
	return result
}

// awaitProbe returns the result of a probe, or ListenUnknown if there is none in time.
func awaitProbe(result <-chan ListenState, limit time.Duration) ListenState {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case state := <-result:
		return state
	case <-timer.C:
		return ListenUnknown
	}
}

// combineRefusals returns what this process and its peers found of an address that none of them
// connected to. A peer that said nothing changes nothing: it may be down, frozen or cut off itself.
//
// Failure: one entry is down, and with it no entry can tell that a backend server has crashed.
func combineRefusals(own ListenState, peers relay.PeerAnswers) ListenState {
	refusals := len(peers.Refused)
	if own == NotListening {
		refusals++
	}
	switch {
	case refusals == 0:
		return ListenUnknown
	case refusals > 1 || len(peers.Absent) == 0:
		return NotListening
	}
	return RefusedOnce
}

// probeDirect connects to address from this process.
func (c *HTTPClient) probeDirect(ctx context.Context, address string) ListenState {
	conn, err := c.options.Dial(ctx, "tcp", address)
	switch {
	case err == nil:
		closeProbe(conn)
		c.transports.paths.connected(time.Now(), address)
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return NotListening
	case errors.Is(err, syscall.ECONNRESET):
		return Listening
	}
	return ListenUnknown
}

// probeByPeer has peers connect to address.
func (c *HTTPClient) probeByPeer(ctx context.Context, address string) (isConnected bool, answers relay.PeerAnswers) {
	conn, err := c.options.Relay.Dial(ctx, address, "")
	if err == nil {
		closeProbe(conn)
		return true, relay.PeerAnswers{}
	}
	var failed *relay.DialError
	if errors.As(err, &failed) {
		answers = failed.Answers
	}
	return false, answers
}

func closeProbe(conn net.Conn) { _ = conn.Close() }

// watchPath checks the path to a backend server that has sent no response header within
// SuspectAfter, and calls lost if connections to it hang. The returned function ends the watch.
//
// Failure: the links of this process to all backend servers go silent. Requests on open connections
// wait for their deadlines, although another entry reaches the servers. A call that may run once
// is left alone: its connection may come back, and it can't be sent again.
func (c *HTTPClient) watchPath(t *http.Transport, r outgoingRequest, lost func()) (stop func()) {
	if c.options.Relay == nil || t == c.transports.relayed || r.fresh {
		return func() {}
	}
	return startTimer(c.options.SuspectAfter, func() {
		if c.transports.isHeardSince(r.address, time.Now().Add(-c.options.SuspectAfter)) {
			return
		}
		if p := c.probe(context.Background(), r.address); p.State == ListeningToPeers && p.Own == ListenUnknown {
			lost()
		}
	})
}
