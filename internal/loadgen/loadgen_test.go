package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/standin"
)

// fakeEntry answers completions as an entry does; override, if set, may answer instead.
type fakeEntry struct {
	*httptest.Server
	mu       sync.Mutex
	keys     map[string]int
	override func(w http.ResponseWriter, try int, prompt string, maxTokens int) bool
}

func newFakeEntry(t *testing.T) *fakeEntry {
	f := &fakeEntry{keys: map[string]int{}}
	f.Server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(f.Close)
	return f
}

func (f *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	key := r.Header.Get(headerIdempotencyKey)
	f.mu.Lock()
	f.keys[key]++
	try := f.keys[key]
	f.mu.Unlock()
	if f.override != nil && f.override(w, try, body.Prompt, body.MaxTokens) {
		return
	}
	stream(w, key, body.Prompt, body.MaxTokens, true)
}

func stream(w http.ResponseWriter, id, prompt string, tokens int, end bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for offset := range tokens {
		text, _ := json.Marshal(standin.TokenText(prompt, offset))
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"text\":%s,\"finish_reason\":null}]}\n\n", id, text)
	}
	if end {
		_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"text\":\"\",\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n", id)
	}
}

func (f *fakeEntry) plan() *Plan {
	return &Plan{
		Targets: []string{strings.TrimPrefix(f.URL, "http://")},
		Flows: []Flow{
			{Name: "audits", Key: "k1", Model: "demo", Weight: 3, PromptBytes: 80, MaxTokens: 4, Prefixes: 2, Stream: true},
			{Name: "lookups", Key: "k2", Model: "demo", Weight: 1, PromptBytes: 40, MaxTokens: 2, Prefixes: 1, Stream: true},
		},
		Concurrency: 4, Count: 40, Duration: time.Minute, Retries: 2, Seed: 7, RunID: "t", GiveUp: time.Minute,
		Expected: standin.ExpectedText,
	}
}

func TestCompleteAnswersAreOK(t *testing.T) {
	f := newFakeEntry(t)
	r, err := Run(context.Background(), f.plan())
	assert.NilError(t, err)
	assert.Equal(t, r.Total.Verdicts[string(OK)], 40)
	assert.Equal(t, r.Broken, 0)
	assert.Equal(t, r.Flows[0].Requests+r.Flows[1].Requests, 40)
	assert.Equal(t, r.Total.Whole.Count, int64(40))
	assert.Equal(t, r.Total.BetweenTokens.Count, int64(r.Total.Tokens-40))
}

func TestOpenLoopSendsAllRequests(t *testing.T) {
	f := newFakeEntry(t)
	p := f.plan()
	p.Rate = 2000
	r, err := Run(context.Background(), p)
	assert.NilError(t, err)
	assert.Equal(t, r.Total.Verdicts[string(OK)], 40)
}

// Each case is a wrong answer that could pass for a right one: it ends early, repeats itself,
// or belongs to another request. The check must return the verdict for each of them.
func TestWrongAnswersGetTheirVerdict(t *testing.T) {
	cases := map[string]struct {
		override func(w http.ResponseWriter, try int, prompt string, maxTokens int) bool
		want     Verdict
	}{
		"stops early, yet ends": {func(w http.ResponseWriter, _ int, p string, n int) bool {
			stream(w, p, p, n-1, true)
			return true
		}, NotWhole},
		"more tokens than asked for": {func(w http.ResponseWriter, _ int, p string, n int) bool {
			stream(w, p, p, n+1, true)
			return true
		}, NotWhole},
		"another request's text": {func(w http.ResponseWriter, _ int, p string, n int) bool {
			stream(w, p, p+"other", n, true)
			return true
		}, NotOwn},
		"one id for all": {func(w http.ResponseWriter, _ int, p string, n int) bool {
			stream(w, "same", p, n, true)
			return true
		}, Doubled},
		"goes on after its end": {func(w http.ResponseWriter, _ int, p string, n int) bool {
			stream(w, p, p, n, true)
			_, _ = w.Write([]byte("data: {}\n\n"))
			return true
		}, NotWhole},
		"no JSON": {func(w http.ResponseWriter, _ int, _ string, _ int) bool {
			_, _ = w.Write([]byte("<html>"))
			return true
		}, Malformed},
		"no end mark": {func(w http.ResponseWriter, _ int, p string, n int) bool {
			stream(w, p, p, n, false)
			return true
		}, Cut},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFakeEntry(t)
			f.override = c.override
			p := f.plan()
			p.Flows[0].MaxTokens, p.Retries = 8, 0
			p.Flows, p.Count = p.Flows[:1], 2
			r, err := Run(context.Background(), p)
			assert.NilError(t, err)
			// The first of two requests with the same id is not doubled yet.
			assert.Assert(t, r.Total.Verdicts[string(c.want)] >= 1, "%v", r.Total.Verdicts)
			assert.Equal(t, r.Broken > 0, c.want.Broken())
		})
	}
}

