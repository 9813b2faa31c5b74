package requestlog

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a warning that is dropped because lines of other requests have used up the limit.
func TestWarningsAreWrittenBesideALogAtItsLimit(t *testing.T) {
	out := logged(100, func(l *Log, now *time.Time) {
		for i := range 1000 {
			lines := l.Request()
			lines.Info("event", "refuse", "request", i)
			lines.Info("event", "more", "request", i)
			lines.End(true)
		}
		for range 10 {
			l.Warn("event", "answer_cut")
		}
		*now = now.Add(time.Second)
		l.Request()
	})
	assert.Equal(t, strings.Count(out, "level=warn event=answer_cut"), 10)
	assert.Assert(t, strings.Count(out, "\n") <= 101, "%d lines", strings.Count(out, "\n"))
}

// Guards against warnings without a limit, and against dropped ones that nothing counts.
func TestWarningsStayWithinTheLimit(t *testing.T) {
	out := logged(100, func(l *Log, now *time.Time) {
		for range 250 {
			l.Warn("event", "answer_cut")
		}
		*now = now.Add(time.Second)
		l.Request()
	})
	assert.Equal(t, strings.Count(out, "event=answer_cut"), 100)
	assert.Assert(t, strings.Contains(out, "event=request_lines_dropped requests=150 lines=150"), out)
}
