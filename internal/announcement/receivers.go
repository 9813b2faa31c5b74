package announcement

import (
	"hash/fnv"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// maxAtLeader is the largest number of backend servers that all announce themselves
	// to the leader, which acts on announcements. 1,500 servers send 1,250 announcements
	// a second, which take about a third of a small control VM's processor and of its
	// file descriptors.
	maxAtLeader = 1500
	// returnToLeader is the number of backend servers at or below which all announce to the
	// leader again. The distance from maxAtLeader keeps a change of one VM from moving them.
	returnToLeader = 1200
	// receiversAge is the maximum age of the list of announcement receivers.
	receiversAge = 200 * time.Millisecond
	// pushGap is the delay before a pushed frame. It combines the changes of hundreds of
	// backend servers within a second into a few frames.
	pushGap = 25 * time.Millisecond
)

// receiverList holds the processes that backend servers announce themselves to.
type receiverList struct {
	refreshedAt time.Time
	// isSpread is set when the leader alone can't receive all announcements.
	isSpread bool
	entries  []blackboard.Entry
}

// ReceiverFor returns the peer address of the process that a backend server should announce
// itself to. leader is the peer address of the current leader, "" if none is known.
//
// Load: thousands of backend servers announce themselves each second. The leader lacks the
// processor time and the file descriptors to receive them all beside its orders and watches.
// Above maxAtLeader they are divided among the receiving processes other than the leader
// whose last digest is at most evidence.MaxDigestAge old. Rendezvous hashing of the server id
// assigns them, so the loss of a process moves only the servers assigned to it. The
// receiving process pushes their announcements to its peers at once, see exchange.push.
func (h *Receiver) ReceiverFor(id, leader string) string {
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

// refreshReceivers rebuilds the receiver list. The caller must hold h.mu.
func (h *Receiver) refreshReceivers(now time.Time) {
	h.receivers.refreshedAt = now
	known := h.table.Len()
	h.receivers.isSpread = known > maxAtLeader || (h.receivers.isSpread && known > returnToLeader)
	h.receivers.entries = h.receivers.entries[:0]
	for id, e := range receivingEntries(h.o.Board().Entries) {
		if id == h.o.Self || h.table.HasRecentDigest(now, id, evidence.MaxDigestAge) {
			h.receivers.entries = append(h.receivers.entries, e)
		}
	}
}

// rendezvous returns the entry with the greatest rendezvous weight for an id. It leaves
// out the entry whose peer address is except, and returns false if no other is left.
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

// mix is a 64-bit finaliser. Without it, the last bytes that FNV hashes would hardly
// affect the order of the weights.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// isSpread reports whether announcements are divided among several processes.
func (h *Receiver) isSpread() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.receivers.isSpread
}
