package entry

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
)

func TestKeyHasOneHolder(t *testing.T) {
	at := time.Unix(0, 0)
	h := newHolders()
	assert.Equal(t, h.hold(at, "k", "b", "e1", "j1", time.Minute), holdResult{entry: "e1"})
	assert.Equal(t, h.hold(at, "k", "b", "e2", "j2", time.Minute), holdResult{entry: "e1"})
	assert.Equal(t, h.hold(at, "k", "other", "e2", "j2", time.Minute), holdResult{reused: true})
	assert.Equal(t, h.hold(at.Add(2*time.Minute), "k", "b", "e2", "j2", time.Minute), holdResult{entry: "e2"})
}

// A job runs in part and fails; its caller is told that it may have run. The caller resends to
// another entry, which is full and refuses. The refusal must not state that the request did not
// run.
func TestBegunRunIsRemembered(t *testing.T) {
	at := time.Unix(0, 0)
	for _, c := range []struct {
		name            string
		complete, begun bool
		want            holdResult
	}{
		{"refused", false, false, holdResult{entry: "e2"}},
		{"began and failed", false, true, holdResult{entry: "e2", begun: true}},
		{"answered", true, true, holdResult{entry: "e1", begun: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHolders()
			h.hold(at, "k", "b", "e1", "j1", time.Minute)
			h.release(at, "k", "another", "j1", false, false)
			h.release(at, "k", "e1", "earlier", false, true)
			h.release(at, "k", "e1", "j1", c.complete, c.begun)
			assert.Equal(t, h.hold(at, "k", "b", "e2", "j2", time.Minute), c.want)
		})
	}
}

// A home restarts and has lost the information that a key ran. Another entry that refuses a
// resend must not state that the request did not run.
func TestRestartedHomeAssumesRunsBegan(t *testing.T) {
	at := time.Unix(0, 0)
	h := newHolders()
	h.assumeBegun(at)
	assert.Equal(t, h.hold(at, "k", "b", "e1", "j1", time.Minute), holdResult{entry: "e1", begun: true})
	later := at.Add(maxTimeout + keptFor + 1)
	assert.Equal(t, h.hold(later, "l", "b", "e1", "j1", time.Minute), holdResult{entry: "e1"})
}

func TestHoldersAreBounded(t *testing.T) {
	h := newHolders()
	for i := range maxHolders + 10 {
		h.hold(time.Unix(0, 0), strconv.Itoa(i), "b", "e1", "j1", time.Minute)
	}
	assert.Equal(t, len(h.keys), maxHolders)
	assert.Equal(t, h.order.Len(), maxHolders)
}

// One of nine entries is lost. Only the keys that it was home to may move: resends of all
// others must still find their holder.
func TestLostEntryMovesOnlyItsOwnKeys(t *testing.T) {
	entries := map[string]blackboard.Entry{}
	for i := range 9 {
		entries["e"+strconv.Itoa(i)] = blackboard.Entry{}
	}
	before := map[string]string{}
	count := map[string]int{}
	const keys = 9000
	for i := range keys {
		key := strconv.Itoa(i)
		before[key] = homeOf(key, entries)
		count[before[key]]++
	}
	for id, n := range count {
		assert.Assert(t, n > keys/9/2 && n < keys/9*2, "%s is home to %d", id, n)
	}
	delete(entries, "e4")
	for key, home := range before {
		if home != "e4" {
			assert.Equal(t, homeOf(key, entries), home)
		}
	}
}
