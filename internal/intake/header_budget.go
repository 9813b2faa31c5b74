package intake

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/bounded"
	"github.com/citronstep/citronstep/internal/metrics"
)

// HeaderBudget bounds the memory that the headers of all requests of a process take, from their first bytes until the
// requests end. It is safe for concurrent use.
//
// Load: thousands of connections bring headers of legal length that consist of thousands of lines. A line of three
// bytes takes over a hundred in memory, several times that while the request is forwarded, and the process runs out of
// memory before any handler sees a request.
type HeaderBudget struct {
	logger log.Logger
	memory *bounded.Memory
	// closing limits the refused connections that are being answered.
	closing chan struct{}
}

// maxClosing is how many refused connections get an answer at a time. Others are closed without one.
const maxClosing = 64

// NewHeaderBudget returns a budget of limit bytes.
func NewHeaderBudget(logger log.Logger, limit int64) *HeaderBudget {
	return &HeaderBudget{logger: logger, memory: bounded.NewMemory(limit, bounded.LargeHeader), closing: make(chan struct{}, maxClosing)}
}

// Report returns what the headers take and what became of them since the last report, and logs it if some were refused.
func (b *HeaderBudget) Report() metrics.HeaderSample {
	s := b.memory.Sample()
	if s.Refused > 0 {
		_ = level.Info(b.logger).Log("event", "headers_refused", "refused", s.Refused, "used_bytes", s.Used,
			"used_by_large_bytes", s.UsedByLarge, "limit_bytes", s.Limit)
	}
	return metrics.HeaderSample{Used: s.Used, Refused: s.Refused}
}
