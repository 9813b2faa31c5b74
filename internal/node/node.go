// Package node assembles one process of the system from its settings, with the entry
// role, the control role, or both.
package node

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/control"
	"github.com/citronstep/citronstep/internal/controlclient"
	"github.com/citronstep/citronstep/internal/duplex"
	"github.com/citronstep/citronstep/internal/entry"
	"github.com/citronstep/citronstep/internal/follow"
	"github.com/citronstep/citronstep/internal/intake"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/raft"
	"github.com/citronstep/citronstep/internal/relay"
	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/settings"
)

// group is the id of the only consensus group. Every message carries the id, so that
// some records can move to separate groups later.
const group raft.GroupID = 1

// controllerStep is the time between two runs of the controllers. It is a quarter of the
// age at which evidence becomes too old for routing, so it adds little to the time of a
// repair.
const controllerStep = 300 * time.Millisecond

// Node is one process of the system.
type Node struct {
	settings      *settings.Settings
	logger        log.Logger
	tokens        tokens
	peerClient    *http.Client
	dialer        *net.Dialer
	backendClient *backend.HTTPClient
	// relayDialer connects to backend servers through other entries; nil without the entry role.
	relayDialer *relay.Dialer
	// orderClient carries orders to engines.
	orderClient *backend.HTTPClient

	replica       *replica.Node
	machine       *control.Machine
	control       *control.Server
	announcements *announcement.Receiver
	follower      *follow.Follower
	entry         *entry.Server
	// gate accepts the connections of callers; nil without the entry role.
	gate *intake.Gate
	// connLimit bounds the connections of all other listeners, headers the memory for headers of requests, bodies that
	// for bodies of requests that are not callers'.
	connLimit *intake.ConnLimit
	headers   *intake.HeaderBudget
	bodies    *bounded.Memory
	servers   []*namedServer
	adapter   Adapter
	commits   *controlclient.Client
	metrics   *metrics.Metrics
}

// tokens holds the secrets from the token files that the settings name.
type tokens struct {
	peers, admin, announce, backend string
}

// namedServer is an HTTP server with its listener and a name for logs.
type namedServer struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// New creates a node and opens its listeners and its data folder. The caller must call
// Close to release them.
func New(s *settings.Settings, logger log.Logger) (*Node, error) {
	return NewWithAdapter(s, logger, Adapter{})
}

// NewWithAdapter creates a node that uses an adapter for its platform's protocols.
func NewWithAdapter(s *settings.Settings, logger log.Logger, a Adapter) (*Node, error) {
	n := &Node{settings: s, logger: logger, adapter: a}
	intakeLogger := log.With(logger, "part", "intake")
	n.headers = intake.NewHeaderBudget(intakeLogger, s.Limits.HeaderMemoryBytes)
	n.bodies = bounded.NewMemory(s.Limits.BodyMemoryBytes, bounded.LargeBody)
	n.connLimit = intake.NewConnLimit(intakeLogger, maxOtherConnections(s.Entry.Enabled))
	steps := []func() error{n.readTokens, n.makeMetrics, n.makeClients, n.openConsensus, n.makeServers, n.listen}
	for _, step := range steps {
		if err := step(); err != nil {
			_ = n.Close()
			return nil, errors.Trace(err)
		}
	}
	return n, nil
}

func (n *Node) readTokens() error {
	files := []struct {
		path string
		into *string
	}{
		{n.settings.Peers.TokenFile, &n.tokens.peers},
		{n.settings.Admin.TokenFile, &n.tokens.admin},
		{n.settings.Entry.AnnounceTokenFile, &n.tokens.announce},
		{n.settings.Entry.BackendTokenFile, &n.tokens.backend},
	}
	for _, f := range files {
		if f.path == "" {
			continue
		}
		token, err := settings.ReadToken(f.path)
		if err != nil {
			return errors.Trace(err)
		}
		*f.into = token
	}
	return nil
}

func (n *Node) makeMetrics() error {
	m, err := metrics.New()
	n.metrics = m
	return errors.Trace(err)
}

