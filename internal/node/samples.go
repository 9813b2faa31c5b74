package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/entry"
	"github.com/citronstep/citronstep/internal/metrics"
)

// sampleInterval is the time between two samples of the gauges, and between two looks at what is open.
const sampleInterval = entry.OpenReportInterval

func (n *Node) sampleLoop(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.metrics.SampleInvariants()
			n.metrics.Headers(n.headers.Report())
			n.metrics.Listeners(n.connLimit.Report())
			n.reportBodies()
			n.reportAnswerHeaders()
			if n.entry != nil {
				n.entry.SetGauges()
				n.entry.ReportOpen(time.Now())
				n.metrics.Entry().Intake(n.gate.Report(time.Now()))
			}
		case <-ctx.Done():
			return
		}
	}
}

// reportBodies records what the bodies of requests that are not callers' take, and logs it if some were refused.
func (n *Node) reportBodies() {
	s := n.bodies.Sample()
	n.metrics.Bodies(metrics.BodySample{Used: s.Used, Refused: s.Refused})
	if s.Refused > 0 {
		_ = level.Info(n.logger).Log("event", "bodies_refused", "refused", s.Refused, "used_bytes", s.Used,
			"used_by_large_bytes", s.UsedByLarge, "limit_bytes", s.Limit)
	}
}

// reportAnswerHeaders records what the headers of backend servers' answers take, and logs it if some had no room.
func (n *Node) reportAnswerHeaders() {
	requests, orders := n.backendClient.HeadSample(), n.orderClient.HeadSample()
	s := metrics.HeaderSample{Used: requests.Used + orders.Used, Refused: requests.Refused + orders.Refused}
	n.metrics.AnswerHeaders(s)
	if s.Refused > 0 {
		_ = level.Warn(n.logger).Log("event", "answer_headers_refused", "refused", s.Refused, "used_bytes", s.Used,
			"used_by_large_bytes", requests.UsedByLarge+orders.UsedByLarge, "limit_bytes", requests.Limit)
	}
}
