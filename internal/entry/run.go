package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/admission"
	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/placement"
)

// maxAttempts limits the attempts of one request. Each attempt resumes where the last one
// ended. A request that fails four times on different groups is more likely the cause than the
// groups are.
const maxAttempts = 4

// errNoCallersLeft ends a job whose callers have all disconnected.
const errNoCallersLeft = errors.ConstError("all callers have disconnected")

// runCompletion runs one job to its end. It runs on its own goroutine, so that a caller that
// disconnects does not cut off a resend that has attached.
func (s *Server) runCompletion(j *job) {
	s.run(j, s.attemptCompletion)
}

// attemptFunc makes one attempt and returns how it ended.
type attemptFunc func(j *job, g grant) (outcome, *failure.Error)

func (s *Server) run(j *job, attempt attemptFunc) {
	if e := s.claim(j); e != nil || j.replayed {
		s.finish(j, e, false)
		return
	}
	if done, e := s.answeredByHolder(j); done || e != nil {
		s.finish(j, e, false)
		return
	}
	g, e := s.admitUnlessRefused(j)
	defer s.returnGrant(j, false)
	j.queued = time.Since(j.arrived)
	if e != nil {
		s.finish(j, withRanState(j.begun, e), false)
		return
	}
	began := time.Now()
	e = s.runAttempts(j, g, attempt)
	if e == nil {
		s.noteAnswered(j)
	}
	s.dispatcher.jobEnded(admission.Outcome{
		ID: j.id, Answered: e == nil, Tokens: j.tokens(), Took: time.Since(began),
	})
	if e == nil {
		e = j.awaitDelivery()
	}
	s.finish(j, e, e != nil && e.Ran != failure.RanNo)
}

// awaitDelivery waits until the caller of a forwarded request has been sent its answer, and returns
// the failure of one that could not be written.
func (j *job) awaitDelivery() *failure.Error {
	if j.forward == nil {
		return nil
	}
	e := j.forward.end()
	if e != nil {
		j.cancel(errNoCallersLeft)
	}
	return e
}

// runAttempts makes attempts until one gives the complete answer or no further one may be made.
func (s *Server) runAttempts(j *job, g grant, attempt attemptFunc) *failure.Error {
	j.suspect = s.mayIsolate(j) && s.suspectOf(j).IsSuspected()
	begun := j.begun
	for {
		if j.replacement == nil {
			prepared, e := s.prepareAttempt(j, g, begun)
			if e != nil {
				return e
			}
			g = prepared
		}
		if s.rateLimits.isLimited(g.route.incarnation) {
			s.o.Metrics.RateLimitedAttempt()
		}
		j.isAlone = g.endTurn != nil
		j.lastTarget = g.route.target
		out, e := attempt(j, g)
		s.returnGrant(j, out != outcomeWithheld)
		j.mayHaveRun = j.mayHaveRun || out.mayHaveRun() || out == outcomeComplete
		if out == outcomeWithheld {
			s.noteWithheld(j, g)
		}
		s.o.Metrics.Attempt(out.name(e))
		stop := s.afterAttempt(j, g, out, e, j.sentAt)
		switch out {
		case outcomeComplete:
			return nil
		case outcomeJobEnded:
			return jobEndedFailure(j)
		case outcomeCut, outcomeInvalid, outcomeUnreadable, outcomeBroken:
			begun = true
		}
		if stop != nil {
			s.dropReplacement(j)
			return withRanState(begun, stop)
		}
		j.tried = append(j.tried, g.route.target)
		next, e := s.nextGrant(j)
		if e != nil {
			return withRanState(begun, e)
		}
		g = next
	}
}

// nextTargetBy returns until when a further attempt waits for a target. An answer that has begun waits
// as long as its caller does, as giving up would cut it.
func (j *job) nextTargetBy(now time.Time) time.Time {
	if j.hasBegun() {
		return j.deadline
	}
	return earlier(j.deadline, now.Add(failoverWait))
}

// afterAttempt processes the result of an attempt that was sent at the time sent. It returns the
// final failure if no other attempt may be made.
func (s *Server) afterAttempt(j *job, g grant, out outcome, e *failure.Error, sent time.Time) *failure.Error {
	defer g.end()
	switch out {
	case outcomeComplete:
		return nil
	case outcomeJobEnded:
		s.observeEnded(j, g.route, g.endTurn != nil, sent, false)
		return nil
	case outcomeInvalid, outcomeUnreadable:
		s.observeEnded(j, g.route, g.endTurn != nil, sent, true)
	case outcomeBroken:
		if isStalled(e) {
			s.observeEnded(j, g.route, g.endTurn != nil, sent, false)
		}
	case outcomeCut:
		if stop := s.afterCut(j, g, sent); stop != nil {
			return stop
		}
	}
	return s.mayRetry(j, out, e)
}

