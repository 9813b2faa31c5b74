package entry

import (
	"context"
	"io"
	"math"
	"sync"

	"github.com/juju/errors"
)

// memoryBudget limits the bytes that an entry holds for callers and backend servers that read
// or write slowly: request bodies, and answers that their callers have not read yet. It is safe
// for concurrent use.
type memoryBudget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// usedByLarge is the part of used that large answers take.
	usedByLarge int64
	// freed is closed when bytes are released.
	freed chan struct{}
}

// errMemoryLimit is returned for a body that the budget has no capacity for.
const errMemoryLimit = errors.ConstError("the memory limit of this entry for bodies and answers is reached")

func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit, freed: make(chan struct{})}
}

// tryReserve reserves n bytes and reports whether there was capacity for them.
func (m *memoryBudget) tryReserve(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && m.used+int64(n) > m.limit {
		return false
	}
	m.used += int64(n)
	return true
}

// forceReserve reserves n bytes, whether or not there is capacity.
func (m *memoryBudget) forceReserve(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += int64(n)
}

// release releases n bytes.
func (m *memoryBudget) release(n int) {
	if n == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= int64(n)
	close(m.freed)
	m.freed = make(chan struct{})
}

// largeLimit returns the most bytes that large answers take together: half of the budget, or a longest answer.
func (m *memoryBudget) largeLimit() int {
	if m.limit <= 0 {
		return math.MaxInt32
	}
	longest := min(m.limit, maxServiceAnswer+answerChunk)
	return int(max(m.limit/2, longest))
}

// longestAnswer returns the longest answer that the budget has capacity for, in bytes.
func (m *memoryBudget) longestAnswer() int {
	if m.limit <= 0 {
		return math.MaxInt32
	}
	longest := min(m.limit, int64(largeAnswer+m.largeLimit())) - answerChunk
	return int(max(answerChunk, longest))
}

// tryReserveLarge reserves n bytes for a large answer and reports whether there was capacity for them.
func (m *memoryBudget) tryReserveLarge(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	used := m.usedByLarge + int64(n)
	if m.limit > 0 && (m.used+int64(n) > m.limit || used > int64(m.largeLimit())) {
		return false
	}
	m.used += int64(n)
	m.usedByLarge = used
	return true
}

// releaseLarge releases n bytes of a large answer.
func (m *memoryBudget) releaseLarge(n int) {
	m.mu.Lock()
	m.usedByLarge -= int64(n)
	m.mu.Unlock()
	m.release(n)
}

// reserved returns the number of reserved bytes.
func (m *memoryBudget) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve waits until there is capacity for n bytes and reserves them.
func (m *memoryBudget) reserve(ctx context.Context, n int) error {
	return m.await(ctx, func() bool { return m.tryReserve(n) })
}

// reserveLarge does the same for a large answer.
func (m *memoryBudget) reserveLarge(ctx context.Context, n int) error {
	return m.await(ctx, func() bool { return m.tryReserveLarge(n) })
}

// await tries again, whenever bytes are released, until a try succeeds.
func (m *memoryBudget) await(ctx context.Context, try func() bool) error {
	for {
		m.mu.Lock()
		freed := m.freed
		m.mu.Unlock()
		if try() {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

// LimitedBody is a request's body whose bytes count towards the entry's memory budget.
type LimitedBody struct {
	from     io.Reader
	memory   *memoryBudget
	reserved int
}

// LimitBody returns the body of a request. Its bytes count towards the memory budget from when
// they are read until Release.
func (s *Server) LimitBody(from io.Reader) *LimitedBody {
	return &LimitedBody{from: from, memory: s.memory}
}

// Read reads the body. It fails if the memory budget has no capacity for more.
func (b *LimitedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if !b.memory.tryReserve(n) {
		return 0, errors.Trace(errMemoryLimit)
	}
	b.reserved += n
	return n, err
}

// Release releases the bytes of the body.
func (b *LimitedBody) Release() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

// IsMemoryLimit reports whether a body could not be read because the memory budget was used up.
func IsMemoryLimit(err error) bool { return errors.Is(err, errMemoryLimit) }
