package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/citronstep/citronstep/internal/backend"
)

// discard is a caller whose connection accepts every write at once.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}

// BenchmarkRelayEvent measures the cost of relaying one event of a stream, without its share of
// the request's cost and without the system calls on both sides.
func BenchmarkRelayEvent(b *testing.B) {
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = strconv.Itoa(i + 1)
	}
	text := strings.ReplaceAll(events(ids...), "token", strings.Repeat("t", 60))
	j := &job{ctx: context.Background(), forward: &forwarding{w: discard{http.Header{}}}}
	m := newMemoryBudget(1 << 30)
	r := newEventReader(strings.NewReader(text), newMemoryBudget(0))
	answer := &backend.ForwardAnswer{Status: http.StatusOK, Header: http.Header{}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		e, err := r.next()
		if err != nil {
			b.Fatal(err)
		}
		if err := j.relayEvent(m, answer, e, true); err != nil {
			b.Fatal(err)
		}
	}
}
