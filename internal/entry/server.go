// Package entry serves callers' requests. It authenticates them, finds duplicates, applies
// admission and placement, makes attempts on backend servers, and relays one complete answer.
package entry

import (
	"context"
	"hash/fnv"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/announcement"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/placement"
	"github.com/citronstep/citronstep/internal/relay"
	"github.com/citronstep/citronstep/internal/requestlog"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
	"github.com/citronstep/citronstep/internal/settings"
)

// Follower provides the newest board and the lease to serve under it.
type Follower interface {
	Board() *blackboard.Board
	LeaseRemaining() time.Duration
	// LeaseLength returns the length of the leases that the leader grants.
	LeaseLength() time.Duration
	// EvacuationStart returns the earliest time at which the evacuation of a data centre can have
	// been ordered; 0 if that is not known.
	EvacuationStart(dataCentre string) clock.Boot
}

// Committer writes commands through the leader of the control processes.
type Committer interface {
	Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error)
}

// Options configure a Server.
type Options struct {
	ID         string
	DataCentre string
	// Regions holds the region of each data centre.
	Regions       map[string]string
	Settings      settings.Entry
	Follower      Follower
	Announcements *announcement.Receiver
	Client        backend.Client
	Control       Committer
	Logger        log.Logger
	// StateLogger writes lines about the state of the entry as a whole, which are few; nil for Logger.
	StateLogger log.Logger
	// RequestLinesPerSecond limits the log lines about requests; 0 is no limit.
	RequestLinesPerSecond int
	Metrics               *metrics.Entry
	// Peers calls the other entries with the secret that the processes of the system share.
	Peers *http.Client
	// Forwarder forwards the requests of routes; nil if the entry serves none.
	Forwarder backend.Forwarder
	// Prober finds out whether a backend server that closed a connection still listens; nil if
	// announcements alone tell.
	Prober backend.ListenProber
	// DialBackend connects to backend servers on behalf of other entries, Paths tells how this entry
	// reaches them, and RelayPeers receives the entries that may relay for this one. Paths and
	// RelayPeers are nil if no entry relays for this one.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	Paths       ServerPaths
	RelayPeers  PeerSetter
	// StallReporter reports groups without progress to the leader; nil if there are no reports.
	StallReporter StallReporter
	// DemandReporter reports the observed demand to the leader; nil if there are no reports.
	DemandReporter DemandReporter
}

// StallReporter reports groups without progress to the leader.
type StallReporter interface {
	Suspect(ctx context.Context, r *noderpc.SuspectRequest) error
}