// afterCut processes an attempt whose target closed the connection early. It refuses a request
// that crashed the target, if that is attributed to it. The next attempt of a request with an
// objective does not wait for the verdict, and the answer of a non-idempotent request is final
// without one.
func (s *Server) afterCut(j *job, g grant, sent time.Time) *failure.Error {
	isAlone := g.endTurn != nil
	check := s.observeCut(j, g.route, isAlone, sent)
	switch {
	case j.retryGranted != "":
		return s.refuseForCrash(j)
	case j.nonIdempotent || !s.mayIsolate(j):
		return nil
	case s.isRefused(time.Now(), j, s.awaitCrashCounts(j, check)):
		return s.refuseForCrash(j)
	}
	return nil
}

// refuseForCrash returns the final failure of a job whose own request has crashed its backend server.
func (s *Server) refuseForCrash(j *job) *failure.Error {
	j.refusedFor = s.suspectOf(j)
	return crashRefusal(j.refusedFor)
}

// withRanState makes a refusal state what is known of all attempts so far, whatever the last
// one reported: RanNo only if none of them may have run.
func withRanState(begun bool, e *failure.Error) *failure.Error {
	if begun {
		return e.WithRan(failure.RanUnknown)
	}
	return e.WithRan(failure.RanNo)
}

func jobEndedFailure(j *job) *failure.Error {
	e := failure.New(failure.TypeDeadlineExceeded, "the deadline passed before the answer was complete")
	cause := context.Cause(j.ctx)
	if errors.Is(cause, errEntryStopping) {
		return stoppingRefusal().WithRan(failure.RanUnknown)
	}
	if errors.Is(cause, errNoCallersLeft) || errors.Is(cause, context.Canceled) {
		e = failure.New(failure.TypeUnavailable, "all callers have disconnected")
	}
	return e.WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
}

// mayRetry returns the final failure if no other attempt may be made.
//
// The retry budget limits the load after an outage. Without it, each failed attempt would cause
// more attempts just when capacity is lowest.
func (s *Server) mayRetry(j *job, out outcome, e *failure.Error) *failure.Error {
	if out.mayHaveRun() && j.nonIdempotent {
		j.noFurtherAttempt = cutNotRepeatable
		return failure.New(failure.TypeOutcomeUnknown, "the request was dispatched and its outcome is unknown: "+e.Message)
	}
	if j.replacement != nil {
		return nil
	}
	if j.attempts-j.withheld >= j.attemptLimit() {
		j.noFurtherAttempt = cutAttemptsUsed
		return e.WithRetryAfter(s.dispatcher.retryAfter(j))
	}
	if out == outcomeUnreadable && !j.isCompletion() && !j.hasBegun() && !s.dispatcher.hasUntriedTarget(j) {
		j.noFurtherAttempt = cutNoBackendServer
		return e.WithDetail("no further attempt: no other backend server").WithRetryAfter(s.dispatcher.retryAfter(j))
	}
	if (out.mayHaveRun() || out == outcomeRejected) && !j.isNextPaid && !s.takeRetry(j) {
		j.noFurtherAttempt = cutRetryBudget
		return e.WithDetail("no further attempt: the retry budget of " + j.retryBudget() + " is spent").WithRetryAfter(s.dispatcher.retryAfter(j))
	}
	return nil
}

// isCompletion reports whether the job is a completion of the entry's own API. Its next attempt, also on the same group,
// goes on after the tokens that it has, so that a single bad message ends nothing.
func (j *job) isCompletion() bool { return j.forward == nil && j.service == nil }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayDispatch refuses while the configuration lease has expired, unless the settings allow
// serving under the last known configuration.
//
// It is called right before each dispatch and not only at admission: since then a request may
// have waited, or this process may have been frozen.
func (s *Server) mayDispatch() *failure.Error {
	if s.o.Follower.LeaseRemaining() > 0 {
		return nil
	}
	if s.o.Settings.ServeWithoutLease && s.o.Follower.Board().Config.Revision > 0 {
		return nil
	}
	return failure.New(failure.TypeConfigurationStale,
		"this entry has lost contact with the control processes and admits no requests").
		WithRan(failure.RanNo).WithRetryAfter(staleRetryAfter)
}

// staleRetryAfter is about the time of an election. The platform's load balancer removes an
// entry that stays stale.
const staleRetryAfter = 2 * time.Second

// attemptCompletion makes one attempt of a completion.
func (s *Server) attemptCompletion(j *job, g grant) (outcome, *failure.Error) {
	w := prepareWatchdog(j.ctx, s.progressTimeouts())
	defer w.stop()
	next := s.newNextAttempt(j, g)
	w.mayEnd = next.mayReplace
	w.start()
	defer s.openServers.attach(g.route.process(), w)()
	defer next.settle()
	began := time.Now()
	result := placement.Result{}
	out, e := s.streamTokens(w, j, g, &result, began)
	result.OK = out == outcomeComplete
	result.Cancelled = out == outcomeJobEnded || out == outcomeWithheld
	result.Duration = time.Since(began)
	j.noteUnreadable(&result, out, false)
	s.endAttempt(j, g, result)
	if out != outcomeComplete {
		s.abandonAttempt(j, g, out, w.stalled(), e)
	}
	return out, e
}

