package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
)

// Service is a stand-in for one instance of a plain service.
type Service struct {
	*host
	options ServiceOptions
	slots   chan struct{}
	load    *loadReport

	mu      sync.Mutex
	runs    map[string]int
	running atomic.Int64
}

// ServiceEcho is the body of a plain service's response.
type ServiceEcho struct {
	Service  string `json:"service"`
	Instance string `json:"instance"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// BodyHash is the BodyHash of the call's body.
	BodyHash string `json:"body_hash"`
	// Run is the number of times that this instance has run a call with this body.
	Run int `json:"run"`
}

// BodyHash returns the hash under which a plain service records a call's body.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// StartService starts a plain service, which serves and announces itself until
// Close.
func StartService(ctx context.Context, o ServiceOptions) (*Service, error) {
	o = o.withDefaults()
	s := &Service{
		options: o,
		slots:   make(chan struct{}, o.Slots),
		load:    &loadReport{lag: o.LoadLag},
		runs:    map[string]int{},
	}
	s.host = newHost(ctx, o.Common, s.routes())
	s.onStart = func(*incarnation) {}
	s.newAnnouncement = s.announce
	if err := s.start(); err != nil {
		s.cancel()
		return nil, errors.Trace(err)
	}
	return s, nil
}

func (s *Service) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, r *http.Request) { s.serveRuns(w, r) })
	mux.HandleFunc("GET "+PathArrivals, func(w http.ResponseWriter, r *http.Request) { s.serveArrivals(w, r) })
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) { s.serveFaults(w, r) })
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) announce(*incarnation) *backend.Announcement {
	running := int(s.running.Load())
	return &backend.Announcement{
		Kind:    backend.KindService,
		Service: s.options.Name,
		Load:    s.load.report(time.Now(), backend.Load{Running: running, Capacity: s.options.Slots}),
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
	if err != nil {
		refuseCall(w, http.StatusBadRequest)
		return
	}
	if !s.authorised(r) {
		refuseCall(w, http.StatusUnauthorized)
		return
	}
	if s.faults.receive(w.Header(), s.Incarnation(), r.Header.Get(backend.HeaderAttempt)) || s.faults.get().FullQueue || !s.enter() {
		refuseCall(w, http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.runCall(w, r, body)
}

func (s *Service) enter() bool {
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	default:
		return false
	}
}

func (s *Service) leave() {
	<-s.slots
	s.running.Add(-1)
}

func (s *Service) runCall(w http.ResponseWriter, r *http.Request, body []byte) {
	hash := BodyHash(body)
	number := s.common.Recorder.begin(Run{
		Server: s.common.ID, Incarnation: s.Incarnation(), Attempt: r.Header.Get(backend.HeaderAttempt),
		Work: hash, Method: r.Method, Path: r.URL.RequestURI(),
	})
	if s.faults.crashes(string(body)) {
		s.common.Recorder.end(number, 0, OutcomeCrashed)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	if s.faults.answerRaw(w) {
		s.common.Recorder.end(number, 0, OutcomeFinished)
		return
	}
	fault := s.faults.takeStream(string(body))
	finished := s.simulateWork(r.Context(), fault)
	if !finished {
		s.common.Recorder.end(number, 0, OutcomeCut)
		panic(http.ErrAbortHandler)
	}
	s.common.Recorder.end(number, 0, OutcomeFinished)
	s.reply(w, r, hash, fault)
}

// simulateWork waits for the duration of the call. It returns false if ctx ends first.
func (s *Service) simulateWork(ctx context.Context, fault StreamFaults) bool {
	wait := s.faults.scale(s.options.CallTime)
	if fault.Kind == StreamLate {
		wait += time.Duration(fault.DelayMillis) * time.Millisecond
	}
	if fault.Kind == StreamStalled {
		<-ctx.Done()
		return false
	}
	return sleep(ctx, wait)
}

func (s *Service) reply(w http.ResponseWriter, r *http.Request, hash string, fault StreamFaults) {
	echo := ServiceEcho{
		Service: s.options.Name, Instance: s.common.ID, Method: r.Method, Path: r.URL.RequestURI(),
		BodyHash: hash, Run: s.count(hash),
	}
	answer, err := json.Marshal(echo)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault.Kind == StreamCut {
		_, _ = w.Write(answer[:min(fault.After, len(answer)-1)])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

func (s *Service) count(hash string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[hash]++
	return s.runs[hash]
}

// refuseCall sends a response that states that the call was not started.
func refuseCall(w http.ResponseWriter, status int) {
	w.Header().Set(backend.HeaderStarted, backend.StartedNo)
	http.Error(w, "call not started", status)
}
