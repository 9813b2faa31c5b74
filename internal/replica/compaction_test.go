package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against snapshots that rewrite a large state too often. A replica holds megabytes of
// records and gets two small commands for each request, so a snapshot every 128 entries would
// rewrite the whole state again and again. A snapshot of a small state may be that frequent, so
// that a restart applies few entries.
func TestCompactionDependsOnTheSizeOfTheState(t *testing.T) {
	for _, c := range []struct {
		name         string
		state, bytes int
		entries      uint64
		want         bool
	}{
		{"nothing new", 0, 0, 0, false},
		{"a small state, few entries", 30 << 10, 30 << 10, 127, false},
		{"a small state, enough entries", 30 << 10, 30 << 10, 128, true},
		{"a large state, enough entries for a small one", 4 << 20, 30 << 10, 128, false},
		{"a large state, a fourth of it in the log", 4 << 20, 1 << 20, 500, true},
		{"a large state, many small entries", 4 << 20, 30 << 10, 1024, true},
		{"few entries, but large", 0, maxBytesSinceSnapshot, 3, true},
	} {
		n := &Node{snapshotBytes: c.state, bytesSinceSnap: c.bytes}
		n.opts.SnapshotEntries = defaultSnapshotEntries
		assert.Equal(t, n.compactionDue(c.entries), c.want, c.name)
	}
}
