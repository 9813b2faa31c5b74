package logsink

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// A peer sends a thousand malformed heartbeats a second. The log must show the first lines of
// each second and the number of dropped lines.
func TestLimitedReportsDroppedLines(t *testing.T) {
	var lines [][]any
	l := Limit(log.LoggerFunc(func(keyvals ...any) error {
		lines = append(lines, keyvals)
		return nil
	}), 3)
	now := time.Unix(100, 0)
	l.now = func() time.Time { return now }
	for range 1000 {
		assert.NilError(t, l.Log("event", "refuse"))
	}
	assert.Equal(t, len(lines), 3)
	now = now.Add(time.Second)
	assert.NilError(t, l.Log("event", "refuse"))
	assert.DeepEqual(t, lines[3], []any{"event", "refuse", "dropped_before", 997})
}
