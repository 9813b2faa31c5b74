package backend

import (
	"bytes"
	"context"
	"errors"
	"net"
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

// Guards against a server that counts as lost because this process did not look at its answer in time.
func TestDialEndsOnlyOnceWhatIsReadyWasLookedAt(t *testing.T) {
	connected, lookedAt := make(chan struct{}), make(chan struct{})
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	o := Options{
		Logger: log.NewNopLogger(), DialTimeout: time.Millisecond,
		LookedAtReady: func() <-chan struct{} {
			close(connected)
			return lookedAt
		},
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			select {
			case <-connected:
				return near, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		},
	}
	conn, err := newTransports(o.withDefaults()).dialDirect(context.Background(), "tcp", "10.0.0.1:80")
	assert.NilError(t, err)
	assert.Equal(t, conn, near)
	close(lookedAt)
}

// Guards against dials that end late, or as a disconnect of their caller.
func TestDialThatNobodyAnswersTimesOut(t *testing.T) {
	o := Options{
		Logger: log.NewNopLogger(), DialTimeout: time.Millisecond,
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}
	_, err := newTransports(o.withDefaults()).dialDirect(context.Background(), "tcp", "10.0.0.1:80")
	assert.Equal(t, dialOutcome(err), DialTimedOut)
	assert.Assert(t, !errors.Is(err, context.Canceled))
}
