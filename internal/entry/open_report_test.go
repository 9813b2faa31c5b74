package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// Guards against a killed entry of which nobody can tell what it had open.
func TestOpenRequestsAreLoggedWhileTheyChange(t *testing.T) {
	s, _ := loggedServer(t)
	lines := &lockedBuffer{}
	s.o.StateLogger, s.o.Forwarder = log.NewLogfmtLogger(lines), endlessForwarder{}
	s.ReportOpen(time.Now())
	assert.Equal(t, lines.String(), "", "an idle entry writes no line")
	ctx, disconnect := context.WithCancel(context.Background())
	began, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = recover() }()
		w := &signallingWriter{ResponseRecorder: httptest.NewRecorder(), wrote: began}
		_ = s.Forward(ctx, w, ForwardRequest{ID: "id", Host: "h", Method: http.MethodPost, Path: "/stream/x"})
	}()
	<-began
	s.ReportOpen(time.Now().Add(300 * time.Millisecond))
	assert.Assert(t, is.Contains(lines.String(), "event=open_requests open=1 begun=1 oldest_ms=3"))
	for _, want := range []string{" held_bytes=", " heap_bytes=", " memory_bytes=", " descriptors="} {
		assert.Assert(t, is.Contains(lines.String(), want))
	}
	disconnect()
	<-ended
	s.AwaitEnded(time.Second)
	s.ReportOpen(time.Now())
	s.ReportOpen(time.Now())
	assert.Equal(t, strings.Count(lines.String(), "open=0 begun=0"), 1)
}

// Guards against a line each second of an entry in which nothing changes, and against none while its heap grows.
func TestOnlyChangesOfWhatIsOpenNeedALine(t *testing.T) {
	last := openWork{open: 3, begun: 2, oldest: time.Second, held: 10, heap: 80 << 20}
	for _, c := range []struct {
		name   string
		change func(*openWork)
		want   bool
	}{
		{"older", func(w *openWork) { w.oldest *= 2; w.descriptors = 9 }, false},
		{"heap much the same", func(w *openWork) { w.heap += 9 << 20 }, false},
		{"heap grown", func(w *openWork) { w.heap += 11 << 20 }, true},
		{"heap shrunk", func(w *openWork) { w.heap -= 11 << 20 }, true},
		{"one ended", func(w *openWork) { w.open-- }, true},
		{"one begun", func(w *openWork) { w.begun++ }, true},
		{"more held", func(w *openWork) { w.held++ }, true},
		{"idle, heap grown", func(w *openWork) { *w = openWork{heap: 160 << 20} }, true},
	} {
		w := last
		c.change(&w)
		assert.Equal(t, w.differsFrom(last), c.want, c.name)
	}
	idle := openWork{heap: 1 << 20}
	assert.Assert(t, !idle.differsFrom(openWork{heap: 9 << 20}), "the heap of an idle entry needs no line")
}

func BenchmarkReportOpen(b *testing.B) {
	for _, open := range []int{18, 1000} {
		b.Run(fmt.Sprint(open, " open"), func(b *testing.B) {
			s := NewServer(Options{ID: "e", Logger: log.NewNopLogger(), Follower: fixedBoard{}})
			s.o.StateLogger = log.NewLogfmtLogger(io.Discard)
			for range open {
				j := &job{answer: newAnswer(), forward: &forwarding{}, arrived: time.Now()}
				s.jobs.unfinished[j] = true
			}
			for b.Loop() {
				s.reportedOpen = openWork{}
				s.ReportOpen(time.Now())
			}
		})
	}
}
