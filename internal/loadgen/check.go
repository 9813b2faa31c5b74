package loadgen

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Verdict is the result of checking one request.
type Verdict string

// The verdicts. Those for which Broken returns true violate a guarantee of the system. Refused
// and Cut do not: the caller can detect that it has no complete answer.
const (
	// OK: the caller got the complete answer to its own request, once.
	OK Verdict = "ok"
	// Refused: the request ended with a typed failure.
	Refused Verdict = "refused"
	// Cut: the connection ended early, or no answer came in time.
	Cut Verdict = "cut"
	// NotWhole: the answer was presented as complete but is not.
	NotWhole Verdict = "not_whole"
	// NotOwn: the text is not the answer to this request.
	NotOwn Verdict = "not_own"
	// Doubled: two requests got the same request id, or a non-idempotent request ran more than
	// once.
	Doubled Verdict = "doubled"
	// Malformed: the answer does not conform to the API.
	Malformed Verdict = "malformed"
)

// Broken reports whether the verdict violates a guarantee of the system.
func (v Verdict) Broken() bool {
	return v == NotWhole || v == NotOwn || v == Doubled || v == Malformed
}

// checker compares answers with their requests and with each other.
type checker struct {
	expected func(prompt string, maxTokens int) string
	mu       sync.Mutex
	// owners maps the request id of each answer to the marker of the first request that got it.
	owners map[string]string
}

func newChecker(expected func(string, int) string) *checker {
	return &checker{expected: expected, owners: map[string]string{}}
}

// check returns the verdict on an answer.
func (c *checker) check(f Flow, r request, a *answer) Verdict {
	switch {
	case a.isMalformed:
		return Malformed
	case a.refusal != nil:
		return Refused
	case a.connectionErr != nil || !a.isComplete:
		// A stream without its end mark is cut, which the caller can detect.
		return Cut
	case a.hasDataAfterEnd:
		return NotWhole
	case f.Service != "":
		return c.checkService(f, r, a)
	case a.finish == "" || (a.reportedTokens >= 0 && a.reportedTokens > r.maxTokens) || a.tokens > r.maxTokens:
		return NotWhole
	case a.hasMixedIDs || !c.claimID(a.id, r.marker):
		return Doubled
	case c.expected == nil:
		return OK
	}
	return compareText(a.text.String(), c.expected(r.prompt, r.maxTokens))
}

// compareText distinguishes a text that ends early or goes on too long from the text of another
// request.
func compareText(got, want string) Verdict {
	switch {
	case got == want:
		return OK
	case len(got) < len(want) && got == want[:len(got)]:
		return NotWhole
	case len(got) > len(want) && got[:len(want)] == want:
		return Doubled
	}
	return NotOwn
}

// claimID records the request id for marker and reports whether no other request has it. A
// resend under the same key may get the id of its first attempt.
func (c *checker) claimID(id, marker string) bool {
	if id == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owner, taken := c.owners[id]
	if !taken {
		c.owners[id] = marker
	}
	return !taken || owner == marker
}

// serviceEcho is the answer of a stand-in service. BodyHash is the hash of the received body,
// Run the number of times that the service ran this body.
type serviceEcho struct {
	BodyHash string `json:"body_hash"`
	Run      int    `json:"run"`
}

// checkService checks the answer of a plain service. It can check more than the status only if
// the service is a stand-in, which echoes what it ran.
func (c *checker) checkService(f Flow, r request, a *answer) Verdict {
	if a.status >= http.StatusInternalServerError {
		return Refused
	}
	if c.expected == nil {
		return OK
	}
	var echo serviceEcho
	if err := json.Unmarshal([]byte(a.text.String()), &echo); err != nil {
		return Malformed
	}
	switch {
	case echo.BodyHash != bodyHash(r.prompt):
		return NotOwn
	case f.NonIdempotent && echo.Run != 1:
		return Doubled
	}
	return OK
}

func bodyHash(body string) string {
	const hexBase = 16
	return strconv.FormatUint(xxhash.Sum64String(body), hexBase)
}
