package entry

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronstep/citronstep/internal/blackboard"
)

// The resends of one idempotent request may reach any entry. Each key has a
// home entry, found by rendezvous hashing, which knows the entry that runs the
// request or keeps its answer; the others attach to that one. Only a few bytes
// a key go to the home, and nothing is written to a disk: when the home is lost
// a resend may run the request again, which its caller has allowed by calling
// it idempotent.

// maxHolders bounds the keys that one home remembers; the oldest go first.
const maxHolders = 100_000

// holders is what one home entry knows. It has no clock and is not safe for
// concurrent use.
type holders struct {
	keys map[string]*holder
	// order lists the keys, oldest first.
	order *list.List
}

type holder struct {
	key   string
	body  string
	entry string
	begun bool
	until time.Time
	place *list.Element
}

func newHolders() *holders {
	return &holders{keys: make(map[string]*holder), order: list.New()}
}

// held is the answer to a hold.
type held struct {
	entry  string
	reused bool
	begun  bool
}

// hold makes an entry the holder of a key that has none, and says who holds it.
func (h *holders) hold(now time.Time, key, body, entry string, lifetime time.Duration) held {
	old, ok := h.keys[key]
	if ok && now.After(old.until) {
		h.drop(old)
		ok = false
	}
	if !ok {
		h.add(&holder{key: key, body: body, entry: entry, until: now.Add(lifetime)})
		return held{entry: entry}
	}
	if old.body != body {
		return held{reused: true}
	}
	if old.entry == "" {
		old.entry = entry
		old.until = now.Add(lifetime)
	}
	return held{entry: old.entry, begun: old.begun}
}

// release notes how the holder's run ended. A run that began and has no whole
// answer leaves a mark, so that no later refusal of the key says "not run".
func (h *holders) release(now time.Time, key, entry string, whole, begun bool) {
	old, ok := h.keys[key]
	if !ok || old.entry != entry {
		return
	}
	old.begun = old.begun || begun
	old.until = now.Add(keptFor)
	if whole {
		return
	}
	if !old.begun {
		h.drop(old)
		return
	}
	old.entry = ""
}

func (h *holders) add(n *holder) {
	n.place = h.order.PushBack(n)
	h.keys[n.key] = n
	for len(h.keys) > maxHolders {
		h.drop(h.order.Front().Value.(*holder))
	}
}

func (h *holders) drop(old *holder) {
	h.order.Remove(old.place)
	delete(h.keys, old.key)
}

// homeOf returns the entry that is home to a key: the one of greatest
// rendezvous weight, so that a lost entry moves its own keys alone.
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
