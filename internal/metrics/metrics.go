// Package metrics holds the metrics of a process: a tally scope that reports to Prometheus,
// served under /metrics. docs/operators/metrics.md describes each metric and the values that
// need attention.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/citronstep/citronstep/internal/invariant"
)

// Path is where a process serves its metrics.
const Path = "/metrics"

// reportInterval is the largest age of a counter or gauge on /metrics. Scrapes are seconds
// apart, so an age of one second does not matter.
const reportInterval = time.Second

// Metrics holds all metrics of one process.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter tallyprom.Reporter
	// violations is the number of invariant violations reported so far.
	violations uint64
}

// New returns the metrics of a process and registers them with their help texts.
func New() (*Metrics, error) {
	registry := prom.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:       registry,
		DefaultTimerType: tallyprom.HistogramTimerType,
	})
	for _, d := range Definitions() {
		if err := register(reporter, d); err != nil {
			return nil, errors.Annotate(err, d.Name)
		}
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter: reporter, Separator: tallyprom.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, reporter: reporter}, nil
}

// register registers a metric with its help text and buckets. Histograms are registered as
// timers: tally's own histograms report the bound of a bucket instead of the value, which makes
// their sum wrong.
func register(r tallyprom.Reporter, d Definition) error {
	var err error
	switch d.Kind {
	case KindCounter:
		_, err = r.RegisterCounter(d.Name, d.Tags, d.Help)
	case KindGauge:
		_, err = r.RegisterGauge(d.Name, d.Tags, d.Help)
	case KindHistogram:
		_, err = r.RegisterTimer(d.Name, d.Tags, d.Help, &tallyprom.RegisterTimerOptions{
			TimerType: tallyprom.HistogramTimerType, HistogramBuckets: d.Buckets,
		})
	}
	return errors.Trace(err)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the remaining values and stops reporting.
func (m *Metrics) Close() error { return errors.Trace(m.closer.Close()) }

// Entry returns the metrics of the entry role.
func (m *Metrics) Entry() *Entry { return &Entry{scope: m.scope} }

// Control returns the metrics of the control role.
func (m *Metrics) Control() *Control { return &Control{scope: m.scope} }

// SampleInvariants counts the invariant violations since its previous call. It is not safe for
// concurrent use.
func (m *Metrics) SampleInvariants() {
	now := invariant.ViolationCount()
	m.scope.Counter(nameInvariants).Inc(int64(now - m.violations))
	m.violations = now
}

// HeaderSample is what the headers of requests, or of answers, take now, and what became of them since the last sample.
type HeaderSample struct {
	// Used is the memory reserved for headers, in bytes.
	Used    int64
	Refused int
}

// Headers records what the headers of requests take.
func (m *Metrics) Headers(s HeaderSample) {
	m.scope.Gauge(nameHeaderMemory).Update(float64(s.Used))
	m.scope.Counter(nameHeadersRefused).Inc(int64(s.Refused))
}

// AnswerHeaders records what the headers of backend servers' answers take.
func (m *Metrics) AnswerHeaders(s HeaderSample) {
	m.scope.Gauge(nameAnswerHeaderMemory).Update(float64(s.Used))
	m.scope.Counter(nameAnswerHeadersRefused).Inc(int64(s.Refused))
}

// BodySample is what the bodies of requests that are not callers' take now, and what became of them since the last
// sample.
type BodySample struct {
	// Used is the memory reserved for bodies, in bytes.
	Used    int64
	Refused int
}

// Bodies records what these bodies take.
func (m *Metrics) Bodies(s BodySample) {
	m.scope.Gauge(nameBodyMemory).Update(float64(s.Used))
	m.scope.Counter(nameBodiesRefused).Inc(int64(s.Refused))
}

// ListenerSample is the number of open connections now, and what became of connections since the last sample.
type ListenerSample struct {
	// Open is the number of open connections by listener.
	Open map[string]int
	// Closed counts those without a request that gave way to others, Refused the new ones that found no place.
	Closed, Refused int
}

// Listeners records the connections of the listeners that share a limit.
func (m *Metrics) Listeners(s ListenerSample) {
	for name, open := range s.Open {
		m.scope.Tagged(map[string]string{"listener": name}).Gauge(nameListenerOpen).Update(float64(open))
	}
	for outcome, n := range map[string]int{"unused": s.Closed, "refused": s.Refused} {
		m.scope.Tagged(map[string]string{"reason": outcome}).Counter(nameListenerClosed).Inc(int64(n))
	}
}
