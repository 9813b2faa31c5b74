package requestlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// logged runs f with a Log of perSecond lines whose clock f can move, and returns the output.
func logged(perSecond int, f func(l *Log, now *time.Time)) string {
	var out bytes.Buffer
	now := time.Unix(1_000_000, 0)
	l := New(log.NewLogfmtLogger(&out), perSecond)
	l.now = func() time.Time { return now }
	f(l, &now)
	return out.String()
}

// A thousand requests arrive in one second and ten of them fail. The log must contain all lines
// of the ten, and report the number of dropped lines.
func TestFailedRequestsKeepAllTheirLines(t *testing.T) {
	out := logged(200, func(l *Log, now *time.Time) {
		for i := range 1000 {
			lines := l.Request()
			lines.Info("event", "route", "request", i)
			lines.Info("event", "attempt_ended", "request", i)
			failed := i%100 == 99
			if failed {
				lines.Info("event", "refuse", "request", i)
			}
			lines.End(failed)
		}
		*now = now.Add(time.Second)
		l.Request()
	})
	for i := 99; i < 1000; i += 100 {
		assert.Equal(t, strings.Count(out, fmt.Sprintf("request=%d\n", i)), 3, "request %d", i)
	}
	assert.Assert(t, strings.Count(out, "\n") <= 201+1, "%d lines", strings.Count(out, "\n"))
	assert.Assert(t, strings.Contains(out, "event=request_lines_dropped requests="))
}

// More requests fail in one second than the limit has lines for. The log must not exceed the
// limit, and must contain either all lines of a request or none.
func TestManyFailuresStayWithinTheLimit(t *testing.T) {
	out := logged(100, func(l *Log, _ *time.Time) {
		for i := range 5000 {
			lines := l.Request()
			lines.Info("event", "route", "request", i)
			lines.Info("event", "refuse", "request", i)
			lines.End(true)
		}
	})
	assert.Assert(t, strings.Count(out, "\n") <= 101, "%d lines", strings.Count(out, "\n"))
	for i := range 5000 {
		n := strings.Count(out, fmt.Sprintf("request=%d\n", i))
		assert.Assert(t, n == 0 || n == 2, "request %d has %d lines", i, n)
		if n == 0 && i > 200 {
			break
		}
	}
}

func TestWithoutLimitAllLinesAreWritten(t *testing.T) {
	out := logged(0, func(l *Log, _ *time.Time) {
		for i := range 300 {
			lines := l.Request()
			lines.Info("request", i)
			lines.End(false)
		}
	})
	assert.Equal(t, strings.Count(out, "\n"), 300)
}
