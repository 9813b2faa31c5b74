package hearing

import (
	"hash/fnv"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// maxAtLeader is how many backend servers announce themselves to the leader alone,
	// which acts on their word: 1,250 announcements a second at 1,500, about a third of
	// a small control VM's processor and of its descriptors.
	maxAtLeader = 1500
	// returnToLeader is when they go back to the leader, so that one VM more or less moves
	// nobody.
	returnToLeader = 1200
	// receiversAge is how long the list of processes that take announcements is kept.
	receiversAge = 200 * time.Millisecond
	// pushGap is the least time between two frames to a peer: news of hundreds of
	// backend servers within a second goes in some frames.
	pushGap = 25 * time.Millisecond
)

// homes are the processes that backend servers announce themselves to.
type receiverList struct {
	refreshedAt time.Time
	// spread says that there are too many for the leader alone.
	isSpread bool
	entries  []blackboard.Entry
}

// Home returns the peer address of the process that a backend server should announce
// itself to; leader is that of the one that leads, "" if none is known.
//
// Load: thousands of backend servers announce themselves each second. Harm where all go
// to the leader: it has neither the processor nor the descriptors for them beside its
// orders and watches. Past maxAtLeader they are divided among all processes that take announcements
// and were heard within the last second, but for the leader, which has the orders and the
// watches; each by the rendezvous hash of its id, so that one that is lost moves its own part
// alone. What they hear goes to the others at once, see push.
func (h *Hearing) Home(id, leader string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if now.Sub(h.receivers.refreshedAt) > receiversAge {
		h.refreshReceivers(now)
	}
	if !h.receivers.isSpread || len(h.receivers.entries) == 0 {
		return leader
	}
	if receiver, ok := rendezvous(h.receivers.entries, id, leader); ok {
		return receiver.PeerAddress
	}
	return leader
}

// refreshReceivers renews the list. The lock is held.
func (h *Hearing) refreshReceivers(now time.Time) {
	h.receivers.refreshedAt = now
	known := h.table.Known()
	h.receivers.isSpread = known > maxAtLeader || (h.receivers.isSpread && known > returnToLeader)
	h.receivers.entries = h.receivers.entries[:0]
	for id, e := range receivingEntries(h.o.Board().Entries) {
		if id == h.o.Self || h.table.Witness(now, id, evidence.WitnessAge) {
			h.receivers.entries = append(h.receivers.entries, e)
		}
	}
}

// rendezvous returns the entry of the greatest weight for an id, leaving out that of an
// address; false if there is no other.
func rendezvous(entries []blackboard.Entry, id, except string) (best blackboard.Entry, found bool) {
	var most uint64
	for _, e := range entries {
		if e.PeerAddress == except {
			continue
		}
		f := fnv.New64a()
		_, _ = f.Write([]byte(e.ID))
		_, _ = f.Write([]byte{0})
		_, _ = f.Write([]byte(id))
		if w := mix(f.Sum64()); !found || w > most {
			best, most, found = e, w, true
		}
	}
	return best, found
}

// mix spreads the bits of a hash, whose last bytes otherwise decide little.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// spreading tells whether announcements are divided among several processes.
func (h *Hearing) isSpread() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.receivers.isSpread
}
