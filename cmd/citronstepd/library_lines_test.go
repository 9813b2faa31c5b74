package main

import (
	"bytes"
	"context"
	stdlog "log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// collectLines collects the lines of the standard logger until the test ends.
func collectLines(t *testing.T) *lockedLines {
	t.Helper()
	flags := stdlog.Flags()
	t.Cleanup(func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(os.Stderr)
	})
	lines := &lockedLines{}
	collectLibraryLines(log.NewLogfmtLogger(lines))
	return lines
}

// lockedLines is a buffer for several goroutines.
type lockedLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Guards against a handler that panics, ends its request and leaves no line on standard output.
func TestPanicOfAHandlerIsInTheLog(t *testing.T) {
	lines := collectLines(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("planned panic") }))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	assert.NilError(t, err)
	answer, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = answer.Body.Close()
	}
	assert.Assert(t, err != nil)
	server.Close()
	assert.Assert(t, is.Contains(lines.String(), "level=warn event=library text=\"http: panic serving "))
	assert.Assert(t, is.Contains(lines.String(), "planned panic"))
	assert.Equal(t, strings.Count(lines.String(), "\n"), 1)
}

// Guards against a log that is flooded by a library, such as by one line for each refused connection.
func TestLinesOfLibrariesAreLimited(t *testing.T) {
	lines := collectLines(t)
	for range 1000 {
		stdlog.Print(strings.Repeat("x", 2*maxLibraryText))
	}
	written := strings.Count(lines.String(), "event=library")
	assert.Assert(t, written >= 1 && written < 1000, "%d lines", written)
	assert.Assert(t, len(lines.String()) < written*(maxLibraryText+100))
}

// failingListener fails to accept a connection as a process does that has no descriptor left, then it is closed.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures == 0 {
		return nil, net.ErrClosed
	}
	l.failures--
	return nil, tooManyFiles{}
}

type tooManyFiles struct{}

func (tooManyFiles) Error() string   { return "accept: too many open files" }
func (tooManyFiles) Timeout() bool   { return false }
func (tooManyFiles) Temporary() bool { return true }

// Guards against a process without descriptors that says so on standard error alone.
func TestLackOfDescriptorsIsInTheLog(t *testing.T) {
	lines := collectLines(t)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	server := &http.Server{Handler: http.NotFoundHandler()}
	assert.Assert(t, server.Serve(&failingListener{listener, 1}) != nil)
	assert.Assert(t, is.Contains(lines.String(), "too many open files"))
}
