package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
	"github.com/citronstep/citronstep/internal/record"
)

// maxServiceAnswer is the longest answer of a plain service, in bytes. The entry holds the
// complete answer before any of it goes to the caller, so that a cut answer is never passed on.
const maxServiceAnswer = 8 << 20

// servicePool returns the pool name of a plain service in placement, which differs from all
// models' names.
func servicePool(name string) string { return "service:" + name }

// serviceCall is the state that only jobs of plain services have.
type serviceCall struct {
	call   backend.ServiceCall
	status int
	header http.Header
	body   []byte
	// reserved is the part of the entry's memory budget that body uses until the call is over, in bytes.
	reserved int
	// isEndless is set if the last attempt's answer kept arriving until the deadline.
	isEndless bool
}

// headerForService returns a caller's header as a plain service receives it. The workspace's
// key is meant for the entry and is removed.
func headerForService(h http.Header) http.Header {
	out := backend.EndToEnd(h)
	out.Del("Authorization")
	return out
}

// isIdempotentMethod reports whether HTTP defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// serveService handles a call to a plain service.
func (s *Server) serveService(c echo.Context) error {
	j, e := s.parseCall(c)
	if e != nil {
		return s.refuseEarly(c, e)
	}
	return s.answerService(c, j)
}

// parseCall reads and checks a call. A POST or PATCH counts as non-idempotent unless the caller
// states otherwise.
func (s *Server) parseCall(c echo.Context) (*job, *failure.Error) {
	r := c.Request()
	s.awaitConfiguration(r.Context())
	board := s.o.Follower.Board()
	j, e := s.newJob(r, board)
	if e != nil {
		return nil, e
	}
	c.Response().Header().Set(HeaderRequestID, j.id)
	name := c.Param("name")
	if !servesService(board.Services, name) {
		return nil, failure.New(failure.TypeUnknownService, "no instance of this service has announced itself").
			WithDetail(name).WithRan(failure.RanNo)
	}
	body, e := s.readBody(c)
	if e != nil {
		return nil, e
	}
	if r.Header.Get(HeaderNonIdempotent) == "" {
		j.nonIdempotent = !isIdempotentMethod(r.Method)
	}
	j.model = servicePool(name)
	j.maxTokens = 1
	j.service = &serviceCall{call: backend.ServiceCall{
		Method: r.Method, Path: servicePath(r, name), Header: headerForService(r.Header), Body: body,
	}}
	j.fingerprint = fingerprint("service", name, r.Method, j.service.call.Path, string(body))
	return j, nil
}

// servicePath returns the part of the path after /services/NAME, with the query.
func servicePath(r *http.Request, name string) string {
	path := strings.TrimPrefix(r.URL.RequestURI(), "/services/"+name)
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return path
}

func (s *Server) answerService(c echo.Context, j *job) error {
	return s.withJob(c, j, s.runService, func(ctx context.Context, running *job) error {
		_, p, err := running.answer.awaitComplete(ctx)
		if err != nil {
			return s.callerWaitEnded(ctx, running)
		}
		if p.failed != nil {
			return p.failed
		}
		if err := running.service.write(c); err != nil {
			s.logCut(running, s.writeCutCause(), callerWriteFailure(err))
		}
		return nil
	})
}

func (sc *serviceCall) write(c echo.Context) error {
	h := c.Response().Header()
	for name, values := range sc.header {
		h[name] = values
	}
	c.Response().WriteHeader(sc.status)
	_, err := c.Response().Write(sc.body)
	return errors.Trace(err)
}

func (sc *serviceCall) recorded() *record.Answer {
	return &record.Answer{Status: sc.status, Header: sc.header, Body: sc.body}
}

func (sc *serviceCall) replay(a record.Answer) {
	sc.status, sc.body = a.Status, a.Body
	sc.header = a.Header
}

func (s *Server) runService(j *job) {
	defer func() { s.memory.release(j.service.reserved) }()
	s.run(j, s.attemptService)
}

// attemptService makes one call. The response header arrives only after the service's work, so
// only the job's deadline limits the wait for it.
func (s *Server) attemptService(j *job, g grant) (outcome, *failure.Error) {
	began := time.Now()
	out, e := s.call(j, g)
	result := placement.Result{
		OK: out == outcomeComplete, Cancelled: out == outcomeJobEnded || out == outcomeWithheld, Duration: time.Since(began), FirstToken: time.Since(began), Tokens: 1,
	}
	j.noteUnreadable(&result, out, j.service.isEndless)
	s.endAttempt(j, g, result)
	return out, e
}

func (s *Server) call(j *job, g grant) (outcome, *failure.Error) {
	sc := j.service
	sc.call.Attempt = g.attempt
	sc.call.NewConnection = j.nonIdempotent
	sc.call.Permit = s.permit(j, g.route)
	sc.call.RequestID, sc.call.OnRelay = j.id, s.onRelay(j, g)
	began := time.Now()
	answer, err := s.o.Client.Call(j.ctx, g.route.address, sc.call)
	if err != nil {
		s.observeRefusal(g.route, err, began)
		sc.isEndless = j.isEndless(time.Now(), began, err)
		return s.classifyServiceError(j, err)
	}
	defer func() { _ = answer.Body.Close() }()
	s.observeNotice(g.route, answer.Notice, true, began)
	body, err := readAnswer(j.ctx, s.memory, answer.Body, bodyLength(sc.call.Method, answer.Length), maxServiceAnswer)
	if err != nil {
		sc.isEndless = j.isEndless(time.Now(), began, err)
		return s.classifyServiceError(j, err)
	}
	sc.status, sc.header = answer.Status, backend.EndToEnd(answer.Header)
	sc.keep(s.memory, body)
	return outcomeComplete, nil
}

// keep takes over the body of an answer, in one piece.
func (sc *serviceCall) keep(m *memoryBudget, body *answerBuffer) {
	defer body.release()
	m.forceReserve(body.length)
	sc.body, sc.reserved = body.bytes(), body.length
}

func (s *Server) classifyServiceError(j *job, err error) (outcome, *failure.Error) {
	if j.ctx.Err() != nil {
		return outcomeJobEnded, nil
	}
	return j.outcomeOf(err), failure.New(failure.TypeBackendFailed, err.Error())
}
