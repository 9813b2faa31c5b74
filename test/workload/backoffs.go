package workload

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/citronstep/citronstep/internal/standin"
	"github.com/citronstep/citronstep/test/process/harness"
)

const (
	// maxRetryAfter is the longest back-off that a backend server asks for, and maxRejecting the
	// longest time for which it refuses requests.
	maxRetryAfter = 4 * time.Second
	maxRejecting  = 2 * time.Second
	// backoffStream is the random stream of the injector. It keeps its draws apart from those of
	// the other injectors.
	backoffStream = 1<<32 + 1
	// backoffGrace is the time after an entry has recorded a back-off in which requests that it has
	// sent before may still arrive, and maxInBackoff how many may arrive after that.
	backoffGrace = 500 * time.Millisecond
	maxInBackoff = 2
)

// backoffInjector makes one backend server after the other refuse requests and ask for a back-off.
type backoffInjector struct {
	servers []*harness.Standin
	random  *rand.Rand
}

func newBackoffInjector(seed uint64, servers []*harness.Standin) *backoffInjector {
	return &backoffInjector{servers: servers, random: rand.New(rand.NewPCG(seed, backoffStream))}
}

func (b *backoffInjector) run(ctx context.Context) {
	for ctx.Err() == nil {
		server := b.servers[b.random.IntN(len(b.servers))]
		asked, none := b.random.Int64N(maxRetryAfter.Milliseconds()), int64(0)
		server.Fault(standin.FaultOrder{RetryAfterMillis: &asked})
		wait(ctx, time.Duration(b.random.Int64N(int64(maxRejecting))))
		server.Fault(standin.FaultOrder{RetryAfterMillis: &none})
		wait(ctx, time.Duration(b.random.Int64N(int64(maxRejecting))))
	}
}

// awaitBackoff has all servers ask for back-offs until one can be checked, unless the run had one: the
// fewer requests arrive in a run, the fewer are refused.
func awaitBackoff(t harness.T, c *harness.Cluster, servers []*harness.Standin) {
	t.Helper()
	isChecked := func() bool {
		b := newBackoffChecker(c, nil)
		b.check(servers)
		return b.checked > 0
	}
	if isChecked() {
		return
	}
	askAll(servers, maxRetryAfter/2)
	harness.Await(t, "a back-off that can be checked", isChecked)
	askAll(servers, 0)
}

func askAll(servers []*harness.Standin, backoff time.Duration) {
	millis := backoff.Milliseconds()
	for _, s := range servers {
		s.Fault(standin.FaultOrder{RetryAfterMillis: &millis})
	}
}

// recordedBackoff is a back-off that an entry has recorded in its log.
type recordedBackoff struct {
	entry, incarnation string
	from, until        time.Time
}

// backoffChecker checks that entries send no requests to backend servers within their back-offs,
// counted from what reaches the backend servers. A back-off ends for an entry when it restarts.
type backoffChecker struct {
	// entryOf maps the id of a request to the entry that the caller sent it to.
	entryOf  map[string]string
	backoffs []recordedBackoff
	// recorded counts the back-offs in the logs, checked those of which arrivals were counted.
	recorded, checked int
}

func newBackoffChecker(c *harness.Cluster, works []*Work) *backoffChecker {
	b := &backoffChecker{entryOf: make(map[string]string)}
	for _, w := range works {
		for _, s := range w.Sends {
			if s.Reply.RequestID != "" {
				b.entryOf[s.Reply.RequestID] = s.Entry
			}
		}
	}
	for _, n := range c.Entries() {
		b.readLog(n.Spec.Name, n.Log())
	}
	return b
}

// readLog collects the back-offs in an entry's log. A start of the process ends all of them.
func (b *backoffChecker) readLog(entry, log string) {
	first := len(b.backoffs)
	lines := bufio.NewScanner(strings.NewReader(log))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		at, err := time.Parse(time.RFC3339Nano, field(line, "ts"))
		if err != nil {
			continue
		}
		switch field(line, "event") {
		case "listening":
			for i := range b.backoffs[first:] {
				b.backoffs[first+i].until = earlier(b.backoffs[first+i].until, at)
			}
		case "backoff_requested":
			millis, _ := strconv.ParseInt(field(line, "retry_after_ms"), 10, 64)
			b.recorded++
			b.backoffs = append(b.backoffs, recordedBackoff{
				entry: entry, incarnation: field(line, "incarnation"), from: at, until: at.Add(time.Duration(millis) * time.Millisecond),
			})
		}
	}
}

func (b *backoffChecker) check(servers []*harness.Standin) (violations []string) {
	for _, s := range servers {
		arrivals := s.Arrivals()
		for _, asked := range b.backoffs {
			n, known := b.countWithin(asked, arrivals)
			if known {
				b.checked++
			}
			if n > maxInBackoff {
				violations = append(violations, fmt.Sprintf("%s got %d requests of %s within the back-off of %s that it had recorded at %s",
					s.ID, n, asked.entry, asked.until.Sub(asked.from), asked.from.Format(time.RFC3339Nano)))
			}
		}
	}
	return violations
}

// countWithin counts the arrivals within a back-off. known is false if none of the arrivals
// belongs to the incarnation that asked for it.
func (b *backoffChecker) countWithin(asked recordedBackoff, arrivals []standin.Arrival) (n int, known bool) {
	for _, a := range arrivals {
		if a.Incarnation != asked.incarnation {
			continue
		}
		known = true
		request := a.Attempt[:max(0, strings.LastIndexByte(a.Attempt, '.'))]
		if b.entryOf[request] == asked.entry && a.At.After(asked.from.Add(backoffGrace)) && a.At.Before(asked.until) {
			n++
		}
	}
	return n, known
}

// field returns the value of a field of a log line; empty if the line lacks it.
func field(line, name string) string {
	_, rest, found := strings.Cut(" "+line, " "+name+"=")
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
