package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/relay"
)

// ServerPaths tells how this entry reaches backend servers.
type ServerPaths interface {
	// IsCutOff reports whether the entry reaches backend servers only through other entries.
	IsCutOff() bool
	// IsUnreachable reports whether no entry reached a backend server at the last try.
	IsUnreachable(address string) bool
	// HasLinks reports whether the entry connects to a backend server that is not at an address.
	HasLinks(ctx context.Context, beside string) bool
	// RelayedServers returns how many backend servers it reaches through other entries alone.
	RelayedServers() int
}

// PeerSetter receives the entries that may relay for this one.
type PeerSetter interface{ SetPeers([]relay.Peer) }

// ServeRelay relays a connection to a backend server for another entry.
func (s *Server) ServeRelay(w http.ResponseWriter, r *http.Request) { s.relays.ServeHTTP(w, r) }

// CloseRelays ends the connections that this entry relays.
func (s *Server) CloseRelays() { s.relays.Close() }

func (s *Server) newRelayServer() *relay.Server {
	return relay.NewServer(relay.ServerOptions{
		IsServer: s.isBackendServer, IsCutOff: s.isCutOff, HasLinks: s.hasLinks, Begin: s.beginRelay, Dial: s.o.DialBackend, Logger: s.o.Logger,
		OnEnd: func(o relay.Outcome) { s.o.Metrics.Relay(string(o)) },
	})
}

func (s *Server) isCutOff() bool { return s.o.Paths != nil && s.o.Paths.IsCutOff() }

func (s *Server) hasLinks(ctx context.Context, beside string) bool {
	return s.o.Paths == nil || s.o.Paths.HasLinks(ctx, beside)
}

func (s *Server) relayedServers() int {
	if s.o.Paths == nil {
		return 0
	}
	return s.o.Paths.RelayedServers()
}

// beginRelay counts a relay as work that a graceful stop waits for.
func (s *Server) beginRelay() (end func(), ok bool) {
	s.drainMu.RLock()
	defer s.drainMu.RUnlock()
	if s.draining.Load() {
		return nil, false
	}
	s.work.Add(1)
	return s.work.Done, true
}

// relayPeers returns the entries that may relay for this one: those of its region that serve
// callers. Requests stay in the region that their callers sent them to.
func (s *Server) relayPeers(b *blackboard.Board) []relay.Peer {
	var peers []relay.Peer
	for id, e := range b.Entries {
		if id == s.o.ID || e.Address == "" || s.o.Regions[e.DataCentre] != s.o.Regions[s.o.DataCentre] {
			continue
		}
		peers = append(peers, relay.Peer{ID: id, Address: e.PeerAddress, DataCentre: e.DataCentre})
	}
	return peers
}

// onRelay returns a function that logs and counts a peer's relay of an attempt.
func (s *Server) onRelay(j *job, g grant) func(peer string) {
	return func(peer string) {
		s.o.Metrics.RelayedAttempt()
		j.lines.Info("event", "relayed", "request", j.id, "attempt", g.attempt, "target", g.route.target,
			"server", g.route.address, "peer", peer)
	}
}

// backendAddresses holds the addresses of the backend servers of one board that take requests: the
// heads of groups and the plain servers.
type backendAddresses struct {
	mu        sync.Mutex
	board     *blackboard.Board
	addresses map[string]bool
}

// isBackendServer reports whether an address is that of a backend server on the board. An entry
// connects its peers to nothing else.
func (s *Server) isBackendServer(address string) bool {
	return s.backendAddresses.contains(s.o.Follower.Board(), address)
}

// maxOtherServers bounds the backend servers that show whether an entry's links work.
const maxOtherServers = 3

// OtherServers returns a few backend servers on the board that are not at an address, drawn at random.
func (s *Server) OtherServers(beside string) []string {
	return s.backendAddresses.others(s.o.Follower.Board(), beside)
}

func (a *backendAddresses) contains(b *blackboard.Board, address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(b)
	return a.addresses[address]
}

func (a *backendAddresses) others(b *blackboard.Board, beside string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(b)
	var others []string
	for address := range a.addresses {
		if len(others) == maxOtherServers {
			break
		}
		if address != beside {
			others = append(others, address)
		}
	}
	return others
}

// follow collects the addresses of a board. The caller holds the lock.
func (a *backendAddresses) follow(b *blackboard.Board) {
	if a.board == b {
		return
	}
	a.board, a.addresses = b, make(map[string]bool, len(b.Groups)+len(b.Services))
	for _, g := range b.Groups {
		if len(g.Members) > 0 {
			a.addresses[g.Members[0].Address] = true
		}
	}
	for _, i := range b.Services {
		a.addresses[i.Address] = true
	}
}

// unreachableRetryAfter is longer than a backend server that nobody reached takes to be tried again.
const unreachableRetryAfter = time.Second

// refuseUnreachable refuses a job if no entry reaches any of its targets.
//
// Failure: all targets have failed a moment ago and are avoided. Requests wait for one that is tried
// again, some until their deadlines, although nothing can serve them.
func (s *Server) refuseUnreachable(j *job) *failure.Error {
	if s.o.Paths == nil || !s.dispatcher.areAllUnreachable(j, s.o.Paths.IsUnreachable) {
		return nil
	}
	spread := time.Duration(hashFraction(j.id) * float64(unreachableRetryAfter))
	return failure.New(failure.TypeNoBackendServer, "no entry reaches a backend server for this request").
		WithRan(failure.RanNo).WithRetryAfter(unreachableRetryAfter + spread)
}

// areAllUnreachable reports whether the job has targets and all of them are unreachable.
func (d *dispatcher) areAllUnreachable(j *job, isUnreachable func(address string) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := false
	for _, r := range d.routes {
		if r.pool != j.model || !allowsRegion(j.homes, r.region) {
			continue
		}
		if !isUnreachable(r.address) {
			return false
		}
		found = true
	}
	return found
}
