package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/auth"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// ForwardRequest is a caller's HTTP request for a route, as an ingress has decoded it.
type ForwardRequest struct {
	// ID is the caller's own id of this send.
	ID string
	// Key is the workspace key; empty if the request carries none.
	Key    string
	Host   string
	Method string
	// Path is the request's path; Target is the path with its query, as sent.
	Path, Target string
	Header       http.Header
	Body         []byte
	// Timeout is how long the caller waits; 0 if the caller does not state it.
	Timeout time.Duration
	// Model is the requested model; empty for plain services.
	Model string
	// PromptTokens and AnswerTokens are the caller's counts of the prompt and of the longest
	// answer, in tokens; 0 if the caller does not state them.
	PromptTokens, AnswerTokens int
	// SharedParts identifies the parts of the prompt that other requests may have in common, in
	// their order.
	SharedParts []string
	// Resume asks for the events after the event with id ResumeAfter.
	Resume      bool
	ResumeAfter uint64
}

// forwarding is the state that only jobs of forwarded requests have.
type forwarding struct {
	request ForwardRequest
	route   blackboard.Route
	w       http.ResponseWriter
	tokens  int
	// service is the route's service that receives the request.
	service string
	// priority is the workspace's priority.
	priority int
	// begun is set once a part of the answer has been written.
	begun atomic.Bool
	// out writes a stream to the caller; nil until the stream has begun.
	out *streamWriter
	// onWait is called when the stream begins to wait for its caller, and its result when it goes on.
	onWait func() (resume func())
	// writeErr is set once a write to the caller has failed.
	writeErr error
	// handover decides which attempt's events are passed on.
	handover handover
	// resume and last identify the last event that the caller has received. The handover's lock guards
	// them.
	resume     bool
	last       uint64
	firstEvent firstEventRecord
	// backendFailure is the backend server's own error answer. It is passed on if no further
	// attempt is made.
	backendFailure *bufferedAnswer
	// complete is the answer that is not a stream; nil until it has arrived.
	complete *bufferedAnswer
}

// bufferedAnswer is a complete answer that is not written yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *answerBuffer
}

// release releases the memory of an answer; a may be nil.
func (a *bufferedAnswer) release() {
	if a != nil {
		a.body.release()
	}
}

// releaseAnswers releases the memory of the answers that were kept for the caller.
func (f *forwarding) releaseAnswers() {
	f.backendFailure.release()
	f.complete.release()
}

// forwardSequence makes the ids of jobs unique where callers' ids are not.
var forwardSequence atomic.Uint64

