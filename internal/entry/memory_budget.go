package entry

import (
	"context"
	"io"
	"sync"

	"github.com/juju/errors"
)

// memory bounds the bytes that an entry holds for callers and backend servers that read or
// write slowly: request bodies, and answers that their callers have not read yet. It is safe
// for concurrent use.
type memoryBudget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// freed closes when bytes are given back.
	freed chan struct{}
}

// errMemory is returned for a body that the bound leaves no room for.
const errMemoryLimit = errors.ConstError("this entry holds as much for its callers as it may")

func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit, freed: make(chan struct{})}
}

// take counts n bytes in, and tells whether there is room for them.
func (m *memoryBudget) tryReserve(n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.limit > 0 && m.used+int64(n) > m.limit {
		return false
	}
	m.used += int64(n)
	return true
}

// force counts n bytes in, whether there is room or not.
func (m *memoryBudget) forceReserve(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used += int64(n)
}

// give counts n bytes out.
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

// held returns the bytes that are counted in.
func (m *memoryBudget) reserved() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// await counts n bytes in once there is room for them.
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

// Body is a request's body that counts towards what the entry holds.
type Body struct {
	from     io.Reader
	memory   *memoryBudget
	reserved int
}

// HoldBody returns the body of a request, whose bytes are counted from when they are read
// until Release.
func (s *Server) HoldBody(from io.Reader) *Body { return &Body{from: from, memory: s.memory} }

// Read reads the body, and fails where there is no room for more.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if !b.memory.tryReserve(n) {
		return 0, errors.Trace(errMemoryLimit)
	}
	b.reserved += n
	return n, err
}

// Release counts the body out.
func (b *Body) Release() {
	b.memory.release(b.reserved)
	b.reserved = 0
}

// IsMemory tells whether a body could not be read for want of room.
func IsMemory(err error) bool { return errors.Is(err, errMemoryLimit) }
