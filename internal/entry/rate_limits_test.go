package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a rate limit that ends with an answer to a request sent before it was named.
func TestAnEarlierRequestDoesNotEndARateLimit(t *testing.T) {
	l, named, sent := newRateLimits(), 1.8, time.Now()
	second := func(n int) time.Time { return sent.Add(time.Duration(n) * time.Second) }

	_, changed := l.heard(second(2), second(1), "i", &named)
	assert.Assert(t, changed)
	_, changed = l.heard(second(3), second(1), "i", &named)
	assert.Assert(t, !changed)
	_, changed = l.heard(second(4), second(2), "i", nil)
	assert.Assert(t, !changed)
	assert.Equal(t, l.count(), 1)

	_, changed = l.heard(second(6), second(5), "i", nil)
	assert.Assert(t, changed)
	assert.Assert(t, !l.limits("i"))
}
