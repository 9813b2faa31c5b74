// Package overhead measures the latency that an entry adds to a request. It compares requests
// through the entry with the same requests sent directly to the stand-in engine, in one run.
//
//	go test ./test/overhead -run TestOverhead -v -args -measure
//
// Without -measure it sends a few requests each way and checks the answers.
package overhead

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/settings"
	"github.com/citronstep/citronstep/test/process/harness"
)

var measure = flag.Bool("measure", false, "measure at full size and print the figures")

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// sizes holds the numbers of requests, tokens, callers and streams of a run.
type sizes struct {
	requests, tokens   int
	throughputCallers  int
	throughputRequests int
	throughputTokens   int
	openStreams        int
}

// currentSizes returns the sizes for a measurement or, without -measure, for a quick check.
func currentSizes() sizes {
	if *measure {
		return sizes{1500, 20, 24, 40, 1000, 1000}
	}
	return sizes{5, 5, 2, 2, 20, 10}
}

// testSystem is a cluster of one entry with groups of one engine each.
type testSystem struct {
	t       *testing.T
	c       *harness.Cluster
	entry   *harness.Node
	engines []*harness.Standin
	client  *backend.HTTPClient
}

const engineCount = 8

// newTestSystem starts a cluster whose engines take interval for each token.
func newTestSystem(t *testing.T, interval string) *testSystem {
	t.Helper()
	spec := harness.ClusterSpec{
		Nodes: []harness.NodeSpec{{Name: "n1", DataCentre: "dc1", Entry: true, Control: true}},
		Adjust: func(s *settings.Settings) {
			s.Control.Voters = 1
			s.Log.Level = "warn"
		},
	}
	r := &testSystem{t: t, c: harness.NewCluster(t, spec)}
	r.entry = r.c.Nodes[0]
	r.c.Found(blackboard.GroupSpec{Name: "memos", Model: "demo", Replicas: engineCount, VMsPerReplica: 1})
	r.engines = r.c.StartEngines(engineCount, "vm", "d1", "-token-interval", interval, "-slots", "1000", "-queue-limit", "1000")
	r.c.AwaitGroups("demo", engineCount)
	r.client = backend.NewHTTPClient(backend.Options{Secret: harness.BackendToken, HeaderTimeout: time.Minute})
	t.Cleanup(r.client.Close)
	harness.Await(t, "the entry answers", func() bool {
		_, err := r.sendThroughEntry("ready", 1, nil)
		return err == nil
	})
	return r
}

// times holds the times of one answer: until its first token, and between its tokens.
type times struct {
	first time.Duration
	gaps  []time.Duration
}

// sendThroughEntry streams one completion through the entry. It calls onFirstToken, if not nil,
// at the first token.
func (r *testSystem) sendThroughEntry(prompt string, tokens int, onFirstToken func()) (times, error) {
	body, _ := json.Marshal(map[string]any{"model": "demo", "prompt": prompt, "max_tokens": tokens, "stream": true})
	request, err := http.NewRequest(http.MethodPost, "http://"+r.entry.Entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return times{}, err
	}
	request.Header.Set("Authorization", "Bearer "+harness.WorkspaceKey)
	w := newTokenTimer(onFirstToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return times{}, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	whole := false
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "data: [DONE]":
			whole = true
		case strings.HasPrefix(line, "data: ") && !strings.Contains(line, `"finish_reason":"`):
			w.recordToken()
		}
	}
	if !whole || w.count != tokens {
		return times{}, fmt.Errorf("status %d, %d of %d tokens", response.StatusCode, w.count, tokens)
	}
	return w.times, nil
}

var attempts atomic.Int64

// sendDirect streams one completion directly from the head of a group, with the protocol that the
// entry uses.
func (r *testSystem) sendDirect(g blackboard.Group, prompt string, tokens int) (times, error) {
	w := newTokenTimer(nil)
	stream, err := r.client.Generate(context.Background(), g.Members[0].Address, backend.Generation{
		Attempt: "direct-" + strconv.FormatInt(attempts.Add(1), 10), Group: g.ID, Epoch: g.Epoch, Model: "demo",
		Prompt: prompt, MaxTokens: tokens,
	})
	if err != nil {
		return times{}, err
	}
	defer stream.Close()
	for {
		token, err := stream.Next()
		if err == io.EOF {
			return w.times, nil
		}
		if err != nil {
			return times{}, err
		}
		if !token.End && !token.KeepAlive {
			w.recordToken()
		}
	}
}

// tokenTimer measures the times of one answer.
type tokenTimer struct {
	times
	began, last  time.Time
	count        int
	onFirstToken func()
}

func newTokenTimer(onFirstToken func()) *tokenTimer {
	now := time.Now()
	return &tokenTimer{began: now, last: now, onFirstToken: onFirstToken}
}

func (w *tokenTimer) recordToken() {
	now := time.Now()
	w.count++
	if w.count == 1 {
		w.first = now.Sub(w.began)
		if w.onFirstToken != nil {
			w.onFirstToken()
		}
	} else {
		w.gaps = append(w.gaps, now.Sub(w.last))
	}
	w.last = now
}

