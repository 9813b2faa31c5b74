package entry

import (
	"context"
	"io"
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

// reserved returns the number of reserved bytes.
func (m *memoryBudget) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve waits until there is capacity for n bytes and reserves them.
func (m *memoryBudget) reserve(ctx context.Context, n int) error {
	for {
		m.mu.Lock()
		freed := m.freed
		m.mu.Unlock()
		if m.tryReserve(n) {
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
