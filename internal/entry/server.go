// Package entry takes callers' requests: it authenticates them, finds
// duplicates, lets admission and placement decide, makes attempts on backend
// servers, and relays one whole answer.
package entry

import (
	"context"
	"hash/fnv"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/hearing"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/placement"
	"github.com/citronstep/citronstep/internal/requestlog"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
	"github.com/citronstep/citronstep/internal/settings"
)

// Follower gives the newest board and the lease to serve under it.
type Follower interface {
	Board() *blackboard.Board
	Lease() time.Duration
	// Granted returns the length of the leases that the leader grants.
	Granted() time.Duration
}

// Committer writes commands through the leader of the control processes.
type Committer interface {
	Commit(ctx context.Context, r *noderpc.CommitRequest) ([]byte, error)
}

// Options are what a Server is made of.
type Options struct {
	ID         string
	DataCentre string
	// Regions names the region of each data centre.
	Regions  map[string]string
	Settings settings.Entry
	Follower Follower
	Hearing  *hearing.Hearing
	Client   backend.Client
	Control  Committer
	Logger   log.Logger
	// RequestLinesPerSecond bounds the lines about requests; 0 is no bound.
	RequestLinesPerSecond int
	Metrics               *metrics.Entry
	// Peers calls the other entries, with the secret between our processes.
	Peers *http.Client
	// Forwarder passes on the requests of routes; nil if none are taken.
	Forwarder backend.Forwarder
	// Suspects tells the leader of groups without progress; nil if nobody is to
	// be told.
	Suspects Suspecter
}

// Suspecter tells the leader of groups without progress.
type Suspecter interface {
	Suspect(ctx context.Context, r *noderpc.SuspectRequest) error
}

// Server is the entry role of one process.
type Server struct {
	o          Options
	requests   *requestlog.Log
	dispatcher *dispatcher
	jobs       *jobTable
	isolation  *isolation
	// holders is what this entry knows as the home of keys.
	holdersMu sync.Mutex
	holders   *holders
	keys      keyIndex
	// boardChanged wakes the routes' loop.
	boardChanged chan struct{}
	// open are the routes of the last look, for the log alone.
	loggedRoutes map[string]route
	// progress is used by the routes' loop alone.
	progress progressByEpoch
	// work counts the running jobs, for a graceful stop. It grows only under
	// the gate, and not once draining is set.
	work    sync.WaitGroup
	drainMu sync.RWMutex
	// draining says that no new work is admitted.
	draining atomic.Bool
	// handlers counts the open requests of callers, attached resends too.
	openCallers atomic.Int64
	// leaving says that the entry asked its balancer to stop sending.
	leaving atomic.Bool
	// entryIDs are the registered entries of the last board.
	entryIDs []string
	// routedBy is the board that the routes were last taken from, and routesHeld says
	// that a group on it was then held; the routes' loop alone uses them.
	routesBoard          *blackboard.Board
	routesChangeWithTime bool
	// policyRevision is the configuration that admission's policy is from.
	policyRevision uint64
	// waits is what this entry has learned of how long callers wait.
	waitEstimates *waitEstimates
	// rateLimits are those that backend servers have named.
	rateLimits *rateLimits
	// borrowing holds the retries that this entry borrows and lends.
	retryLoans *retryLoans
	// memory bounds what is held for slow readers and writers.
	memory *memoryBudget
	// cold holds the limits of backend servers that are cold, and evacuations the data
	// centres that are evacuated; the routes' loop alone uses them.
	cold        map[string]placement.RateLimit
	evacuations evacuations
	// callers tells the controllers when the first request comes.
	callerReport firstCallerReport
	// routing is what requests of routes are judged by.
	routing atomic.Pointer[routingTable]
	// configured closes with the first configuration.
	configured     chan struct{}
	configuredOnce sync.Once
	// started is when this process began.
	startedAt time.Time
}

// NewServer returns a server; Run keeps its routes.
func NewServer(o Options) *Server {
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.ID))
	s := &Server{
		o:             o,
		requests:      requestlog.New(o.Logger, o.RequestLinesPerSecond),
		jobs:          newJobTable(),
		isolation:     newIsolation(),
		holders:       newHolders(),
		boardChanged:  make(chan struct{}, 1),
		loggedRoutes:  make(map[string]route),
		progress:      make(progressByEpoch),
		waitEstimates: newWaitEstimates(time.Now().Add(time.Duration(h.Sum64() % uint64(waitReportInterval)))),
		rateLimits:    newRateLimits(),
		evacuations:   make(evacuations),
		retryLoans:    newRetryLoans(),
		memory:        newMemoryBudget(o.Settings.MaxHeldBytes),
		configured:    make(chan struct{}),
		startedAt:     time.Now(),
	}
	s.holders.assumeBegun(time.Now())
	s.dispatcher = newDispatcher(placement.Options{
		Seed: h.Sum64(), Entry: o.ID, DataCentre: o.DataCentre, Ramp: time.Duration(o.Settings.RampMillis) * time.Millisecond,
	})
	return s
}

// Run keeps the routes until the context ends.
func (s *Server) Run(ctx context.Context) { s.keepRoutes(ctx) }