// histogram returns a histogram for values of 1 µs to 60 s.
func histogram() *hdrhistogram.Histogram {
	const maxMicros, digits = 60_000_000, 3
	return hdrhistogram.New(1, maxMicros, digits)
}

// latencies holds the distributions, in microseconds, of the times of many answers.
type latencies struct{ first, gap *hdrhistogram.Histogram }

func (s latencies) add(x times) {
	_ = s.first.RecordValue(x.first.Microseconds())
	for _, g := range x.gaps {
		_ = s.gap.RecordValue(g.Microseconds())
	}
}

// summary returns the medians and 95th percentiles as one line of text.
func (s latencies) summary(name string) string {
	return fmt.Sprintf("%-8s first token median %6d us, 95th %6d us; between tokens median %6d us, 95th %6d us",
		name, s.first.ValueAtQuantile(50), s.first.ValueAtQuantile(95), s.gap.ValueAtQuantile(50), s.gap.ValueAtQuantile(95))
}

// TestOverhead compares latencies through the entry and without it.
func TestOverhead(t *testing.T) {
	n := currentSizes()
	r := newTestSystem(t, "2ms")
	status, err := r.c.Status()
	assert.NilError(t, err)
	entry, direct := latencies{histogram(), histogram()}, latencies{histogram(), histogram()}
	for i := range n.requests {
		x, err := r.sendThroughEntry("entry "+strconv.Itoa(i), n.tokens, nil)
		assert.NilError(t, err)
		entry.add(x)
		x, err = r.sendDirect(status.Groups[i%len(status.Groups)], "direct "+strconv.Itoa(i), n.tokens)
		assert.NilError(t, err)
		direct.add(x)
	}
	t.Log(direct.summary("direct"))
	t.Log(entry.summary("entry"))
}

// TestThroughput measures the entry's processor time for long and for short answers.
func TestThroughput(t *testing.T) {
	n := currentSizes()
	r := newTestSystem(t, "0s")
	before, began := cpuTime(t, r.entry), time.Now()
	var wait sync.WaitGroup
	for caller := range n.throughputCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range n.throughputRequests {
				_, err := r.sendThroughEntry(fmt.Sprintf("load %d %d", caller, i), n.throughputTokens, nil)
				assert.Check(t, err == nil, "%v", err)
			}
		}()
	}
	wait.Wait()
	took, used := time.Since(began), cpuTime(t, r.entry)-before
	total := float64(n.throughputCallers * n.throughputRequests * n.throughputTokens)
	t.Logf("long answers: %.0f tokens in %v, entry used %v: %.0f tokens a second of one core", total, took, used, total/used.Seconds())

	before = cpuTime(t, r.entry)
	short := n.throughputCallers * n.throughputRequests
	for i := range short {
		_, err := r.sendThroughEntry("short "+strconv.Itoa(i), 1, nil)
		assert.NilError(t, err)
	}
	used = cpuTime(t, r.entry) - before
	t.Logf("short answers: %d requests of 1 token, entry used %v: %.0f requests a second of one core", short, used, float64(short)/max(used.Seconds(), 0.01))
}

// TestOpenStreams measures the entry's memory for each open stream.
func TestOpenStreams(t *testing.T) {
	n := currentSizes()
	r := newTestSystem(t, "300ms")
	before := residentKB(t, r.entry)
	var wait, open sync.WaitGroup
	for i := range n.openStreams {
		wait.Add(1)
		open.Add(1)
		go func() {
			defer wait.Done()
			_, err := r.sendThroughEntry("open "+strconv.Itoa(i), 40, open.Done)
			assert.Check(t, err == nil, "%v", err)
		}()
	}
	open.Wait()
	during := residentKB(t, r.entry)
	r.saveProfile("heap")
	t.Logf("%d open streams: memory %d KB before, %d KB with them: %.1f KB a stream",
		n.openStreams, before, during, float64(during-before)/float64(n.openStreams))
	wait.Wait()
}

// saveProfile writes a pprof profile of the entry's process to the folder that the environment
// variable CITRONSTEP_PROFILES names. Without the variable it does nothing.
func (r *testSystem) saveProfile(name string) {
	folder := os.Getenv("CITRONSTEP_PROFILES")
	if folder == "" {
		return
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+r.entry.Peers.Address()+"/debug/pprof/"+name, nil)
	assert.NilError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+harness.PeerToken)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(r.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(r.t, err)
	assert.NilError(r.t, os.WriteFile(folder+"/"+name+".pprof", data, 0o600))
}

// cpuTime returns the processor time that a process has used since its start.
func cpuTime(t *testing.T, n *harness.Node) time.Duration {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.PID()))
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	// utime and stime are fields 14 and 15 of /proc/PID/stat, in ticks of 10 ms.
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// residentKB returns the resident memory of a process in KB.
func residentKB(t *testing.T, n *harness.Node) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb
		}
	}
	return 0
}