// Forward answers a request of a route. It returns a failure if nothing has been written to w.
// It panics with http.ErrAbortHandler if an answer that has begun can't be completed, so that
// no caller takes it for a complete one.
func (s *Server) Forward(ctx context.Context, w http.ResponseWriter, f ForwardRequest) *failure.Error {
	s.awaitConfiguration(ctx)
	j, e := s.resolveForward(f)
	if e == nil {
		j.forward.w = w
		e = s.forward(ctx, j)
	}
	if e == nil {
		return nil
	}
	if j == nil {
		s.logEarlyRefusal(f.ID, e)
	}
	if j != nil && j.forward.begun.Load() {
		// net/http drops what it has buffered. The caller goes on after the events that it has received.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return e
}

// resolveForward finds the route and the workspace of a request and returns its job.
func (s *Server) resolveForward(f ForwardRequest) (*job, *failure.Error) {
	if e := s.mayAdmit(); e != nil {
		return nil, e
	}
	table := s.routing.Load()
	if table == nil {
		return nil, failure.New(failure.TypeUnavailable, "this entry has no configuration yet").
			WithRan(failure.RanNo).WithRetryAfter(noConfigurationRetryAfter)
	}
	route, ok := table.index.Find(f.Host, f.Path)
	if !ok {
		return nil, failure.New(failure.TypeNotFound, "no route for this host and path").WithRan(failure.RanNo)
	}
	workspace, e := s.forwardWorkspace(table, route, f.Key)
	if e != nil {
		return nil, e
	}
	j := s.newForwardJob(table, route, workspace, f)
	if e := s.checkHomes(j.homes); e != nil {
		return nil, e
	}
	return j, nil
}

// noConfigurationRetryAfter is about the time that a restarted process takes to receive its
// first configuration.
const noConfigurationRetryAfter = 500 * time.Millisecond

func (s *Server) forwardWorkspace(table *routingTable, route blackboard.Route, key string) (string, *failure.Error) {
	if route.Public || len(table.config.Workspaces) == 0 {
		return "", nil
	}
	if key != "" {
		if name, ok := s.keys.workspace(s.o.Follower.Board(), auth.KeyHash(key)); ok {
			return name, nil
		}
	}
	return "", failure.New(failure.TypeUnauthenticated, "unknown workspace key").WithRan(failure.RanNo)
}

func (s *Server) newForwardJob(table *routingTable, route blackboard.Route, workspace string, f ForwardRequest) *job {
	now := time.Now()
	wait := time.Duration(route.TimeoutMillis) * time.Millisecond
	if f.Timeout > 0 {
		wait = min(wait, f.Timeout)
	}
	j := &job{
		id:            f.ID + "." + strconv.FormatUint(forwardSequence.Add(1), 36),
		workspace:     workspace,
		class:         route.Name,
		nonIdempotent: !route.Repeatable(),
		maxAttempts:   route.MaxAttempts,
		arrived:       now,
		firstSent:     now.Add(-s.waitEstimates.sentBefore(now, route.Name, f)),
		deadline:      now.Add(wait),
		answer:        newAnswer(),
		lines:         s.requests.Request(),
		forward: &forwarding{
			request: f, route: route, tokens: 1, resume: f.Resume, last: f.ResumeAfter,
			priority: table.config.Workspaces[workspace].Priority,
		},
	}
	j.arrivalConfig = table.config.Revision
	j.sharedParts = promptParts(f.SharedParts)
	j.homes = homesOf(route.Homes, table.config.Workspaces[workspace].Homes)
	service := route.ServiceFor(hashFraction(f.ID))
	j.forward.service = service
	j.model = servicePool(service)
	if engine := table.config.Services[service].Engine; engine != nil {
		j.model = f.Model
		j.forward.tokens = engineTokens(engine, f)
	}
	return j
}

// engineTokens estimates the work of a request for an engine, in tokens.
func engineTokens(e *blackboard.EngineSpec, f ForwardRequest) int {
	prompt, answer := f.PromptTokens, f.AnswerTokens
	if prompt == 0 {
		prompt = e.UsualPrompt
	}
	if answer == 0 {
		answer = e.UsualAnswer
	}
	return max(1, prompt+answer)
}

// contentFingerprint returns the job's fingerprint. That of a forwarded request is computed on
// first use. The request's id, key and other headers differ between two sends of one request and
// are left out.
func (j *job) contentFingerprint() string {
	if j.forward != nil {
		j.fingerprintOnce.Do(func() {
			r := &j.forward.request
			j.fingerprint = fingerprint("route", j.workspace, r.Host, r.Method, r.Target, string(r.Body))
		})
	}
	return j.fingerprint
}

// hashFraction maps an id to [0, 1). A request of a split route gets the same service on every
// entry.
func hashFraction(id string) float64 {
	const bits = 53
	return float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
}

func (s *Server) forward(ctx context.Context, j *job) *failure.Error {
	ctx, j.cancel = context.WithCancelCause(ctx)
	defer j.cancel(nil)
	defer j.cancelAtDeadline()()
	j.ctx = ctx
	defer limitWriteTime(j.forward.w, j)()
	if e := s.checkCrashes(j); e != nil {
		e = withRanState(false, e)
		s.recordMetrics(j, e)
		s.logRefusal(j, e)
		return e
	}
	if _, e := s.beginJob(j); e != nil {
		s.logRefusal(j, e)
		return e
	}
	defer s.work.Done()
	defer s.jobs.end(j)
	defer j.forward.releaseAnswers()
	s.run(j, s.attemptForward)
	if e := j.forward.end(); e != nil {
		return e
	}
	p, _ := j.answer.wait(context.Background(), 0)
	if p.failed == nil {
		return nil
	}
	if errorAnswer := j.forward.backendFailure; errorAnswer != nil && !j.forward.begun.Load() && ctx.Err() == nil {
		j.forward.write(errorAnswer)
		if e := j.forward.end(); e != nil {
			s.logCut(j, s.cutCauseOf(j, e), e)
			return e
		}
		return nil
	}
	return p.failed
}

// end waits until the caller has been sent its complete part of the answer.
func (f *forwarding) end() *failure.Error {
	if f.out != nil {
		f.writeErr = f.out.close()
	}
	if f.writeErr != nil {
		return callerWriteFailure(f.writeErr)
	}
	return nil
}

// hasWriteFailed reports whether the caller could not be written to.
func (f *forwarding) hasWriteFailed() bool {
	return f.writeErr != nil || (f.out != nil && f.out.hasFailed())
}

// write sends a complete answer to the caller. A failure is kept for end.
func (f *forwarding) write(a *bufferedAnswer) {
	copyHeader(f.w.Header(), a.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(a.body.length))
	f.w.WriteHeader(a.status)
	f.begun.Store(true)
	if f.writeErr = a.body.writeTo(f.w); f.writeErr == nil {
		f.writeErr = http.NewResponseController(f.w).Flush()
	}
}

// copyHeader sets the header of a forwarded answer. Without a Content-Type, net/http would
// guess one.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		to["Content-Type"] = nil
	}
}

