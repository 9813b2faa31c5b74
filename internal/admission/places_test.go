package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that are held to their deadline for places that others get.
func TestRequestsBeyondThePlacesAreRefusedAtOnce(t *testing.T) {
	q := New(twoClasses())
	place := func(id, class string) Request {
		r := request(id, "audit", class, 10)
		r.Places = 2
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
