package process

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
	"github.com/citronstep/citronstep/test/serverlinks"
)

// streamsPerCut is how many streams are open when a cut begins.
const streamsPerCut = 4

func relayedAttempts(n *harness.Node) int { return strings.Count(n.Log(), "event=relayed ") }

const (
	// probePause is the time between two probes of a process, and standstill the time between two answers
	// after which it has stood still: a dial through a peer is given up after 250 ms.
	probePause = 20 * time.Millisecond
	standstill = 200 * time.Millisecond
	// maxCuts is how often a cut is tried in which processes stand still.
	maxCuts = 5
)

// longLease sets the short timeouts, and a lease that outlasts a control process without processor time.
func longLease(s *settings.Settings) {
	shortTimeouts(s)
	s.Control.ConfigLeaseMillis = 60_000
}

// standstills counts how often entries or the control process stood still. No request can be promised an
// answer while the only peer gets no processor time, or the leader's disk takes no write.
type standstills struct {
	probes []*probe
	count  atomic.Int64
}

// probe is the probe of one process. It is locked while it is open.
type probe struct {
	sync.Mutex
	isAnswered func() bool
	answered   time.Time
}

func watchStandstills(t *testing.T, c *harness.Cluster) *standstills {
	w := &standstills{}
	asks := []func() bool{func() bool {
		_, err := c.Status()
		return err == nil
	}}
	for _, n := range c.Entries() {
		asks = append(asks, func() bool {
			n.Ready()
			return true
		})
	}
	var open sync.WaitGroup
	for _, ask := range asks {
		p := &probe{isAnswered: ask, answered: time.Now()}
		w.probes = append(w.probes, p)
		open.Go(func() {
			for ; t.Context().Err() == nil; time.Sleep(probePause) {
				w.ask(p)
			}
		})
	}
	t.Cleanup(open.Wait)
	return w
}

func (w *standstills) ask(p *probe) {
	p.Lock()
	defer p.Unlock()
	isAnswered, now := p.isAnswered(), time.Now()
	if now.Sub(p.answered) > standstill {
		w.count.Add(1)
	}
	if isAnswered {
		p.answered = now
	}
}

// soFar returns how many standstills there were, up to now.
func (w *standstills) soFar() int64 {
	for _, p := range w.probes {
		w.ask(p)
	}
	return w.count.Load()
}

// Guards against completions and calls that fail, or run twice, because the entry that took them is
// cut off from all backend servers: in the middle of streams, and with a non-idempotent key. A cut in
// which a process stands still is repeated if requests were refused in it.
func TestEntryWithoutLinksServesItsCallers(t *testing.T) {
	t.Parallel()
	c, _ := startServingCluster(t, twoNodeSpec(longLease), 2, "-token-interval", "20ms")
	watch := watchStandstills(t, c)
	for _, how := range serverlinks.Names() {
		for tries := 1; ; tries++ {
			before := watch.soFar()
			failures := serveAcrossCut(t, c, how)
			if len(failures) == 0 {
				break
			}
			stood := watch.soFar() - before
			t.Logf("%s, try %d, %d standstills: %q", how, tries, stood, failures)
			assert.Assert(t, stood > 0 && tries < maxCuts)
		}
	}
}

// serveAcrossCut cuts one entry off while streams are open, sends it further requests, ends the cut and
// waits for the direct way. It returns what callers did not get.
func serveAcrossCut(t *testing.T, c *harness.Cluster, how string) (failures []string) {
	t.Helper()
	other, cut := c.Entries()[0], c.Entries()[1]
	earnRetries(t, cut, streamsPerCut)
	var mu sync.Mutex
	check := func(what string, request harness.Completion, reply harness.Reply) {
		mu.Lock()
		defer mu.Unlock()
		if !reply.Right(request) {
			failures = append(failures, fmt.Sprintf("%s: %+v", what, reply))
		}
		assert.Check(t, !reply.Whole || reply.Right(request), "%s: %s: %+v", how, what, reply)
	}
	var open sync.WaitGroup
	for i := range streamsPerCut {
		stream := harness.Completion{Model: "demo", Prompt: uniquePrompt(fmt.Sprint(how, " stream ", i)), MaxTokens: 60}
		open.Go(func() { check("a stream across the cut", stream, harness.Complete(t.Context(), cut.Entry, stream)) })
	}
	time.Sleep(300 * time.Millisecond)
	cut.CutServers(how)
	open.Wait()
	for i := range 6 {
		request := harness.Completion{
			Model: "demo", Prompt: uniquePrompt(fmt.Sprint(how, " ", i)), MaxTokens: 4,
			Key: uniquePrompt("key"), NonIdempotent: true,
		}
		reply := harness.Complete(t.Context(), cut.Entry, request)
		check("a call", request, reply)
		resend := harness.Complete(t.Context(), other.Entry, request)
		check("a resend to another entry", request, resend)
		runs := len(c.RunsOf(request.Prompt))
		assert.Check(t, runs == 1 || runs == 0 && !reply.Whole && !resend.Whole, "%s: %d runs", how, runs)
	}
	cut.HealServers()
	harness.Await(t, "the direct way after "+how, func() bool {
		request := harness.Completion{Model: "demo", Prompt: uniquePrompt("healed"), MaxTokens: 1}
		before := relayedAttempts(cut)
		return harness.Complete(t.Context(), cut.Entry, request).Whole && relayedAttempts(cut) == before
	})
	return failures
}
