package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that wait until their deadline for slots that other requests get.
func TestRequestsBeyondTheSlotsAreRefusedAtOnce(t *testing.T) {
	q := New(twoClasses())
	place := func(id, class string) Request {
		r := request(id, "audit", class, 10)
		r.MaxPlaceable = 2
		return r
	}
	mustQueue(t, q, start, place("a", "draft"))
	mustQueue(t, q, start, place("b", "draft"))
	refused := q.Offer(start, place("c", "draft")).Refusal
	assert.Equal(t, refused.Reason, ReasonDeadlineUnreachable)
	assert.Assert(t, refused.RetryAfter > 0)

	mustQueue(t, q, start, place("d", "memo"))
	mustQueue(t, q, start, request("e", "audit", "draft", 10))
}
