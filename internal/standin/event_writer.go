package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
)

// overlongBytes is the length of the line that StreamOverlong sends.
const overlongBytes = 1 << 20

// eventWriter writes the events of one generation and injects its fault.
type eventWriter struct {
	w          http.ResponseWriter
	flush      func() error
	generation backend.Generation
	fault      StreamFaults
	running    *runningSet
	sent       int
	failed     bool
}

func newEventWriter(w http.ResponseWriter, g backend.Generation, f StreamFaults, r *runningSet) *eventWriter {
	return &eventWriter{
		w: w, flush: http.NewResponseController(w).Flush, generation: g, fault: f, running: r,
	}
}

func (o *eventWriter) start() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	_ = o.flush()
}

func (o *eventWriter) keepAlive() { o.line(": keep-alive") }

// token sends the token at offset. It returns false if the answer must end here.
func (o *eventWriter) token(ctx context.Context, offset, total int) bool {
	event := backend.Token{
		Attempt: o.generation.Attempt,
		Offset:  offset,
		Text:    TokenText(o.generation.Prompt, offset),
	}
	if o.fault.Kind != "" && o.sent == o.fault.After {
		if !o.injectFault(ctx, event, total) {
			return false
		}
		o.sent++
		return true
	}
	o.event(event)
	o.sent++
	return !o.failed || ctx.Err() == nil
}

// end sends the end mark. It returns false if the answer ends without one.
func (o *eventWriter) end(ctx context.Context, total int) bool {
	if o.fault.Kind == StreamCut && o.sent <= o.fault.After {
		return false
	}
	o.event(backend.Token{
		Attempt: o.generation.Attempt, Offset: total, End: true, Total: total, FinishReason: "length",
	})
	return ctx.Err() == nil
}

// injectFault sends the event at which the fault takes place. It returns false if the answer
// must end here.
func (o *eventWriter) injectFault(ctx context.Context, event backend.Token, total int) bool {
	switch o.fault.Kind {
	case StreamCut:
		return false
	case StreamCrossed:
		crossed := event
		crossed.Attempt = o.running.otherAttempt(event.Attempt)
		crossed.Text = " crossed"
		o.event(crossed)
	case StreamDoubled:
		o.event(event)
	case StreamSkipped:
		return true
	case StreamShort:
		o.event(backend.Token{Attempt: event.Attempt, Offset: event.Offset, End: true, Total: total})
		return false
	case StreamMalformed:
		o.line("data: {\"attempt\": no json")
	case StreamOverlong:
		o.line("data: " + strings.Repeat("x", overlongBytes))
	case StreamStalled:
		<-ctx.Done()
		return false
	case StreamLate:
		if !sleep(ctx, time.Duration(o.fault.DelayMillis)*time.Millisecond) {
			return false
		}
	}
	o.event(event)
	return true
}

func (o *eventWriter) event(t backend.Token) {
	body, err := json.Marshal(t)
	if err != nil {
		return
	}
	o.line("data: " + string(body))
}

func (o *eventWriter) line(text string) {
	if _, err := o.w.Write([]byte(text + "\n\n")); err != nil {
		o.failed = true
		return
	}
	if o.flush() != nil {
		o.failed = true
	}
}
