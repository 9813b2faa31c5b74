package entry

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/httphead"
	"github.com/citronstep/citronstep/internal/placement"
)

const (
	// maxFailureAnswer is the longest body of a failure that is passed on, in bytes.
	maxFailureAnswer = 64 << 10
	// failureAnswerTime is how long the body of a failure is awaited. Its request is sent elsewhere after that,
	// so that no answer is lost by it.
	failureAnswerTime = 500 * time.Millisecond
)

// errFailureTooSlow is returned for a failure whose body takes longer than failureAnswerTime.
const errFailureTooSlow = errors.ConstError("the failure's body did not arrive in time")

// readFailure reads the body of a failure within maxFailureAnswer and failureAnswerTime.
func (j *job) readFailure(m *memoryBudget, a *backend.ForwardAnswer) (*answerBuffer, error) {
	var isLate atomic.Bool
	timer := time.AfterFunc(failureAnswerTime, func() {
		isLate.Store(true)
		_ = a.Body.Close()
	})
	defer timer.Stop()
	body, err := readAnswer(j.ctx, m, a.Body, bodyLength(j.forward.request.Method, a.Length), maxFailureAnswer)
	if err != nil && isLate.Load() {
		return nil, errors.Trace(errFailureTooSlow)
	}
	return body, err
}

// relayAnswer passes on an answer that is not a stream once it is complete.
func (s *Server) relayAnswer(j *job, attempt *forwardAttempt) (outcome, *failure.Error) {
	a := attempt.answer
	body, err := readAnswer(j.ctx, s.memory, a.Body, bodyLength(j.forward.request.Method, a.Length), maxServiceAnswer)
	if err != nil {
		attempt.isEndless = j.isEndless(time.Now(), attempt.began, err)
		return s.classifyServiceError(j, err)
	}
	j.noteFirstToken()
	j.provesParts = provesAnswer(a)
	j.forward.complete = &bufferedAnswer{status: a.Status, header: backend.EndToEnd(a.Header), body: body}
	j.forward.write(j.forward.complete)
	return outcomeComplete, nil
}

// relayEvents passes on a stream event by event. Only complete events are passed on, in
// increasing order of their ids, so that another run can resume after the last one.
func (s *Server) relayEvents(j *job, a *forwardAttempt, result *placement.Result) (outcome, *failure.Error) {
	events, pace := newEventReader(a.answer.Body, s.memory), eventPace{lastEvent: time.Now()}
	defer events.release()
	w, progress := a.w, a.grant.route.progress
	j.forward.onWait = func() func() { return waitForCaller(w, progress) }
	for {
		e, err := events.next()
		// A stream that has begun and whose events are all there is complete, whatever its trailer: that is not passed on.
		if err == io.EOF || (errors.Is(err, httphead.ErrTrailer) && j.hasBegun()) {
			j.forward.writeHead(s.memory, a.answer)
			j.provesParts = provesAnswer(a.answer) && w.hasBegun.Load()
			return outcomeComplete, nil
		}
		if err != nil {
			return s.classifyRelayError(j, a.grant, w, err)
		}
		if pace.isProgress(time.Now(), e) {
			if !w.hasBegun.Load() {
				result.FirstToken = time.Since(a.began)
				j.noteFirstToken()
				s.recordFirstEvent(j, a.grant, result.FirstToken, a.answer.Load)
				if progress != nil {
					defer progress.ended()
				}
			}
			s.recordProgress(a.grant, w)
		} else if progress != nil && w.hasBegun.Load() {
			progress.event(time.Now(), false)
		}
		err = j.relayEvent(s.memory, a.answer, e, events.isDrained())
		if errors.Is(err, errTakenOver) {
			return outcomeBroken, failure.New(failure.TypeBackendStalled, err.Error())
		}
		if err != nil {
			j.cancel(errNoCallersLeft)
			return outcomeJobEnded, nil
		}
	}
}

// recordProgress records an event of an attempt.
func (s *Server) recordProgress(g grant, w *watchdog) {
	first := !w.hasBegun.Load()
	w.progress(true)
	if g.route.progress != nil {
		g.route.progress.event(time.Now(), first)
	}
	s.dispatcher.progress(g.attempt, 1)
}

// keepAliveTime is how long comments alone count as progress of a stream.
const keepAliveTime = 10 * time.Second

// eventPace tells what counts as progress of a stream.
type eventPace struct{ lastEvent time.Time }

// isProgress reports whether a part of the stream counts as progress of its attempt. Its group is alive in any case.
//
// Failure: a server that has lost a run sends comments for it for ever. The stream looks alive, and no other
// run takes its place.
func (p *eventPace) isProgress(now time.Time, e event) bool {
	if e.hasFields {
		p.lastEvent = now
	}
	return now.Sub(p.lastEvent) <= keepAliveTime
}

// waitForCaller stops counting a stream as one that should make progress while it waits for its caller to
// read. The returned function undoes that.
//
// Failure: the buffer of a slow caller is full, so that its stream is not read. It looks silent, and its group is
// reported as stalled.
func waitForCaller(w *watchdog, progress *groupProgress) (resume func()) {
	w.isPaused.Store(true)
	if progress != nil {
		progress.ended()
	}
	return func() {
		w.isPaused.Store(false)
		w.progress(true)
		if progress != nil {
			progress.readAgain(time.Now())
		}
	}
}

// writeHead writes the status and header of the stream's first run.
func (f *forwarding) writeHead(m *memoryBudget, a *backend.ForwardAnswer) {
	if f.begun.Load() {
		return
	}
	f.begun.Store(true)
	copyHeader(f.w.Header(), backend.EndToEnd(a.Header))
	f.w.WriteHeader(a.Status)
	f.out = newStreamWriter(f.w, m)
}

// relayEvent passes one event on, unless the caller has received it already.
func (j *job) relayEvent(m *memoryBudget, a *backend.ForwardAnswer, e event, flush bool) error {
	f := j.forward
	isNew, err := f.advance(e)
	if err != nil || !isNew {
		return errors.Trace(err)
	}
	f.writeHead(m, a)
	return errors.Trace(f.out.enqueue(j.ctx, e.bytes, flush, f.onWait))
}
