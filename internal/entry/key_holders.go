package entry

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// The resends of one idempotent request may reach any entry. Each key has a home entry, found
// by rendezvous hashing. The home knows which entry runs the request or keeps its answer, and
// the other entries attach to that one. Only a few bytes for each key go to the home, and
// nothing is written to disk. If the home is lost, a resend may run the request again, which
// the caller has allowed by declaring it idempotent.

// maxHolders is how many keys one home remembers; the oldest are removed first.
const maxHolders = 100_000

// holders is the key table of one home entry. It has no clock and is not safe for concurrent
// use.
type holders struct {
	keys map[string]*holder
	// order lists the keys, oldest first.
	order *list.List
	// assumeBegunUntil is until when an unknown key counts as run before: this home has
	// started, the set of entries has changed, or keys were removed to free capacity.
	assumeBegunUntil time.Time
}

type holder struct {
	key         string
	fingerprint string
	entry       string
	// job is the holder's run. A late release of an earlier run frees nothing.
	job     string
	begun   bool
	until   time.Time
	element *list.Element
}

func newHolders() *holders {
	return &holders{keys: make(map[string]*holder), order: list.New()}
}

// holdResult is the result of a hold.
type holdResult struct {
	entry  string
	reused bool
	begun  bool
}

// hold makes an entry the holder of a key that has none, and returns the key's holder.
func (h *holders) hold(now time.Time, key, fingerprint, entry, job string, lifetime time.Duration) holdResult {
	old, ok := h.keys[key]
	if ok && now.After(old.until) {
		h.remove(old)
		ok = false
	}
	if !ok {
		begun := now.Before(h.assumeBegunUntil)
		h.add(now, &holder{key: key, fingerprint: fingerprint, entry: entry, job: job, begun: begun, until: now.Add(lifetime)})
		return holdResult{entry: entry, begun: begun}
	}
	if old.fingerprint != fingerprint {
		return holdResult{reused: true}
	}
	if old.entry == "" {
		old.entry, old.job = entry, job
		old.until = now.Add(lifetime)
	}
	return holdResult{entry: old.entry, begun: old.begun}
}

// release records how the holder's run ended. A run that began and has no complete answer
// leaves a mark, so that no later refusal of the key claims that the request did not run.
//
// An empty job frees the key from an entry that could not be reached.
func (h *holders) release(now time.Time, key, entry, job string, complete, begun bool) {
	old, ok := h.keys[key]
	if !ok || old.entry != entry || (job != "" && old.job != job) {
		return
	}
	old.begun = old.begun || begun
	old.until = now.Add(keptFor)
	if complete {
		return
	}
	if !old.begun {
		h.remove(old)
		return
	}
	old.entry = ""
}

// assumeBegun makes unknown keys count as run before, for as long as any run of them may go on.
func (h *holders) assumeBegun(now time.Time) {
	h.assumeBegunUntil = now.Add(maxTimeout + keptFor)
}

func (h *holders) add(now time.Time, n *holder) {
	n.element = h.order.PushBack(n)
	h.keys[n.key] = n
	for len(h.keys) > maxHolders {
		h.assumeBegun(now)
		h.remove(h.order.Front().Value.(*holder))
	}
}

func (h *holders) remove(old *holder) {
	h.order.Remove(old.element)
	delete(h.keys, old.key)
}

// homeOf returns the home entry of a key: the one of greatest rendezvous weight. So the loss of
// an entry moves only the keys that it was home to.
func homeOf(key string, entries map[string]blackboard.Entry) string {
	home, best := "", uint64(0)
	for id := range entries {
		w := xxhash.Sum64String(key + "\x00" + id)
		if home == "" || w > best || (w == best && id < home) {
			home, best = id, w
		}
	}
	return home
}
