package loadgen

import (
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the histograms: from a microsecond to an hour, with three significant digits.
const (
	lowestMicros  = 1
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
)

// maxExamples bounds the examples of broken answers in a report.
const maxExamples = 10

// Times are quantiles of one measured time, in milliseconds.
type Times struct {
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean_ms"`
	Median float64 `json:"p50_ms"`
	P95    float64 `json:"p95_ms"`
	P99    float64 `json:"p99_ms"`
	Max    float64 `json:"max_ms"`
}

// FlowReport is the result of one flow or of all flows.
type FlowReport struct {
	Name     string         `json:"name"`
	Requests int            `json:"requests"`
	Verdicts map[string]int `json:"verdicts"`
	// Refusals counts the final refusals by type and by whether the request ran, as in
	// "overloaded/no".
	Refusals map[string]int `json:"refusals,omitempty"`
	Retries  int            `json:"retries"`
	Tokens   int            `json:"tokens"`
	// FirstToken, BetweenTokens and Whole cover the answers with verdict OK. FirstToken and
	// Whole count from the time at which the request was due.
	FirstToken    Times `json:"first_token"`
	BetweenTokens Times `json:"between_tokens"`
	Whole         Times `json:"whole"`

	first, between, whole *hdrhistogram.Histogram
}

// Example identifies one broken answer, so that it can be found in the logs.
type Example struct {
	Verdict   Verdict `json:"verdict"`
	Flow      string  `json:"flow"`
	Key       string  `json:"idempotency_key"`
	RequestID string  `json:"request_id"`
}

// Report is the result of a load run.
type Report struct {
	Seed    uint64  `json:"seed"`
	RunID   string  `json:"run_id"`
	Seconds float64 `json:"seconds"`
	// Held counts the requests of an open loop that were due while Concurrency requests were
	// open. If it is not 0, the load was lower than requested.
	Held int `json:"held"`
	// Exact is set when each text was compared with the expected text; otherwise only the form
	// of the answers was checked.
	Exact    bool          `json:"exact"`
	Total    *FlowReport   `json:"total"`
	Flows    []*FlowReport `json:"flows"`
	Examples []Example     `json:"examples,omitempty"`
	Broken   int           `json:"broken"`
}

func newReport(p *Plan) *Report {
	r := &Report{Seed: p.Seed, RunID: p.RunID, Exact: p.Expected != nil, Total: newFlowReport("all")}
	for _, f := range p.Flows {
		r.Flows = append(r.Flows, newFlowReport(f.Name))
	}
	return r
}

func newFlowReport(name string) *FlowReport {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &FlowReport{
		Name: name, Verdicts: map[string]int{}, Refusals: map[string]int{},
		first: newHistogram(), between: newHistogram(), whole: newHistogram(),
	}
}

func (r *Report) add(o outcome) {
	flow := r.Flows[o.flow]
	r.Total.add(o)
	flow.add(o)
	if !o.verdict.Broken() {
		return
	}
	r.Broken++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, Example{Verdict: o.verdict, Flow: flow.Name, Key: o.marker, RequestID: o.id})
	}
}

func (f *FlowReport) add(o outcome) {
	f.Requests++
	f.Verdicts[string(o.verdict)]++
	f.Retries += o.tries - 1
	if o.refusal != "" {
		f.Refusals[string(o.refusal)+"/"+string(o.ran)]++
	}
	if o.verdict != OK {
		return
	}
	f.Tokens += o.tokens
	record(f.first, o.first)
	record(f.whole, o.whole)
	for _, gap := range o.gaps {
		record(f.between, gap)
	}
}

// record adds a time to a histogram. A time above the range counts as the end of the range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(lowestMicros, d.Microseconds()), highestMicros))
}

// finish sets the duration, the number of held requests and the quantiles.
func (r *Report) finish(took time.Duration, held int) {
	r.Seconds = took.Seconds()
	r.Held = held
	for _, f := range append([]*FlowReport{r.Total}, r.Flows...) {
		f.FirstToken, f.BetweenTokens, f.Whole = times(f.first), times(f.between), times(f.whole)
	}
}

func times(h *hdrhistogram.Histogram) Times {
	if h.TotalCount() == 0 {
		return Times{}
	}
	const microsPerMilli = 1000
	quantile := func(percentile float64) float64 {
		return float64(h.ValueAtPercentile(percentile)) / microsPerMilli
	}
	return Times{
		Count: h.TotalCount(), Mean: h.Mean() / microsPerMilli,
		Median: quantile(50), P95: quantile(95), P99: quantile(99), Max: float64(h.Max()) / microsPerMilli,
	}
}

// Lines formats the counts of a map as "name=count", sorted by descending count.
func Lines(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if counts[names[i]] != counts[names[j]] {
			return counts[names[i]] > counts[names[j]]
		}
		return names[i] < names[j]
	})
	for i, name := range names {
		names[i] = name + "=" + strconv.Itoa(counts[name])
	}
	return names
}