// BoardChanged takes a new board into the policy and the routes.
func (s *Server) BoardChanged(b *blackboard.Board) {
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
	select {
	case s.boardChanged <- struct{}{}:
	default:
	}
}

// entriesChanged notes that keys may have come to this home from another.
func (s *Server) updateEntries(b *blackboard.Board) {
	ids := slices.Sorted(maps.Keys(b.Entries))
	if slices.Equal(ids, s.entryIDs) {
		return
	}
	s.policyRevision = 0
	s.entryIDs = ids
	s.holdersMu.Lock()
	defer s.holdersMu.Unlock()
	s.holders.assumeBegun(time.Now())
}

// Announced takes what an announcement says beyond liveness.
func (s *Server) Announced(a backend.Announcement) { s.cacheEvents(a) }

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
	e.POST(backend.PathAnnounce, echo.WrapHandler(s.o.Hearing))
	return e
}

// handlersPerOpen is how many callers' requests may be open for each open job
// that the settings allow: resends that attach, and bodies still on their way.
const requestsPerOpenJob = 2

// boundHandlers bounds what callers hold open before and beside their jobs.
//
// Failure: callers send bodies slowly, or resend one key thousands of times;
// no job is open, so the limit on jobs sees nothing, and the entry's memory
// goes. Each open request of any kind counts here.
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

// serveReady tells the platform's balancer whether to send callers here.
func (s *Server) serveReady(c echo.Context) error {
	if e := s.Ready(); e != nil {
		return e
	}
	return c.String(http.StatusOK, "ready\n")
}

// Leaving tells whether the entry has asked its balancer to stop sending.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Ready tells why the balancer should not send callers here, or nil.
func (s *Server) Ready() *failure.Error {
	if s.leaving.Load() {
		return failure.New(failure.TypeDraining, "this entry is stopping")
	}
	return s.mayDispatch()
}

// firstConfigurationWait is how long after its start an entry lets requests wait
// for its first configuration.
//
// Load: an entry restarts, or all do, and callers connect before it has heard
// from the control processes. Harm of refusing them: a caller has few retries and
// spends one, and all come back in the same moment. Reason for the limit: with
// control processes that answer, the configuration is there 0.3 s after the start;
// where it is not after this, nobody knows when it will be, and callers are told
// so at once.
const firstConfigurationWait = time.Second

// awaitConfiguration waits for the first configuration, if this process has only
// just started.
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

// drainingRetryAfter is short, as any other entry serves the caller at once.
const drainingRetryAfter = 50 * time.Millisecond

// mayAdmit refuses new work while stopping or without a lease.
func (s *Server) mayAdmit() *failure.Error {
	if s.draining.Load() {
		return failure.New(failure.TypeDraining, "this entry is stopping; send to another").
			WithRan(failure.RanNo).WithRetryAfter(drainingRetryAfter)
	}
	return s.mayDispatch()
}

// Drain stops gracefully: readiness goes off, the balancer gets its time, new
// work is refused, and running work finishes. refusing is called when new work
// begins to be refused. It returns false when the context ended first.
func (s *Server) Drain(ctx context.Context, refusing func()) bool {
	s.leaving.Store(true)
	wait := time.NewTimer(time.Duration(s.o.Settings.BalancerMillis) * time.Millisecond)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	s.drainMu.Lock()
	s.draining.Store(true)
	s.drainMu.Unlock()
	refusing()
	finished := make(chan struct{})
	go func() {
		s.work.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return true
	case <-ctx.Done():
		return false
	}
}

// Sample sets the gauges of the entry role.
func (s *Server) Sample() {
	open, _ := s.jobs.counts()
	routes, waiting := s.dispatcher.counts()
	s.o.Metrics.Sample(metrics.EntrySample{
		Open: open, Waiting: waiting, Routes: routes, Lease: s.o.Follower.Lease(),
		ConfigRevision: s.o.Follower.Board().Config.Revision, RateLimited: s.rateLimits.count(),
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

// priority is what engines order their own queues by: the worth that admission
// goes by, in whole numbers.
func (s *Server) priority(j *job) int {
	return s.dispatcher.worth(j.workspace, j.class)
}

func (d *dispatcher) worth(workspace, class string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int(math.Round(d.policy.Worth(workspace, class)))
}

// policyOf turns the configuration in force into admission's policy.
func policyOf(c blackboard.Configuration) admission.Policy {
	p := admission.Policy{
		Workspaces: make(map[string]admission.WorkspacePolicy),
		Classes:    make(map[string]admission.ClassPolicy),
	}
	preset := c.Presets[c.ActivePreset]
	for name, w := range c.Workspaces {
		p.Workspaces[name] = admission.WorkspacePolicy{
			Worth: float64(preset.WorkspaceWorth[name]), Share: float64(w.Share),
		}
	}
	for name := range c.Classes {
		p.Classes[name] = admission.ClassPolicy{Worth: float64(c.ClassWorth(name))}
	}
	applyPriorities(c, &p)
	return p
}

func (d *dispatcher) setPolicy(p admission.Policy) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.Seed = d.seed
	d.policy = p
	now := time.Now()
	d.queue.SetPolicy(now, p)
	d.dispatchWaiting(now)
}
