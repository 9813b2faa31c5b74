package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/backend"
)

// The causes for which a generation ends before its end mark.
const (
	errCancelled = errors.ConstError("cancelled")
	errGroupLost = errors.ConstError("group lost")
)

// busyRetryAfterMillis is the retry delay that a full engine requests.
const busyRetryAfterMillis = 200

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g backend.Generation
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)).Decode(&g); err != nil {
		refuse(w, http.StatusBadRequest, backend.Refusal{Message: err.Error()})
		return
	}
	if !e.authorised(r) {
		refuse(w, http.StatusUnauthorized, backend.Refusal{Message: "unknown bearer token"})
		return
	}
	if e.faults.receive(w.Header(), e.Incarnation(), g.Attempt) {
		refuse(w, http.StatusServiceUnavailable, backend.Refusal{Busy: true, Message: "asks for a back-off"})
		return
	}
	s := e.currentState()
	group := s.membershipFor(g)
	if group == nil || !group.enter(time.Now()) {
		refuse(w, http.StatusConflict, backend.Refusal{Message: "group and epoch not served here"})
		return
	}
	defer group.streams.Done()
	ctx, cancel := e.streamContext(r.Context(), s, group)
	defer cancel(nil)
	if !s.running.add(g.Attempt, answerLength(g.MaxTokens)-g.Offset, cancel) {
		refuse(w, http.StatusConflict, backend.Refusal{Message: "attempt known or cancelled"})
		return
	}
	defer s.running.remove(g.Attempt)
	slot := s.scheduler.enter(g.Priority)
	if slot == nil || e.faults.get().FullQueue {
		refuse(w, http.StatusTooManyRequests, backend.Refusal{
			Busy: true, RetryAfterMillis: busyRetryAfterMillis, Message: "queue full",
		})
		if slot != nil {
			s.scheduler.leave(slot)
		}
		return
	}
	defer s.scheduler.leave(slot)
	e.run(ctx, w, s, group, g, slot)
}

// streamContext returns a context that ends with the caller's connection, with the group, or
// with a cancel. With the fault IgnoreCancel it ends only with the group or the incarnation.
func (e *Engine) streamContext(
	caller context.Context, s *engineState, group *membership,
) (context.Context, context.CancelCauseFunc) {
	base := caller
	if e.faults.get().IgnoreCancel {
		base = s.incarnation.ctx
	}
	ctx, cancel := context.WithCancelCause(base)
	stop := context.AfterFunc(group.ctx, func() { cancel(errGroupLost) })
	return ctx, func(cause error) {
		stop()
		cancel(cause)
	}
}

// membershipFor returns the membership that serves the generation, or nil.
func (s *engineState) membershipFor(g backend.Generation) *membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.group
	if held == nil || held.order.Group != g.Group || held.order.Token.Epoch != g.Epoch {
		return nil
	}
	if g.Model != "" && held.order.Model != g.Model {
		return nil
	}
	return held
}

// run answers an accepted generation. It sends the response header at once, and records a run
// when the generation gets its slot.
func (e *Engine) run(
	ctx context.Context, w http.ResponseWriter, s *engineState, group *membership, g backend.Generation, slot *ticket,
) {
	if e.faults.answerRaw(w) {
		return
	}
	out := newEventWriter(w, g, e.faults.takeStream(g.Prompt), s.running)
	out.start()
	if !e.awaitSlot(ctx, out, slot) {
		return
	}
	number := e.common.Recorder.begin(Run{
		Server: e.common.ID, Incarnation: s.incarnation.id, Attempt: g.Attempt, Request: g.Request,
		Work: g.Prompt, Group: g.Group, Epoch: g.Epoch, Offset: g.Offset,
	})
	if e.faults.crashes(g.Prompt) {
		e.common.Recorder.end(number, 0, OutcomeCrashed)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	outcome := OutcomeLost
	// The deferred end also records an answer that a fault interrupts by a panic.
	defer func() { e.common.Recorder.end(number, out.sent, outcome) }()
	outcome = e.answer(ctx, out, s, group, g)
	if outcome != OutcomeFinished {
		panic(http.ErrAbortHandler)
	}
}

// awaitSlot sends keep-alives until the generation has a slot. It returns false if ctx ends
// first.
func (e *Engine) awaitSlot(ctx context.Context, out *eventWriter, slot *ticket) bool {
	ticker := time.NewTicker(e.options.KeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-slot.ready:
			return true
		case <-ticker.C:
			out.keepAlive()
		case <-ctx.Done():
			return false
		}
	}
}

// answer sends the tokens and the end mark.
func (e *Engine) answer(
	ctx context.Context, out *eventWriter, s *engineState, group *membership, g backend.Generation,
) Outcome {
	if !e.prefill(ctx, out, s, g.Prompt) {
		return outcomeOf(ctx)
	}
	total := answerLength(g.MaxTokens)
	due := time.Now()
	for offset := g.Offset; offset < total; offset++ {
		due = e.nextDue(due)
		if !e.awaitNextToken(ctx, group, due) {
			return outcomeOf(ctx)
		}
		if !out.token(ctx, offset, total) {
			return outcomeOf(ctx)
		}
		s.running.progress(g.Attempt, total-offset-1)
	}
	if !out.end(ctx, total) {
		return outcomeOf(ctx)
	}
	return OutcomeFinished
}

// nextDue returns the time of the next token. Tokens follow the clock, but a pause is not made
// up for by a burst.
func (e *Engine) nextDue(previous time.Time) time.Time {
	interval := e.faults.scale(e.options.TokenInterval)
	due := previous.Add(interval)
	if now := time.Now(); due.Before(now.Add(-interval)) {
		return now
	}
	return due
}

// awaitNextToken waits until the next token is due and all members of the group are present.
// The stream stalls while a member is missing; when the group fails, ctx ends.
func (e *Engine) awaitNextToken(ctx context.Context, group *membership, due time.Time) bool {
	if wait := time.Until(due); wait > 0 && !sleep(ctx, wait) {
		return false
	}
	for {
		e.server.gate.wait(ctx.Done())
		if ctx.Err() != nil {
			return false
		}
		if group.isServing(time.Now()) {
			return true
		}
		sleep(ctx, e.options.MemberInterval)
	}
}

// prefill waits for the time that the uncached blocks of the prompt need, and sends
// keep-alives.
func (e *Engine) prefill(ctx context.Context, out *eventWriter, s *engineState, prompt string) bool {
	blocks := s.cache.insert(backend.PrefixBlocks(prompt))
	left := e.faults.scale(time.Duration(blocks) * e.options.PrefillPerBlock)
	for left > 0 {
		part := min(left, e.options.KeepAlive)
		if !sleep(ctx, part) {
			return false
		}
		left -= part
		if left > 0 {
			out.keepAlive()
		}
	}
	return ctx.Err() == nil
}

// outcomeOf returns the outcome that belongs to the cause of the context's end.
func outcomeOf(ctx context.Context) Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errCancelled):
		return OutcomeCancelled
	case errors.Is(context.Cause(ctx), errGroupLost):
		return OutcomeLost
	default:
		return OutcomeCut
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c backend.CancelRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.faults.get().IgnoreCancel {
		e.currentState().running.stop(c.Attempt)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// refuse sends a refusal that states that the request was not started.
func refuse(w http.ResponseWriter, status int, r backend.Refusal) {
	started := false
	r.Started = &started
	writeJSON(w, status, r)
}
