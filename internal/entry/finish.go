package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/invariant"
	"github.com/citronstep/citronstep/internal/metrics"
	"github.com/citronstep/citronstep/internal/record"
)

// finish ends the job with an answer or a failure.
func (s *Server) finish(j *job, e *failure.Error, mayHaveRun bool) {
	s.recordMetrics(j, e)
	if e != nil {
		s.fail(j, e, mayHaveRun)
		return
	}
	if j.claimed {
		s.deliverRecorded(j)
	}
	go s.releaseKey(j, true, true)
	j.answer.end(j.finish)
	s.logAnswer(j)
}

// deliverRecorded records the complete answer of a claimed request before any caller receives its
// end, so that a resend after a lost answer finds it. If the record can't be written in time, the
// callers receive the end, and the writing goes on. The job stays open until the writing ends,
// which bounds the answers that wait for a record and makes a graceful stop wait for them.
func (s *Server) deliverRecorded(j *job) {
	hold := recordHold(time.Now(), j.deadline)
	unrecorded := time.AfterFunc(hold, func() {
		j.lines.Info("event", "answer_before_record", "request", j.id, "held_ms", hold.Milliseconds())
		j.answer.end(j.finish)
	})
	s.recordOutcome(j, true, true)
	unrecorded.Stop()
}

// fail sends the failure to the callers at once and records the claim's outcome afterwards, as
// no caller waits for the record. If the run began, the home of an idempotent key is notified
// before the callers, so that no resend arrives before the mark.
func (s *Server) fail(j *job, e *failure.Error, mayHaveRun bool) {
	c := *e
	c.RequestID = j.id
	if !invariant.Check(c.Ran != failure.RanNo || !j.mayHaveRun, "not_run_is_true", "request %s: %s", j.id, c.Message) {
		c.Ran = failure.RanUnknown
	}
	begun := c.Ran != failure.RanNo
	if begun {
		s.releaseKey(j, false, true)
	} else {
		go s.releaseKey(j, false, false)
	}
	j.answer.fail(&c)
	if j.hasBegun() {
		j.lines.End(true)
		s.logCut(j, s.cutCauseOf(j, &c), &c, append([]any{"attempts", j.attempts, "target", j.lastTarget}, crashFields(j, &c)...)...)
	} else {
		s.logRefusal(j, &c)
	}
	if j.claimed {
		s.recordOutcome(j, false, mayHaveRun)
	}
}

// logRefusal logs why an accepted request got no answer, with the values that decided it.
func (s *Server) logRefusal(j *job, e *failure.Error) {
	line := []any{"event", "refuse", "request", j.id, "type", e.Type, "ran", e.Ran, "reason", e.Message, "detail", e.Detail,
		"class", j.class, "workspace", j.workspace, "model", j.model, "tokens", j.tokens(), "attempts", j.attempts,
		"queued_ms", j.queued.Milliseconds(), "left_ms", time.Until(j.deadline).Milliseconds(),
		"retry_after_ms", e.RetryAfter.Milliseconds(), "config", s.o.Follower.Board().Config.Revision}
	if e.Type == failure.TypeRequestCrashesBackend {
		line = append(line, "cause", causeName(j.refusedFor))
	}
	j.lines.Info(append(line, crashFields(j, e)...)...)
	j.lines.End(true)
}

// crashFields returns the fields that name the cause of crashes for which a job was refused; nil for another failure.
func crashFields(j *job, e *failure.Error) []any {
	if e.Type != failure.TypeRequestCrashesBackend {
		return nil
	}
	return []any{"fingerprint", j.refusedFor.Fingerprint, "part", j.refusedFor.Name}
}

// logAnswer logs how a request was answered if it took more than one attempt or longer than its
// objective. Other requests need no explanation.
func (s *Server) logAnswer(j *job) {
	took, late := j.firstEventTime(), j.isLate()
	if j.attempts > 1 || late {
		line := []any{"event", "answer", "request", j.id, "attempts", j.attempts, "queued_ms", j.queued.Milliseconds(),
			"first_ms", took.Milliseconds(), "took_ms", time.Since(j.arrived).Milliseconds(), "late", late,
			"config", s.o.Follower.Board().Config.Revision}
		if j.forward != nil {
			line = append(line, j.forward.firstEvent.fields()...)
			line = append(line, "parts", partNames(j.sharedParts))
		}
		j.lines.Info(line...)
	}
	j.lines.End(false)
}

// recordMetrics records the metrics of the request's final answer.
func (s *Server) recordMetrics(j *job, e *failure.Error) {
	r := metrics.Request{
		Workspace: j.workspace, Class: j.class, Outcome: metrics.Answered, Queued: j.queued,
		FirstToken: j.firstToken, Whole: time.Since(j.arrived), Tokens: j.answer.length(),
	}
	if e != nil {
		r.Outcome, r.Ran = string(e.Type), string(e.Ran)
	}
	s.o.Metrics.Request(r)
	s.demand.ended(j, e)
}

// recordedAnswer returns the answer as the record holds it.
func (s *Server) recordedAnswer(j *job) *record.Answer {
	if j.service != nil {
		return j.service.recorded().Shortened()
	}
	body, err := json.Marshal(recordedCompletion{Tokens: j.answer.written(), Finish: j.finish})
	if err != nil {
		return nil
	}
	return (&record.Answer{Status: http.StatusOK, Body: body}).Shortened()
}