// Timeouts of calls to the system's own processes and to backend servers.
const (
	// peerDialTimeout bounds a dial to another process of the system, which hangs if
	// its VM is without power. The latency to the farthest data centre of a
	// deployment is a tenth of this.
	peerDialTimeout = 400 * time.Millisecond
	// backendDialTimeout bounds a dial to a backend server. A dial to an unreachable
	// server hangs, and the request with it, twice if two servers are tried. The
	// latency to the farthest data centre of a deployment is half of this.
	backendDialTimeout = 200 * time.Millisecond
	// orderIdleTimeout is how long an idle connection for orders is kept. A group joins
	// and opens within this time. The leader sends orders to each VM of a pool
	// occasionally; with a longer timeout the connections to a large pool would take all
	// of its file descriptors.
	orderIdleTimeout = time.Second
	// peerIdleTimeout is how long an idle connection to another process of the system is
	// kept.
	peerIdleTimeout = 30 * time.Second
	// peerCallTimeout bounds any call to another process of the system.
	peerCallTimeout = 10 * time.Second
)

func (n *Node) makeClients() error {
	n.dialer = &net.Dialer{Timeout: peerDialTimeout, LocalAddr: n.localAddr()}
	n.peerClient = &http.Client{
		Timeout: peerCallTimeout,
		Transport: &auth.Transport{Token: n.tokens.peers, Base: &http.Transport{
			DialContext: duplex.Dialer(n.dialer.DialContext), IdleConnTimeout: peerIdleTimeout, MaxIdleConnsPerHost: 4,
			MaxResponseHeaderBytes: bounded.MaxHeadBytes,
		}},
	}
	o := backend.Options{
		Logger: n.logger, Secret: n.tokens.backend, Dial: n.dialBackend(), DialTimeout: backendDialTimeout,
		HeaderTimeout: time.Duration(n.settings.Entry.HeaderTimeoutMillis) * time.Millisecond,
	}
	orders := o
	orders.IdleTimeout = orderIdleTimeout
	n.orderClient = backend.NewHTTPClient(orders)
	n.backendClient = backend.NewHTTPClient(n.entryOptions(o))
	return nil
}

// entryOptions completes the options of the client that carries callers' requests.
func (n *Node) entryOptions(o backend.Options) backend.Options {
	if !n.settings.Entry.Enabled {
		return o
	}
	n.relayDialer = relay.NewDialer(relay.DialerOptions{
		Entry: n.settings.VM, DataCentre: n.settings.DataCentre, Dial: n.dialer.DialContext, Token: n.tokens.peers,
	})
	m := n.metrics.Entry()
	o.Logger, o.Relay = n.decisionLogger("entry"), n.relayDialer
	o.OnDial = func(outcome backend.DialOutcome, took time.Duration) { m.Dial(string(outcome), took) }
	o.OtherServers = func(beside string) []string { return n.entry.OtherServers(beside) }
	o.OnPathCheck = func(state backend.ListenState) { m.PathCheck(string(state)) }
	return o
}

// dialBackend returns the function that connects to backend servers.
func (n *Node) dialBackend() func(ctx context.Context, network, address string) (net.Conn, error) {
	if n.adapter.DialBackend != nil {
		return n.adapter.DialBackend
	}
	return new(net.Dialer).DialContext
}

func (n *Node) openConsensus() error {
	if !n.settings.Control.Enabled {
		return nil
	}
	n.machine = control.NewMachine()
	o := replicaOptions(n.settings)
	o.Machine = n.machine
	o.Logger = log.With(n.logger, "part", "replica")
	o.Secret = n.tokens.peers
	o.SourceAddress = n.localAddr()
	r, err := n.openReplica(o)
	if err != nil {
		return errors.Trace(err)
	}
	n.replica = r
	return nil
}

