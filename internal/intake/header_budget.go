package intake

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronstep/citronstep/internal/metrics"
)

// largeHeader is the memory above which a header counts as large, in bytes. A header of the usual 10 to 20 lines takes
// less than half of it.
const largeHeader = 16 << 10

// HeaderBudget bounds the memory that the headers of all requests of a process take, from their first bytes until the
// requests end. It is safe for concurrent use.
//
// Load: thousands of connections bring headers of legal length that consist of thousands of lines. A line of three
// bytes takes over a hundred in memory, several times that while the request is forwarded, and the process runs out of
// memory before any handler sees a request. Large headers share half of the budget, so that they leave the other half
// to ordinary requests.
type HeaderBudget struct {
	logger log.Logger
	limit  int64
	// closing limits the refused connections that are being answered.
	closing chan struct{}

	mu sync.Mutex
	// used is the reserved memory, usedByLarge the part of it that large headers have reserved.
	used, usedByLarge int64
	// refused counts the refused headers since the last report.
	refused int
}

// maxClosing is how many refused connections get an answer at a time. Others are closed without one.
const maxClosing = 64

// NewHeaderBudget returns a budget of limit bytes.
func NewHeaderBudget(logger log.Logger, limit int64) *HeaderBudget {
	return &HeaderBudget{logger: logger, limit: limit, closing: make(chan struct{}, maxClosing)}
}

// grow reserves more bytes for a header that has reserved some, and reports whether there was room for them.
func (b *HeaderBudget) grow(reserved, more int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	moreLarge := largePart(reserved+more) - largePart(reserved)
	if b.used+more > b.limit || (moreLarge > 0 && b.usedByLarge+moreLarge > b.limit/2) {
		b.refused++
		return false
	}
	b.used += more
	b.usedByLarge += moreLarge
	return true
}

// release releases what a header has reserved.
func (b *HeaderBudget) release(reserved int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= reserved
	b.usedByLarge -= largePart(reserved)
}

// largePart returns the part of a header's memory that counts as that of large headers: all or nothing.
func largePart(reserved int64) int64 {
	if reserved > largeHeader {
		return reserved
	}
	return 0
}

// Report returns what the headers take and what became of them since the last report, and logs it if some were refused.
func (b *HeaderBudget) Report() metrics.HeaderSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := metrics.HeaderSample{Used: b.used, Refused: b.refused}
	if b.refused > 0 {
		_ = level.Info(b.logger).Log("event", "headers_refused", "refused", b.refused, "used_bytes", b.used,
			"used_by_large_bytes", b.usedByLarge, "limit_bytes", b.limit)
	}
	b.refused = 0
	return r
}
