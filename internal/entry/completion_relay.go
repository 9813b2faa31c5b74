package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/labstack/echo/v4"

	"github.com/citronstep/citronstep/internal/failure"
)

// choice is one choice of a completion. Text is used by the text API, Message and Delta by the
// chat API.
type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answerCompletion runs or joins a completion's job and relays its answer.
func (s *Server) answerCompletion(c echo.Context, j *job, d completionAPI, stream bool) error {
	return s.withJob(c, j, s.runCompletion, func(ctx context.Context, running *job) error {
		if stream {
			return s.relayStream(ctx, c, running, d)
		}
		return s.relayComplete(ctx, c, running, d)
	})
}

// withJob starts the job, or attaches to the running job that it repeats. It calls relay with
// that job until the caller's deadline.
func (s *Server) withJob(c echo.Context, j *job, run func(*job), relay func(context.Context, *job) error) error {
	running, e := s.start(j, run)
	if e != nil {
		return s.refuseEarly(c, e)
	}
	defer s.detach(running)
	defer limitWriteTime(c.Response(), j)()
	ctx, cancel := context.WithDeadline(c.Request().Context(), j.deadline)
	defer cancel()
	return relay(ctx, running)
}

// refuseEarly completes a refusal that is given before the home of an idempotency key was asked
// whether an earlier send of the key ran.
//
// Failure: a job runs and its answer is lost. The caller resends under the same key to an entry
// that refuses at once for another reason and states that the request did not run. The caller
// gives the work to another system, and it is done twice.
func (s *Server) refuseEarly(c echo.Context, e *failure.Error) *failure.Error {
	refused := *e
	e = &refused
	e.RequestID = c.Response().Header().Get(HeaderRequestID)
	if c.Request().Header.Get(HeaderIdempotencyKey) != "" && e.Type != failure.TypeIdempotencyKeyReused {
		e = e.WithRan(failure.RanUnknown)
	}
	s.logEarlyRefusal(e.RequestID, e)
	return e
}

// logEarlyRefusal logs why a request was refused before admission decided on it.
func (s *Server) logEarlyRefusal(id string, e *failure.Error) {
	lines := s.requests.Request()
	lines.Info("event", "refuse", "request", id, "type", e.Type, "ran", e.Ran, "reason", e.Message,
		"at", "door", "retry_after_ms", e.RetryAfter.Milliseconds(), "config", s.o.Follower.Board().Config.Revision)
	lines.End(true)
}

// writeGrace is how long past the deadline an answer may still be written.
const writeGrace = 30 * time.Second

// limitWriteTime sets a write deadline, which ends the connection of a caller that reads
// nothing: no other deadline ends a blocked write. The returned function removes the deadline
// for the connection's next request.
func limitWriteTime(w http.ResponseWriter, j *job) func() {
	connection := http.NewResponseController(w)
	// Only connections in tests fail to set a deadline.
	_ = connection.SetWriteDeadline(j.deadline.Add(writeGrace))
	return func() { _ = connection.SetWriteDeadline(time.Time{}) }
}

func (s *Server) relayComplete(ctx context.Context, c echo.Context, j *job, d completionAPI) error {
	text, p, err := j.answer.awaitComplete(ctx)
	if err != nil {
		return s.callerWaitEnded(ctx, j)
	}
	if p.failed != nil {
		return p.failed
	}
	body := completion{
		ID: j.id, Object: d.object, Created: j.arrived.Unix(), Model: j.model,
		Choices: []choice{{FinishReason: &p.finish}},
		Usage:   &usage{CompletionTokens: j.answer.length()},
	}
	if d.chat {
		body.Choices[0].Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		body.Choices[0].Text = &text
	}
	if err := c.JSON(http.StatusOK, body); err != nil {
		s.logCut(j, s.writeCutCause(), callerWriteFailure(err))
	}
	return nil
}

// callerWaitEnded returns the failure of a caller whose wait ended before the answer did. At
// the deadline the request may still be running, so its outcome is unknown.
func (s *Server) callerWaitEnded(ctx context.Context, j *job) *failure.Error {
	e := failure.New(failure.TypeDeadlineExceeded, "the deadline passed before the answer was complete")
	e.RequestID = j.id
	if ctx.Err() == context.Canceled {
		e = failure.New(failure.TypeOutcomeUnknown, "the caller disconnected")
	}
	return e.WithRan(failure.RanUnknown).WithRetryAfter(time.Second)
}

const doneEvent = "data: [DONE]\n\n"

// relayStream writes server-sent events. The HTTP status is open until the first token. A later
// failure ends the stream with an error event and without the end mark, so the caller can't
// take it for a complete answer.
func (s *Server) relayStream(ctx context.Context, c echo.Context, j *job, d completionAPI) error {
	w := c.Response()
	from := 0
	for {
		p, err := j.answer.wait(ctx, from)
		if err != nil {
			p = answerUpdate{done: true, failed: s.callerWaitEnded(ctx, j)}
		}
		if p.failed != nil && from == 0 && len(p.tokens) == 0 {
			return p.failed
		}
		if from == 0 {
			startEvents(w)
		}
		from += len(p.tokens)
		if err := writeTokens(w, j, d, p.tokens); err != nil {
			s.logCut(j, s.writeCutCause(), callerWriteFailure(err))
			return nil
		}
		if p.done {
			s.endEvents(ctx, w, j, d, p)
			return nil
		}
		w.Flush()
	}
}

func startEvents(w *echo.Response) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

func writeTokens(w http.ResponseWriter, j *job, d completionAPI, tokens []string) error {
	for _, t := range tokens {
		if err := writeEvent(w, j.chunk(d, t, nil)); err != nil {
			return err
		}
	}
	return nil
}

func (j *job) chunk(d completionAPI, text string, finish *string) completion {
	ch := choice{FinishReason: finish}
	if d.chat {
		ch.Delta = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	return completion{ID: j.id, Object: d.chunk, Created: j.arrived.Unix(), Model: j.model, Choices: []choice{ch}}
}

// endEvents writes the end mark of a complete answer, or the error of an incomplete one to the
// caller whose wait ctx bounds.
func (s *Server) endEvents(ctx context.Context, w *echo.Response, j *job, d completionAPI, p answerUpdate) {
	defer w.Flush()
	if p.failed != nil {
		// The answer is cut, whether or not the caller learns why.
		_ = writeEvent(w, failure.Body{Error: p.failed})
		s.logCut(j, s.streamCutCause(ctx, j, p.failed), p.failed)
		return
	}
	err := writeEvent(w, j.chunk(d, "", &p.finish))
	if err == nil {
		_, err = w.Write([]byte(doneEvent))
	}
	if err != nil {
		s.logCut(j, s.writeCutCause(), callerWriteFailure(err))
	}
}

// streamCutCause returns why the stream of one caller, whose wait ctx bounds, has ended early.
func (s *Server) streamCutCause(ctx context.Context, j *job, e *failure.Error) cutCause {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && s.stopped.Load():
		return cutEntryStopped
	case errors.Is(ctx.Err(), context.Canceled):
		return cutCallerLeft
	case ctx.Err() != nil:
		return cutDeadline
	}
	return s.cutCauseOf(j, e)
}

func writeEvent(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err = w.Write(event)
	return err
}
