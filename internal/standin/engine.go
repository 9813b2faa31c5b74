package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
)

// maxRequestBodyBytes bounds what a stand-in reads of a request body.
const maxRequestBodyBytes = 8 << 20

// Engine is a stand-in for a model engine on a VM.
type Engine struct {
	*host
	options EngineOptions
	client  *http.Client

	mu    sync.Mutex
	state *engineState
}

// engineState is the state that a crash discards.
type engineState struct {
	incarnation *incarnation
	scheduler   *scheduler
	cache       *prefixCache
	load        *loadReport
	running     *runningSet

	mu sync.Mutex
	// newest is the newest fencing token received. An engine that ignores fencing tokens does
	// not set it.
	newest backend.FencingToken
	// released is the newest epoch that an engine that checks tokens was ordered to release. A
	// late load order for this epoch or an older one is refused.
	released uint64
	group    *membership
	weights  map[string]bool
}

// StartEngine starts an engine, which serves and announces itself until Close.
func StartEngine(ctx context.Context, o EngineOptions) (*Engine, error) {
	o = o.withDefaults()
	e := &Engine{options: o, client: &http.Client{Transport: &http.Transport{IdleConnTimeout: 10 * time.Second}}}
	e.host = newHost(ctx, o.Common, e.routes())
	e.onStart = e.newState
	e.newAnnouncement = e.announce
	if err := e.start(); err != nil {
		e.cancel()
		return nil, errors.Trace(err)
	}
	return e, nil
}

// Close stops the engine and closes all its connections.
func (e *Engine) Close() {
	e.host.Close()
	e.client.CloseIdleConnections()
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backend.PathOrders, e.serveOrder)
	mux.HandleFunc("POST "+backend.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+backend.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+pathMember, e.serveMember)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, r *http.Request) { e.serveRuns(w, r) })
	mux.HandleFunc("GET "+PathArrivals, func(w http.ResponseWriter, r *http.Request) { e.serveArrivals(w, r) })
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) { e.serveFaults(w, r) })
	return mux
}

func (e *Engine) newState(l *incarnation) {
	s := &engineState{
		incarnation: l,
		scheduler:   newScheduler(e.options.Slots, e.options.QueueLimit),
		cache:       newPrefixCache(e.options),
		load:        &loadReport{lag: e.options.LoadLag},
		running:     newRunningSet(),
		weights:     map[string]bool{},
	}
	for _, model := range e.options.Weights {
		s.weights[model] = true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
}

// currentState returns the state of the current incarnation.
func (e *Engine) currentState() *engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

// announce returns the announcement of the engine: its group, phase, cache events and load.
func (e *Engine) announce(*incarnation) *backend.Announcement {
	s := e.currentState()
	now := time.Now()
	m := &backend.Announcement{
		Kind:         backend.KindEngine,
		Accelerators: e.options.Accelerators,
		Phase:        backend.PhaseIdle,
		Cache:        s.cache.due(now),
		Load:         s.load.report(now, e.currentLoad(s)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for model := range s.weights {
		m.Weights = append(m.Weights, model)
	}
	if g := s.group; g != nil {
		m.Group = g.order.Group
		m.Epoch = g.order.Token.Epoch
		m.Model = g.order.Model
		m.Phase, m.Unreachable = g.status(now)
	}
	return m
}

// currentLoad returns the load at this moment, without the configured lag.
func (e *Engine) currentLoad(s *engineState) backend.Load {
	running, tokens := s.running.totals()
	queued := s.scheduler.queued()
	load := backend.Load{
		Running:        running - queued,
		Queued:         queued,
		TokensInFlight: tokens,
	}
	if e.options.TokenInterval > 0 {
		perStream := float64(time.Second) / float64(e.faults.scale(e.options.TokenInterval))
		load.TokensPerSecond = perStream * float64(load.Running)
	}
	return load
}