// Server is the entry role of one process.
type Server struct {
	o          Options
	requests   *requestlog.Log
	dispatcher *dispatcher
	jobs       *jobTable
	isolation  *isolation
	// crashChecks tells crashes of backend servers from cut connections, suspectWriter writes what
	// this entry learns of suspects.
	crashChecks   *crashChecks
	suspectWriter suspectWriter
	answerGrace   *answerGrace
	// retryAsks holds when this entry last asked for a further run of a cause.
	retryAsksMu sync.Mutex
	retryAsks   map[string]time.Time
	// partGrace is the same for the parts of prompts. gracedSuspects is the table of suspects that it was last
	// set by; only ApplyBoard uses it.
	partGrace      *answerGrace
	gracedSuspects map[string]blackboard.Suspect
	// waitingParts holds the jobs that wait for admission by the parts of their prompts.
	waitingParts *waitingParts
	// comparesParts is set while a part may come to be refused once others are answered.
	comparesParts atomic.Bool
	// uncomparedParts holds the parts that may come to be refused once requests without them are answered; only
	// ApplyBoard sets it.
	uncomparedParts atomic.Pointer[[]blackboard.Suspect]
	// holders is this entry's table as the home of keys.
	holdersMu sync.Mutex
	holders   *holders
	keys      keyIndex
	// updateNow wakes the route loop.
	updateNow chan struct{}
	// loggedRoutes are the routes of the last update, kept for the log alone.
	loggedRoutes map[string]route
	// progress is used by the route loop alone.
	progress progressByEpoch
	// isSilenceCommon is set while nearly all groups are silent; only the route loop uses it.
	isSilenceCommon bool
	// retiredGroups are groups out of service with open attempts; only the route loop uses them.
	retiredGroups []*groupProgress
	// openServers holds the backend servers with open attempts.
	openServers *openServers
	// work counts the running jobs for a graceful stop. It grows only under drainMu, and not
	// once draining is set.
	work    sync.WaitGroup
	drainMu sync.RWMutex
	// draining is set once no new work is admitted.
	draining atomic.Bool
	// stopped is set once the process closes its callers' connections.
	stopped atomic.Bool
	// openCallers counts the open requests of callers, including resends that are attached.
	openCallers atomic.Int64
	// leaving is set once the entry has asked its load balancer to stop sending.
	leaving atomic.Bool
	// entryIDs holds the registered entries of the last board.
	entryIDs []string
	// routesBoard is the board that the routes were last taken from. routesChangeWithTime is
	// set if these routes change without an event, and routesCloseAt is when the first of their
	// evacuated targets closes; 0 for none. Only the route loop uses them.
	routesBoard          *blackboard.Board
	routesChangeWithTime bool
	routesCloseAt        clock.Boot
	// policyRevision is the configuration revision that admission's policy was built from.
	policyRevision uint64
	// waitEstimates estimates how long callers wait.
	waitEstimates *waitEstimates
	// rateLimits holds the rate limits that backend servers state.
	rateLimits *rateLimits
	// leavingServers holds the backend servers that state in their answers that they are leaving.
	leavingServers *leavingServers
	// retryLoans holds the retries that this entry borrows and lends.
	retryLoans *retryLoans
	// partitions divides models' groups among coordinators, coordinators holds the parts that
	// this entry coordinates, and shared is this entry's side of the shared queues.
	partitions   partitions
	coordinators *coordinators
	shared       *sharedQueue
	// memory limits the bytes held for slow readers and writers.
	memory *memoryBudget
	// cold holds the limits of cold backend servers, and evacuations the evacuated data
	// centres. Only the route loop uses them.
	cold        map[string]placement.RateLimit
	evacuations evacuations
	// withdrawals holds the claims that are being withdrawn although they may not have been
	// written.
	withdrawals *withdrawals
	// relays relays connections to backend servers for other entries, whose addresses
	// backendAddresses holds.
	relays           *relay.Server
	backendAddresses backendAddresses
	// callerReport reports to the controllers that callers have begun to send requests.
	callerReport firstCallerReport
	// demand counts the requests of each model for the leader.
	demand *demandCounter
	// routing is the configuration that applies to requests of routes; nil before the first
	// one.
	routing atomic.Pointer[routingTable]
	// configured is closed with the first configuration.
	configured     chan struct{}
	configuredOnce sync.Once
	// startedAt is when this process started.
	startedAt time.Time
	// isServing is set once the entry has admitted requests; only the route loop uses it.
	isServing bool
	// reportedOpen is what the last line about open requests says.
	openMu       sync.Mutex
	reportedOpen openWork
}

