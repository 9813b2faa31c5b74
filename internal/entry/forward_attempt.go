package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// forwardAttempt is one attempt of a forwarded request.
type forwardAttempt struct {
	grant grant
	began time.Time
	call  backend.ForwardCall
	w     *watchdog
	// next decides about the attempt after this one.
	next *nextAttempt
	// sent is what was known of the request when the attempt began.
	sent sendRecord
	// leaveGroup and leaveServer end the attempt's attachments to its group and its backend server.
	leaveGroup, leaveServer func()
	// replacing is locked while another attempt is opened in place of this one.
	replacing sync.Mutex

	// opened is closed once the fields below are set.
	opened chan struct{}
	// answer is the accepted head of the answer; nil if the attempt has failed, which outcome and failure describe.
	answer  *backend.ForwardAnswer
	outcome outcome
	failure *failure.Error
	// isEndless is set if the answer kept arriving until the deadline.
	isEndless bool

	// isTaken is set once the attempt is the job's current one, isDropped once it is not needed any more. The
	// handover's lock guards both.
	isTaken, isDropped bool
}

// newForwardAttempt returns an attempt that is not sent yet. next decides about the one after it.
func (s *Server) newForwardAttempt(j *job, g grant, next *nextAttempt) *forwardAttempt {
	left := time.Until(j.deadline)
	a := &forwardAttempt{
		grant: g, began: time.Now(), call: s.forwardCall(j, g), next: next, sent: j.sendRecord,
		w:      prepareWatchdog(j.ctx, progressTimeouts{header: left, firstToken: left, gap: streamGap}),
		opened: make(chan struct{}),
	}
	a.w.mayEnd = func() bool { return s.mayEnd(j, a) }
	a.w.start()
	return a
}

// attach makes the attempt end with its group and its backend server, from the moment on at which the handover knows it.
func (s *Server) attach(a *forwardAttempt) {
	route := a.grant.route
	a.leaveServer = s.openServers.attach(route.process(), a.w)
	a.leaveGroup = func() {}
	if route.progress != nil {
		a.leaveGroup = route.progress.attach(a.w)
	}
}

// open sends the attempt and waits for the head of its answer. The handover must know the attempt.
func (s *Server) open(j *job, a *forwardAttempt) {
	defer close(a.opened)
	s.attach(a)
	answer, err := s.o.Forwarder.Forward(a.w.ctx, a.call)
	if err != nil {
		a.outcome, a.failure = s.classifyRelayError(j, a.grant, a.w, err)
		a.isEndless = j.isEndless(time.Now(), a.began, err)
		return
	}
	answer.Body = readCounter{ReadCloser: answer.Body, w: a.w}
	if answer.Load != nil {
		s.dispatcher.reportAnswer(time.Now(), a.grant.route, s.placementLoad(j, answer.Load), s.groupLimit(a.grant.route.pool))
	}
	s.observeForwarded(a.grant.route, answer, a.began)
	if out, e, isInvalid := j.checkAnswer(s.memory, answer); isInvalid {
		_ = answer.Body.Close()
		a.outcome, a.failure = out, e
		return
	}
	a.answer = answer
}

// close ends the attempt's call. The attempt must have been opened.
func (a *forwardAttempt) close() {
	a.leaveGroup()
	a.leaveServer()
	a.w.stop()
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
}

// attemptForward makes one attempt of a forwarded request, or goes on with one that has been sent already.
func (s *Server) attemptForward(j *job, g grant) (outcome, *failure.Error) {
	a := s.currentAttempt(j, g)
	result := placement.Result{Tokens: 1}
	out, e := s.relayAttempt(j, a, &result)
	s.settle(j, a, out)
	a.close()
	result.OK = out == outcomeComplete
	result.Cancelled = out == outcomeJobEnded || out == outcomeWithheld
	s.endForwardAttempt(j, a, out, e, result)
	return out, e
}

// currentAttempt returns the job's next attempt, opened.
func (s *Server) currentAttempt(j *job, g grant) *forwardAttempt {
	if a := j.replacement; a != nil {
		j.replacement, j.sendRecord = nil, a.sent
		<-a.opened
		return a
	}
	a := s.newForwardAttempt(j, g, s.newNextAttempt(j, g))
	j.forward.handover.begin(a)
	s.open(j, a)
	return a
}

// endForwardAttempt tells placement and the log that an attempt has ended.
func (s *Server) endForwardAttempt(j *job, a *forwardAttempt, out outcome, e *failure.Error, result placement.Result) {
	result.Duration = time.Since(a.began)
	j.noteUnreadable(&result, out, a.isEndless)
	s.endAttempt(j, a.grant, result)
	if out == outcomeComplete {
		return
	}
	text := ""
	if e != nil {
		text = e.Error()
	}
	j.lines.Info("event", "attempt_ended", "request", j.id, "attempt", a.grant.attempt,
		"target", a.grant.route.target, "outcome", out.name(e), "endless", a.isEndless, "err", text)
}

// relayAttempt passes on the answer of an attempt that has been opened.
func (s *Server) relayAttempt(j *job, a *forwardAttempt, result *placement.Result) (outcome, *failure.Error) {
	switch {
	case a.answer == nil:
		return a.outcome, a.failure
	case j.forward.route.Kind == blackboard.RouteStreaming && a.answer.Status == http.StatusOK:
		return s.relayEvents(j, a, result)
	}
	return s.relayAnswer(j, a)
}