// A connection is closed in the middle of an answer, as when an entry crashes. The caller sends
// the request again with the same key and gets the complete answer. The report must not count
// the interrupted attempt as an answer.
func TestCutRequestIsRetriedWithSameKey(t *testing.T) {
	f := newFakeEntry(t)
	f.override = func(w http.ResponseWriter, try int, p string, n int) bool {
		if try == 1 {
			stream(w, p, p, n-1, false)
		}
		return try == 1
	}
	p := f.plan()
	p.Count = 3
	r, err := Run(context.Background(), p)
	assert.NilError(t, err)
	assert.Equal(t, r.Total.Verdicts[string(OK)], 3)
	assert.Equal(t, r.Total.Retries, 3)
	assert.Equal(t, len(f.keys), 3)
}

// Callers that retry at once, or all at the same moment, prolong an overload. Retry-After must
// be a lower bound, with jitter added to it.
func TestRetryAfterIsALowerBound(t *testing.T) {
	a := &answer{refusal: failure.New(failure.TypeOverloaded, ""), retryAfter: 3 * time.Second}
	for range 100 {
		wait, again := retryWait(Refused, a)
		assert.Assert(t, again)
		assert.Assert(t, wait >= a.retryAfter && wait <= a.retryAfter*6/5)
	}
	_, again := retryWait(Refused, &answer{refusal: failure.New(failure.TypeRequestCrashesBackend, "")})
	assert.Assert(t, !again, "a refusal without Retry-After is final")
}

func TestFinalRefusalIsCountedByTypeAndRan(t *testing.T) {
	f := newFakeEntry(t)
	f.override = func(w http.ResponseWriter, _ int, _ string, _ int) bool {
		failure.Write(w, failure.New(failure.TypeUnknownModel, "no such model").WithRan(failure.RanNo))
		return true
	}
	r, err := Run(context.Background(), f.plan())
	assert.NilError(t, err)
	assert.Equal(t, r.Total.Refusals["unknown_model/no"], 40)
	assert.Equal(t, r.Total.Retries, 0)
}

func TestSameSeedDrawsTheSameRequests(t *testing.T) {
	p := newFakeEntry(t).plan()
	p.Rate = 10
	a, b := newRequestSource(p), newRequestSource(p)
	for range p.Count {
		x, _ := a.draw()
		y, _ := b.draw()
		assert.Equal(t, x, y)
		assert.Assert(t, strings.HasSuffix(x.prompt, " "+x.marker))
	}
	_, more := a.draw()
	assert.Assert(t, !more)
}

func TestInvalidPlanIsRefused(t *testing.T) {
	for name, override := range map[string]func(*Plan){
		"remote target": func(p *Plan) { p.Targets = []string{"10.0.0.1:8080"} },
		"host name":     func(p *Plan) { p.Targets = []string{"localhost:8080"} },
		"no bound":      func(p *Plan) { p.Count = 0 },
		"endless":       func(p *Plan) { p.Duration = MaxDuration + 1 },
		"both kinds":    func(p *Plan) { p.Flows[0].Service = "records" },
	} {
		t.Run(name, func(t *testing.T) {
			p := newFakeEntry(t).plan()
			override(p)
			assert.Assert(t, errors.Is(p.Check(), ErrPlan))
		})
	}
	p := newFakeEntry(t).plan()
	p.Targets, p.AllowRemote = []string{"10.0.0.1:8080"}, true
	assert.NilError(t, p.Check())
}