// NewServer returns a server. Run keeps its routes up to date.
func NewServer(o Options) *Server {
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.ID))
	s := &Server{
		o:              o,
		requests:       requestlog.New(o.Logger, o.RequestLinesPerSecond),
		jobs:           newJobTable(),
		isolation:      newIsolation(),
		crashChecks:    newCrashChecks(),
		openServers:    newOpenServers(),
		answerGrace:    newAnswerGrace(time.Now(), attributionGrace),
		retryAsks:      make(map[string]time.Time),
		waitingParts:   newWaitingParts(),
		partGrace:      newAnswerGrace(time.Now(), partGraceLength),
		holders:        newHolders(),
		updateNow:      make(chan struct{}, 1),
		loggedRoutes:   make(map[string]route),
		progress:       make(progressByEpoch),
		waitEstimates:  newWaitEstimates(time.Now().Add(time.Duration(h.Sum64() % uint64(waitReportInterval)))),
		rateLimits:     newRateLimits(),
		leavingServers: newLeavingServers(),
		evacuations:    make(evacuations),
		retryLoans:     newRetryLoans(),
		coordinators:   newCoordinators(),
		shared:         newSharedQueue(),
		memory:         newMemoryBudget(o.Settings.MaxHeldBytes),
		demand:         newDemandCounter(time.Now()),
		configured:     make(chan struct{}),
		withdrawals:    newWithdrawals(),
		startedAt:      time.Now(),
	}
	s.uncomparedParts.Store(new([]blackboard.Suspect))
	s.holders.assumeBegun(time.Now())
	s.relays = s.newRelayServer()
	s.dispatcher = newDispatcher(placement.Options{
		Seed: h.Sum64(), Entry: o.ID, DataCentre: o.DataCentre, Ramp: time.Duration(o.Settings.RampMillis) * time.Millisecond,
	})
	return s
}

// Run keeps the routes up to date until the context ends.
func (s *Server) Run(ctx context.Context) { s.keepRoutes(ctx) }

// ApplyBoard applies a new board to the policy and the routes.
func (s *Server) ApplyBoard(b *blackboard.Board) {
	s.noteSuspectsOfBoard(time.Now())
	s.updateEntries(b)
	s.waitEstimates.loadBoard(b)
	if b.Config.Revision != s.policyRevision {
		if s.policyRevision != 0 || b.Config.Version != 0 {
			_ = level.Info(s.o.Logger).Log("event", "configuration_taken", "revision", b.Config.Revision, "version", b.Config.Version,
				"board", b.Revision)
		}
		s.policyRevision = b.Config.Revision
		s.applyConfiguration(b)
	}
	if b.Config.Revision > 0 {
		s.configuredOnce.Do(func() { close(s.configured) })
	}
	s.wakeRouteLoop()
}

// wakeRouteLoop makes the route loop update the routes at once.
func (s *Server) wakeRouteLoop() {
	select {
	case s.updateNow <- struct{}{}:
	default:
	}
}

// updateEntries records the set of entries. If it changed, keys may have moved to this home
// from another.
func (s *Server) updateEntries(b *blackboard.Board) {
	ids := slices.Sorted(maps.Keys(b.Entries))
	if slices.Equal(ids, s.entryIDs) {
		return
	}
	s.policyRevision = 0
	s.entryIDs = ids
	if s.o.RelayPeers != nil {
		s.o.RelayPeers.SetPeers(s.relayPeers(b))
	}
	s.holdersMu.Lock()
	defer s.holdersMu.Unlock()
	s.holders.assumeBegun(time.Now())
}

// HandleAnnouncement processes the parts of an announcement other than liveness.
func (s *Server) HandleAnnouncement(a backend.Announcement) { s.cacheEvents(a) }

// Handler returns the callers' API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeError
	e.Use(s.limitOpenRequests)
	e.POST(textAPI.path, s.serveCompletion(textAPI))
	e.POST(chatAPI.path, s.serveCompletion(chatAPI))
	e.Any("/services/:name", s.serveService)
	e.Any("/services/:name/*", s.serveService)
	e.GET("/ready", s.serveReady)
	e.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.POST(backend.PathAnnounce, echo.WrapHandler(s.o.Announcements))
	return e
}

// requestsPerOpenJob is how many callers' requests may be open for each open job that the
// settings allow: it leaves capacity for resends that attach and for bodies that are still
// being sent.
const requestsPerOpenJob = 2

