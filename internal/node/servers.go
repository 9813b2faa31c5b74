package node

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/control"
	"github.com/citronstep/citronstep/internal/entry"
	"github.com/citronstep/citronstep/internal/intake"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/relay"
	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Limits of the HTTP servers.
const (
	// readHeaderTimeout also bounds how long a connection may wait for its first request. Callers open connections
	// ahead of their requests, and one that is closed as its first request arrives gives that no answer.
	readHeaderTimeout = 30 * time.Second
	maxHeaderBytes    = 32 << 10
	idleTimeout       = 2 * time.Minute
	// bodyTime is how long a short body of another process or an operator may take.
	bodyTime = 10 * time.Second
	// maxBodyBytes bounds such a body: twice the longest, an operator's whole configuration.
	maxBodyBytes = 8 << 20
)

// limitBodies bounds the bodies of requests that are not callers', each and together.
func (n *Node) limitBodies(next http.Handler) http.Handler {
	return bounded.Bodies{Next: next, MaxBytes: maxBodyBytes, Time: bodyTime, Memory: n.bodies}
}

func (n *Node) listen() error {
	if err := n.listenAt("peers", n.settings.Peers.Listen, n.peersHandler()); err != nil {
		return errors.Trace(err)
	}
	if err := n.listenForAdapter(); err != nil {
		return errors.Trace(err)
	}
	if n.entry != nil && n.settings.Entry.Listen != "" {
		if err := n.listenAt(callersServer, n.settings.Entry.Listen, n.entry.Handler()); err != nil {
			return errors.Trace(err)
		}
	}
	if n.settings.Admin.Listen == "" {
		return nil
	}
	return errors.Trace(n.listenAt("admin", n.settings.Admin.Listen, n.limitBodies(n.adminHandler())))
}

// localAddr returns the source address of connections to peers: the IP on which this
// process listens for peers, or nil if that is unspecified. Peers of a VM with several
// addresses then observe the one in its settings.
func (n *Node) localAddr() net.Addr {
	address, err := net.ResolveTCPAddr("tcp", n.settings.Peers.Listen)
	if err != nil || address.IP == nil || address.IP.IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: address.IP}
}

// adminHandler serves operators: metrics on every process, and the admin API on a
// control process.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(metrics.Path, auth.RequireToken(n.tokens.admin, n.metrics.Handler()))
	if n.control != nil {
		forward := control.NewForwarder(&http.Client{Transport: n.peerClient.Transport}, n.tokens.peers, n.decisionLogger("control"))
		mux.Handle("/admin/v1/", n.control.AdminHandler(n.tokens.admin, forward))
	}
	return mux
}

func (n *Node) listenAt(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listening for %s", name)
	}
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
	n.servers = append(n.servers, &namedServer{name: name, server: server, listener: n.protect(name, server, l)})
	_ = level.Info(n.logger).Log("event", "listening", "for", name, "address", l.Addr())
	return nil
}

// protect bounds the connections of a listener and the memory for headers of its requests.
func (n *Node) protect(name string, server *http.Server, l net.Listener) net.Listener {
	if n.gate != nil && name == callersServer {
		return intake.Protect(server, l, n.gate, n.headers)
	}
	return intake.Protect(server, l, n.connLimit.For(name), n.headers)
}

// peersHandler serves the other processes of the system.
func (n *Node) peersHandler() http.Handler {
	mux := http.NewServeMux()
	entries := noderpc.NewEntriesServer(n.entriesService())
	mux.Handle(entries.PathPrefix(), entries)
	mux.HandleFunc(announcement.PathExchange, n.announcements.ServeExchange)
	mux.Handle(metrics.Path, n.metrics.Handler())
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	if n.entry != nil {
		mux.HandleFunc(entry.PathAnswers, n.entry.ServeAnswers)
		mux.HandleFunc(relay.Path, n.entry.ServeRelay)
		mux.HandleFunc(entry.PathCrashes, n.entry.ServeCrashes)
	}
	if n.control != nil {
		board := noderpc.NewBoardServer(n.control)
		mux.Handle(board.PathPrefix(), board)
		mux.Handle("/admin/v1/", n.control.AdminHandler("", nil))
	}
	guarded := n.limitBodies(auth.RequireToken(n.tokens.peers, mux))
	if n.replica == nil {
		return guarded
	}
	// The replica checks the token itself, so its handler bypasses auth.
	outer := http.NewServeMux()
	outer.Handle("/", guarded)
	outer.Handle(replica.PathPrefix, bounded.Bodies{Next: n.replica.Handler(), MaxBytes: replica.MaxRequestBytes, Time: bodyTime})
	return outer
}

func (n *Node) entriesService() noderpc.Entries {
	if n.entry == nil {
		return noEntryRole{}
	}
	return n.entry.KeyHome()
}

// noEntryRole implements noderpc.Entries on a process without the entry role. It refuses
// every call.
type noEntryRole struct{}

// Hold returns a not-found error.
func (noEntryRole) Hold(context.Context, *noderpc.HoldRequest) (*noderpc.HoldReply, error) {
	return nil, twirp.NotFound.Error("no entry role here")
}

// LendRetry returns a not-found error.
func (noEntryRole) LendRetry(context.Context, *noderpc.LendRetryRequest) (*noderpc.LendRetryReply, error) {
	return nil, twirp.NotFound.Error("no entry role here")
}

// Acquire returns a not-found error.
func (noEntryRole) Acquire(context.Context, *noderpc.AcquireRequest) (*noderpc.AcquireReply, error) {
	return nil, twirp.NotFound.Error("no entry role here")
}

// Release returns a not-found error.
func (noEntryRole) Release(context.Context, *noderpc.ReleaseRequest) (*noderpc.ReleaseReply, error) {
	return nil, twirp.NotFound.Error("no entry role here")
}
