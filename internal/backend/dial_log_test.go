package backend

import (
	"bytes"
	"context"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// Guards against a log line for each failed dial while a backend server can't be reached, and
// against dials that the callers' disconnects interrupted counting as failures.
func TestLostAndRegainedServersAreLoggedOnce(t *testing.T) {
	var text bytes.Buffer
	var outcomes []DialOutcome
	l := newDialLog(log.NewLogfmtLogger(&text), func(o DialOutcome, _ time.Duration) { outcomes = append(outcomes, o) })
	now := time.Unix(1000, 0)
	for _, err := range []error{context.Canceled, nil, syscall.ECONNREFUSED, os.ErrDeadlineExceeded, syscall.EHOSTUNREACH, nil, nil} {
		l.record(now, "10.0.0.1:80", time.Millisecond, err)
		now = now.Add(time.Second)
	}
	assert.DeepEqual(t, outcomes, []DialOutcome{DialConnected, DialRefused, DialTimedOut, DialFailed, DialConnected, DialConnected})
	assert.Equal(t, strings.Count(text.String(), "event=server_not_connected server=10.0.0.1:80 outcome=refused"), 1)
	assert.Equal(t, strings.Count(text.String(), "event=server_connected server=10.0.0.1:80 failed_for_ms=3000"), 1)
	assert.Equal(t, strings.Count(text.String(), "\n"), 2)
}