// limitOpenRequests limits the requests that callers hold open, with or without a job.
//
// Failure: callers send bodies slowly, or resend one key thousands of times. No job is open, so
// the limit on jobs does not apply, and the entry runs out of memory. Each open request of any
// kind counts here.
func (s *Server) limitOpenRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		defer s.openCallers.Add(-1)
		if s.openCallers.Add(1) > int64(requestsPerOpenJob*s.o.Settings.MaxOpen) && c.Path() != backend.PathAnnounce {
			return s.refuseEarly(c, failure.New(failure.TypeOverloaded, "too many open requests").
				WithRan(failure.RanNo).WithRetryAfter(time.Second))
		}
		return next(c)
	}
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		t := failure.TypeBadRequest
		if he.Code == http.StatusNotFound || he.Code == http.StatusMethodNotAllowed {
			t = failure.TypeNotFound
		}
		err = failure.New(t, http.StatusText(he.Code)).WithRan(failure.RanNo)
	}
	failure.Write(c.Response(), err)
}

// serveReady answers the load balancer's readiness probe.
func (s *Server) serveReady(c echo.Context) error {
	if e := s.NotReadyReason(); e != nil {
		return e
	}
	return c.String(http.StatusOK, "ready\n")
}

// IsLeaving reports whether the entry has asked its load balancer to stop sending.
func (s *Server) IsLeaving() bool { return s.leaving.Load() }

// NotReadyReason returns why the load balancer should not send callers here, or nil.
func (s *Server) NotReadyReason() *failure.Error {
	if s.leaving.Load() {
		return failure.New(failure.TypeDraining, "this entry is stopping")
	}
	return s.mayDispatch()
}

// firstConfigurationWait is how long after its start an entry lets requests wait for its first
// configuration.
//
// After an entry or all entries restart, callers connect before the entry has received a
// configuration. A refused caller spends one of its few retries, and all callers come back at
// the same moment. If the control processes answer, the configuration arrives 0.3 s after the
// start. If it has not arrived within this time, nobody knows when it will, and callers are
// refused at once.
const firstConfigurationWait = time.Second

// awaitConfiguration waits for the first configuration if this process has just started.
func (s *Server) awaitConfiguration(ctx context.Context) {
	select {
	case <-s.configured:
		return
	default:
	}
	left := firstConfigurationWait - time.Since(s.startedAt)
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mayAdmit refuses new work while the entry is stopping or has no lease.
func (s *Server) mayAdmit() *failure.Error {
	if s.draining.Load() {
		return stoppingRefusal().WithRan(failure.RanNo)
	}
	return s.mayDispatch()
}

// SetGauges sets the gauges of the entry role.
func (s *Server) SetGauges() {
	open, _ := s.jobs.counts()
	routes, waiting := s.dispatcher.counts()
	sharedWaiting, grants := s.sharedQueueSizes()
	requests, refusedRequests := countSuspects(s.o.Follower.Board().Suspects, blackboard.CauseRequest)
	parts, refusedParts := countSuspects(s.o.Follower.Board().Suspects, blackboard.CausePart)
	s.o.Metrics.Sample(metrics.EntrySample{
		Open: open, Waiting: waiting, Routes: routes, Lease: s.o.Follower.LeaseRemaining(),
		ConfigRevision: s.o.Follower.Board().Config.Revision, RateLimited: s.rateLimits.count(),
		BackedOff: s.dispatcher.backoffCount(time.Now()), RequestLimits: s.dispatcher.requestLimits(),
		SharedWaiting: sharedWaiting, Grants: grants, Suspects: requests, Attributed: refusedRequests,
		SuspectParts: parts, AttributedParts: refusedParts,
		RelayedServers: s.relayedServers(), OpenRelays: s.relays.Open(),
	})
}

func (s *Server) progressTimeouts() progressTimeouts {
	c := s.o.Settings
	return progressTimeouts{
		header:     time.Duration(c.HeaderTimeoutMillis) * time.Millisecond,
		firstToken: time.Duration(c.FirstTokenTimeoutMillis) * time.Millisecond,
		gap:        time.Duration(c.TokenGapMillis) * time.Millisecond,
	}
}