// replicaOptions returns the replica options that depend on the settings alone.
func replicaOptions(s *settings.Settings) replica.Options {
	return replica.Options{
		Group: group, Folder: s.Control.DataFolder, VM: s.VM, DataCentre: s.DataCentre,
		Address: s.Peers.Advertise, Peers: s.Peers.Control, Voters: s.Control.Voters,
		TickInterval:  millis(s.Control.TickMillis),
		ElectionTicks: s.Control.ElectionTicks,
		ReplaceAfter:  millis(s.Control.ReplaceAfterMillis),
	}
}

// Recover starts a new cluster from the state in the data folder of a stopped control
// process. See replica.Recover for the data that may be lost.
func Recover(s *settings.Settings) (replica.RecoveryResult, error) {
	recovered, err := replica.Recover(replicaOptions(s))
	return recovered, errors.Trace(err)
}

func (n *Node) makeServers() error {
	e := n.settings.Entry
	self := blackboard.Entry{
		ID: n.settings.VM, Address: e.Advertise, PeerAddress: n.settings.Peers.Advertise, DataCentre: n.settings.DataCentre,
		Deaf: e.Deaf,
	}
	if e.Enabled && self.Address == "" {
		self.Address = n.settings.Adapter.Callers
	}
	client := controlclient.New(n.settings.Peers.Control, n.peerClient, log.With(n.logger, "part", "follow"))
	n.follower = follow.New(follow.Options{
		Watcher: client, Entry: self, Logger: log.With(n.logger, "part", "follow"), OnChange: n.onBoardChange,
		OnControlAddresses: client.SetMembers, StartWithoutLease: e.ServeWithoutLease,
	})
	n.commits = client
	n.announcements = announcement.New(announcement.Options{
		Self: n.settings.VM, Board: n.follower.Board, Lease: n.follower.LeaseRemaining, Dial: n.dialer.DialContext,
		PeerToken: n.tokens.peers, AnnounceToken: n.tokens.announce,
		Logger: log.With(n.logger, "part", "hearing"), OnAnnouncement: n.onAnnouncement,
		Interval: millis(n.settings.Control.AnnounceMillis), OnChange: n.onEvidenceChange,
	})
	if e.Enabled {
		gate, err := intake.NewGate(log.With(n.logger, "part", "intake"), maxCallerConnections())
		if err != nil {
			return errors.Trace(err)
		}
		n.gate = gate
		n.entry = entry.NewServer(entry.Options{
			ID: n.settings.VM, DataCentre: n.settings.DataCentre, Regions: n.settings.Regions, Settings: e, Follower: n.follower, Announcements: n.announcements,
			Client: n.backendClient, Control: client, Logger: n.decisionLogger("entry"), StateLogger: log.With(n.logger, "part", "entry"), RequestLinesPerSecond: n.settings.Log.RequestLinesPerSecond, Metrics: n.metrics.Entry(), Peers: &http.Client{Transport: n.peerClient.Transport},
			Forwarder: n.forwarder(), Prober: n.backendClient, DialBackend: n.dialBackend(), Paths: n.backendClient, RelayPeers: n.relayDialer, StallReporter: client, DemandReporter: client,
		})
	}
	if n.replica != nil {
		c := n.settings.Control
		n.control = control.NewServer(control.Options{
			Machine: n.machine, Consensus: n.replica, Evidence: n.announcements, Orders: n.orderSender(),
			MinDisks: c.MinDisks, Timing: n.timing(), Renewer: client, DataCentres: slices.Sorted(maps.Keys(n.settings.Regions)),
			Logger: n.decisionLogger("control"), VM: n.settings.VM, StepInterval: n.controllerStep(), Metrics: n.metrics.Control(),
			EntryLease:    time.Duration(c.ConfigLeaseMillis) * time.Millisecond,
			MaxOrderLease: time.Duration(c.TickMillis*int64(c.ElectionTicks)) * time.Millisecond,
		})
	}
	return nil
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// decisionLogger returns the logger of a part, which logs its decisions at level info.
// Unless the settings enable decisions, it passes only warnings and errors.
func (n *Node) decisionLogger(part string) log.Logger {
	logger := log.With(n.logger, "part", part)
	if n.settings.Log.Decisions {
		return logger
	}
	return level.NewFilter(logger, level.AllowWarn())
}

func (n *Node) onBoardChange(b *blackboard.Board) {
	if n.entry != nil {
		n.entry.ApplyBoard(b)
	}
}

// onEvidenceChange runs the controllers at once, so that a group that waits for the change
// becomes ready sooner.
func (n *Node) onEvidenceChange() {
	if n.control != nil {
		n.control.Wake()
	}
}

func (n *Node) onAnnouncement(a backend.Announcement) {
	if n.entry != nil {
		n.entry.HandleAnnouncement(a)
	}
}

// ErrReplicaFailed is returned by Run after the consensus replica has failed
// irrecoverably, such as by a failed sync. The platform restarts the process.
const ErrReplicaFailed = errors.ConstError("the consensus replica has failed")

// Run serves until the context ends. It returns an error if the process can't continue.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range n.servers {
		g.Go(func() error {
			if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Annotatef(err, "serving %s", l.name)
			}
			return nil
		})
	}
	n.goLoop(ctx, g, n.sampleLoop)
	n.goLoop(ctx, g, n.follower.Run)
	n.goLoop(ctx, g, n.announcements.Run)
	if n.entry != nil {
		n.goLoop(ctx, g, n.entry.Run)
		n.goLoop(ctx, g, n.gate.Run)
	}
	if n.control != nil {
		n.goLoop(ctx, g, n.control.Run)
		g.Go(func() error { return n.watchReplica(ctx) })
		if n.settings.Control.Found {
			n.goLoop(ctx, g, n.foundLoop)
		}
	}
	g.Go(func() error {
		<-ctx.Done()
		n.closeServers()
		return nil
	})
	return errors.Trace(g.Wait())
}