// abandonAttempt asks the engine to stop an attempt whose answer nobody will read, and retires
// connections that have gone silent.
func (s *Server) abandonAttempt(j *job, g grant, out outcome, stalled bool, e *failure.Error) {
	if stalled {
		s.o.Client.RetireConnections(g.route.address)
	}
	if out != outcomeNotStarted && out != outcomeWithheld {
		go s.cancelAttempt(g)
	}
	text := ""
	if e != nil {
		text = e.Error()
	}
	j.lines.Info("event", "attempt_ended", "request", j.id, "attempt", g.attempt,
		"target", g.route.target, "outcome", out.name(e), "err", text)
}

// cancelTimeout is the time limit of the call that cancels an attempt.
const cancelTimeout = 2 * time.Second

func (s *Server) cancelAttempt(g grant) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// An engine that is gone needs no cancel. Late tokens of an engine that does not stop are
	// recognised by the attempt's id.
	_ = s.o.Client.Cancel(ctx, g.route.address, g.attempt)
}

// streamTokens reads the tokens of one attempt into the answer.
//
// It guards against answers that are late, mixed up, duplicated or cut. Each token must carry
// this attempt's id and follow the one before, and only the end mark with the right count makes
// the answer complete. Tokens that fail the check are never passed on.
func (s *Server) streamTokens(w *watchdog, j *job, g grant, result *placement.Result, began time.Time) (outcome, *failure.Error) {
	stream, err := s.o.Client.Generate(w.ctx, g.route.address, s.generation(j, g))
	if err != nil {
		s.observeRefusal(g.route, err, began)
		return s.classifyCallError(j, w, err)
	}
	defer func() { _ = stream.Close() }()
	s.observeNotice(g.route, stream.Notice(), true, began)
	w.headerReceived()
	first := true
	for {
		token, err := stream.Next()
		if err != nil {
			return s.classifyCallError(j, w, err)
		}
		w.progress(!token.KeepAlive && !token.End)
		if token.KeepAlive {
			continue
		}
		if e := checkToken(token, g.attempt, j); e != nil {
			return outcomeInvalid, e
		}
		if token.End {
			result.Tokens = token.Total
			j.finish = token.FinishReason
			return outcomeComplete, nil
		}
		if first {
			result.FirstToken = time.Since(began)
			j.noteFirstToken()
			first = false
		}
		j.answer.append(token.Text)
		s.dispatcher.progress(g.attempt, 1)
	}
}

func (s *Server) generation(j *job, g grant) backend.Generation {
	return backend.Generation{
		Attempt: g.attempt, Request: j.id, Group: g.route.group, Epoch: g.route.epoch, Model: j.model,
		Prompt: j.prompt, MaxTokens: j.maxTokens, Offset: j.answer.length(), Generated: j.answer.text(),
		Priority: s.priority(j), Parameters: j.extra, Permit: s.permit(j, g.route),
		OnRelay: s.onRelay(j, g),
	}
}

// noteFirstToken records the time of the answer's first token.
func (j *job) noteFirstToken() {
	if j.firstToken == 0 {
		j.firstToken = time.Since(j.arrived)
	}
}

// maxAnswerBytes is the longest text of one answer. It is far above the size of a million
// tokens in any language, and too small to exhaust an entry's memory.
const maxAnswerBytes = 16 << 20

// checkToken refuses a token that is not the next one of this answer. It also stops a backend
// server whose answer exceeds the requested length.
func checkToken(t backend.Token, attempt string, j *job) *failure.Error {
	length := j.answer.length()
	if !t.End && j.exceedsLength(t.Text) {
		return failure.New(failure.TypeBackendFailed, "the answer exceeds the requested length")
	}
	if t.Attempt != attempt {
		return failure.New(failure.TypeBackendFailed, "the backend server sent another attempt's answer")
	}
	if t.End && t.Total != length {
		return failure.New(failure.TypeBackendFailed, "the answer's end mark does not match its length")
	}
	if !t.End && t.Offset != length {
		return failure.New(failure.TypeBackendFailed, "the answer has a gap or a duplicate token")
	}
	return nil
}

// classifyCallError returns the outcome of a failed call by what is certain about it.
func (s *Server) classifyCallError(j *job, w *watchdog, err error) (outcome, *failure.Error) {
	if j.ctx.Err() != nil {
		return outcomeJobEnded, nil
	}
	switch {
	case w.stalled():
		return outcomeBroken, failure.New(failure.TypeBackendStalled, "the backend server made no progress in time")
	case errors.Is(context.Cause(w.ctx), errServerRestarted):
		return outcomeBroken, failure.New(failure.TypeBackendStalled, errServerRestarted.Error())
	}
	return j.outcomeOf(err), failure.New(failure.TypeBackendFailed, err.Error())
}
