package bounded

import "sync"

// Memory bounds the memory that messages take together while they are read and used. Large messages share half of it,
// so that they leave the other half to others. It is safe for concurrent use.
type Memory struct {
	limit, large int64

	mu sync.Mutex
	// used is the reserved memory, usedByLarge the part of it that large messages have reserved.
	used, usedByLarge int64
	// refused counts the refused reservations since the last sample.
	refused int
}

// MemorySample is the state of a Memory.
type MemorySample struct {
	// Limit, Used and UsedByLarge are in bytes.
	Limit, Used, UsedByLarge int64
	// Refused counts the refused reservations since the last sample.
	Refused int
}

// NewMemory returns a Memory of limit bytes, for which a message of more than large bytes is large.
func NewMemory(limit, large int64) *Memory { return &Memory{limit: limit, large: large} }

// Grow reserves more bytes for a message that has reserved some, and reports whether there was room for them.
func (m *Memory) Grow(reserved, more int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	moreLarge := m.largePart(reserved+more) - m.largePart(reserved)
	if m.used+more > m.limit || (moreLarge > 0 && m.usedByLarge+moreLarge > m.limit/2) {
		m.refused++
		return false
	}
	m.used += more
	m.usedByLarge += moreLarge
	return true
}

// Release releases what a message has reserved.
func (m *Memory) Release(reserved int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= reserved
	m.usedByLarge -= m.largePart(reserved)
}

// largePart returns the part of a message's memory that counts as that of large messages: all or nothing.
func (m *Memory) largePart(reserved int64) int64 {
	if reserved > m.large {
		return reserved
	}
	return 0
}

// Sample returns what is reserved, and what was refused since the last sample.
func (m *Memory) Sample() MemorySample {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := MemorySample{Limit: m.limit, Used: m.used, UsedByLarge: m.usedByLarge, Refused: m.refused}
	m.refused = 0
	return s
}