// Reload applies the settings that may change while the process runs: the addresses of
// the control processes.
func (n *Node) Reload(s *settings.Settings) {
	n.commits.SetSeeds(s.Peers.Control)
	if n.replica != nil {
		n.replica.SetPeers(s.Peers.Control)
	}
}

func (n *Node) goLoop(ctx context.Context, g *errgroup.Group, loop func(context.Context)) {
	g.Go(func() error {
		loop(ctx)
		return nil
	})
}

func (n *Node) watchReplica(ctx context.Context) error {
	select {
	case <-n.replica.Failed():
		n.waitForDisk(ctx)
		return errors.Annotate(ErrReplicaFailed, errText(n.replica.Status().Err))
	case <-ctx.Done():
		return nil
	}
}

func errText(err error) string {
	if err == nil {
		return "no reason given"
	}
	return err.Error()
}

// closeWait is how long a process that ends waits for its last answers to be written, and then for
// its open requests to end with their connections.
const closeWait = 200 * time.Millisecond

// closeServers closes the listeners and all connections. Requests whose answers have not begun are
// answered before; answers that are not complete end.
func (n *Node) closeServers() {
	if n.entry != nil {
		n.entry.ReportOpen(time.Now())
		n.entry.EndOpen()
		ctx, cancel := context.WithTimeout(context.Background(), closeWait)
		n.shutdownServers(ctx)
		cancel()
		n.entry.NoteStopped()
		defer n.entry.AwaitEnded(closeWait)
	}
	for _, l := range n.servers {
		_ = l.server.Close()
	}
}

// Close closes the node's listeners, idle connections, metrics and replica.
func (n *Node) Close() error {
	n.closeServers()
	for _, l := range n.servers {
		_ = l.listener.Close()
	}
	for _, c := range []*backend.HTTPClient{n.backendClient, n.orderClient} {
		if c != nil {
			c.Close()
		}
	}
	if n.entry != nil {
		n.entry.CloseRelays()
	}
	if n.gate != nil {
		n.gate.Close()
	}
	if n.metrics != nil {
		_ = n.metrics.Close()
	}
	if n.replica != nil {
		return errors.Trace(n.replica.Close())
	}
	return nil
}
