package blackboard

import (
	"testing"

	"gotest.tools/v3/assert"
)

func applyChange(t *testing.T, b *Board, c Command) (*Board, Change) {
	t.Helper()
	encoded, err := Encode(c)
	assert.NilError(t, err)
	next, _, change, err := b.ApplyChange(encoded)
	assert.NilError(t, err)
	return next, change
}

// Guards against one board revision for each entry that receives the same limit.
func TestSameRateLimitIsWrittenOnce(t *testing.T) {
	limit := func(perSecond float64, heardMillis int64) *RecordRateLimit {
		return &RecordRateLimit{Incarnation: "i", Limit: &RateLimit{PerSecond: perSecond, ReceivedMillis: heardMillis}}
	}
	b, change := applyChange(t, New(), limit(2, 1000))
	assert.Assert(t, change.AffectsEntries())
	assert.Equal(t, b.Revision, uint64(1))
	b, _ = applyChange(t, b, limit(2.1, 1000+confirmIntervalMillis-1))
	assert.Equal(t, b.Revision, uint64(1))
	b, _ = applyChange(t, b, limit(2.1, 1000+confirmIntervalMillis))
	assert.Equal(t, b.Revision, uint64(2))
	b, _ = applyChange(t, b, limit(1, 1000+confirmIntervalMillis))
	assert.Equal(t, b.RateLimits["i"].PerSecond, 1.0)
	b, _ = applyChange(t, b, &RecordRateLimit{Incarnation: "i"})
	assert.Equal(t, len(b.RateLimits), 0)
}

// Guards against entry copies that lack a limit or keep a removed one.
func TestRateLimitsReachEntries(t *testing.T) {
	b, first := applyChange(t, New(), &RecordRateLimit{Incarnation: "i", Limit: &RateLimit{PerSecond: 2}})
	entry := patched(t, b, New().entryCopy(), []Change{first})
	assert.DeepEqual(t, entry.RateLimits, b.RateLimits)

	snapshot, err := b.EncodeForEntries()
	assert.NilError(t, err)
	decoded, err := Decode(snapshot)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.RateLimits, b.RateLimits)

	b, second := applyChange(t, b, &RecordRateLimit{Incarnation: "i"})
	entry = patched(t, b, entry, []Change{second})
	assert.Equal(t, len(entry.RateLimits), 0)
}
