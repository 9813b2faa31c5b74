package loadgen

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Verdict is what a request came to.
type Verdict string

// The verdicts. Those that Broken names break a promise of the system; Refused
// and Cut do not, as the caller can tell that it has no whole answer.
const (
	// OK: the whole answer to its own request, once.
	OK Verdict = "ok"
	// Refused: a typed failure was the last word.
	Refused Verdict = "refused"
	// Cut: the connection ended, or nothing came in time.
	Cut Verdict = "cut"
	// NotWhole: it was passed off as whole and was not.
	NotWhole Verdict = "not_whole"
	// NotOwn: the text is not the answer to this request.
	NotOwn Verdict = "not_own"
	// Doubled: a request id was given to two requests, or a non-idempotent
	// request ran more than once.
	Doubled Verdict = "doubled"
	// Malformed: not what the API promises.
	Malformed Verdict = "malformed"
)

// Broken tells whether a verdict breaks a promise of the system.
func (v Verdict) Broken() bool {
	return v == NotWhole || v == NotOwn || v == Doubled || v == Malformed
}

// judge checks answers against each other and against what was asked.
type checker struct {
	expected func(prompt string, maxTokens int) string
	mu       sync.Mutex
	// owners maps each answer's request id to the marker that got it first.
	owners map[string]string
}

func newChecker(expected func(string, int) string) *checker {
	return &checker{expected: expected, owners: map[string]string{}}
}

func (c *checker) check(f Flow, r request, a *answer) Verdict {
	switch {
	case a.isMalformed:
		return Malformed
	case a.refusal != nil:
		return Refused
	case a.connectionErr != nil || !a.isComplete:
		// A stream without its end mark is cut, and its caller can tell.
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

// compareText tells an answer that stops early or goes on from one that
// belongs to another request.
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

// owns tells whether the id belongs to this request alone. A resend under the
// same key may get the id of its first try.
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

// serviceEcho is what a stand-in service answers; BodyHash is the hash of the
// body that it got, Run how often it ran that body.
type serviceEcho struct {
	BodyHash string `json:"body_hash"`
	Run      int    `json:"run"`
}

// judgeService can check more than the status only where the service is a
// stand-in, which echoes what it ran.
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