// streamGap is the longest pause of one stream while other streams of its group make progress.
// Past it, the connection has gone silent or this stream alone was dropped. A request that an
// engine puts back for lack of memory may pause for about a second.
const streamGap = 1200 * time.Millisecond

// classifyRelayError returns the outcome of a failed attempt by what is certain about it.
func (s *Server) classifyRelayError(j *job, g grant, w *watchdog, err error) (outcome, *failure.Error) {
	switch {
	case j.ctx.Err() != nil:
		return outcomeJobEnded, failure.New(failure.TypeBackendFailed, err.Error())
	case w.stalled():
		s.o.Client.RetireConnections(g.route.address)
		return outcomeBroken, failure.New(failure.TypeBackendStalled, "the stream made no progress in time")
	case errors.Is(context.Cause(w.ctx), errServerRestarted):
		return outcomeBroken, failure.New(failure.TypeBackendStalled, errServerRestarted.Error())
	case w.ctx.Err() != nil:
		return outcomeBroken, failure.New(failure.TypeBackendStalled, errGroupLost.Error())
	}
	return s.classifyServiceError(j, err)
}

func (s *Server) forwardCall(j *job, g grant) backend.ForwardCall {
	f := j.forward
	return backend.ForwardCall{
		ID: f.request.ID, Address: g.route.address, Incarnation: g.route.incarnation,
		Method: f.request.Method, Path: f.request.Target, Host: f.request.Host, Header: f.request.Header, Body: f.request.Body,
		Workspace: j.workspace, TimeLeft: time.Until(j.deadline), Rank: engineRank(f.priority, j.deadlinePriority(time.Now())),
		Resume: f.resume, ResumeAfter: f.last, NewConnection: j.nonIdempotent,
		Permit: s.permit(j, g.route), OnRelay: s.onRelay(j, g),
	}
}

// placementLoad converts the load that a backend server reports: the server counts requests,
// placement counts tokens of work.
func (s *Server) placementLoad(j *job, l *backend.ServerLoad) placement.Load {
	tokensPerRequest := 1
	if table := s.routing.Load(); table != nil {
		pool := table.config.Groups[j.model].Pool
		if e := table.config.Services[pool].Engine; e != nil {
			tokensPerRequest = e.UsualTokens()
		}
	}
	return placement.Load{Running: l.Running, Queued: l.Queued, TokensInFlight: (l.Running + l.Queued) * tokensPerRequest, InAnswer: true, At: time.Now()}
}

// checkAnswer finds an answer that must not be passed on; it returns true for one.
//
// A backend server may send a late answer to an earlier request, or bytes without a valid
// proof. Passed on, the caller would get another caller's answer. The request id that the
// backend server echoes and its proof tell such answers apart.
func (j *job) checkAnswer(m *memoryBudget, a *backend.ForwardAnswer) (outcome, *failure.Error, bool) {
	switch {
	case a.IsOtherRequest:
		return outcomeInvalid, failure.New(failure.TypeBackendFailed, "the backend server sent another request's answer"), true
	case a.NotRun:
		e := failure.New(failure.TypeOverloaded, "the backend server did not take the request, status "+strconv.Itoa(a.Status))
		return outcomeRejected, e.WithRetryAfter(time.Second), true
	case a.Status < http.StatusMultipleChoices && !a.Proven:
		return outcomeInvalid, failure.New(failure.TypeBackendFailed, "the answer carries no valid proof of the backend server"), true
	case j.hasBegun() && a.Status != http.StatusOK:
		return outcomeBroken, failure.New(failure.TypeBackendFailed, "the backend server answered "+strconv.Itoa(a.Status)+" for the rest of a stream"), true
	case a.Status >= http.StatusInternalServerError:
		return j.bufferFailure(m, a)
	}
	return outcomeComplete, nil, false
}

// bufferFailure keeps the backend server's own error answer for when no further attempt is
// made. One that is cut or beyond its bounds is not kept.
func (j *job) bufferFailure(m *memoryBudget, a *backend.ForwardAnswer) (outcome, *failure.Error, bool) {
	e := failure.New(failure.TypeBackendFailed, "the backend server answered "+strconv.Itoa(a.Status))
	body, err := j.readFailure(m, a)
	if err != nil {
		return j.outcomeOf(err), e.WithDetail(err.Error()), true
	}
	j.forward.backendFailure.release()
	j.forward.backendFailure = &bufferedAnswer{status: a.Status, header: backend.EndToEnd(a.Header), body: body}
	return outcomeBroken, e, true
}
