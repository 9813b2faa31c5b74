package announcement

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// controlVM returns a process that receives announcements, as do four others of the 105
// entries on its board. Its table holds the given number of backend servers.
func controlVM(servers int) *Receiver {
	board := blackboard.New()
	for n := range 5 {
		id := fmt.Sprint("core-", n)
		board.Entries[id] = blackboard.Entry{ID: id, PeerAddress: id}
	}
	for n := range 100 {
		id := fmt.Sprint("entry-", n)
		board.Entries[id] = blackboard.Entry{ID: id, PeerAddress: id, Deaf: true}
	}
	h := New(Options{
		Self: "core-0", Board: func() *blackboard.Board { return board }, Lease: func() time.Duration { return time.Minute },
		Logger: log.NewNopLogger(),
	})
	now := time.Now()
	h.WithTable(func(t *evidence.Table) {
		for n := range 5 {
			t.Merge(now, fmt.Sprint("core-", n), nil)
		}
		for n := range servers {
			t.Record(now, "core-0", backend.Announcement{ID: fmt.Sprint("vm-", n), Kind: backend.KindEngine, Incarnation: "a", Sequence: 1})
		}
	})
	return h
}

// countReceivers returns how many of the backend servers ReceiverFor assigns to each address.
func countReceivers(h *Receiver, servers int) map[string]int {
	count := make(map[string]int)
	for n := range servers {
		count[h.ReceiverFor(fmt.Sprint("vm-", n), "core-3")]++
	}
	return count
}

// In a pool of some hundred backend servers the leader acts on each announcement at once,
// so all must be assigned to the leader.
func TestFewBackendServersAnnounceToTheLeader(t *testing.T) {
	assert.DeepEqual(t, countReceivers(controlVM(maxAtLeader), maxAtLeader), map[string]int{"core-3": maxAtLeader})
}

// 3,000 backend servers send 2,500 announcements a second, each server on its own
// connection. One control VM lacks the processor time and file descriptors for all of them,
// and the leader needs its own for orders. The servers must be divided evenly among the
// other receivers. When a receiver falls silent, only the servers assigned to it move.
func TestManyBackendServersAreSpreadOverReceivers(t *testing.T) {
	const servers = 3000
	h := controlVM(servers)
	assert.Assert(t, h.ReceiverFor("vm-0", "core-3") != "core-3")
	h.mu.Lock()
	h.receivers.refreshedAt = time.Now().Add(time.Minute)
	h.mu.Unlock()
	before := make(map[string]string)
	for n := range servers {
		id := fmt.Sprint("vm-", n)
		before[id] = h.ReceiverFor(id, "core-3")
	}
	homes := countReceivers(h, servers)
	assert.Equal(t, len(homes), 4)
	for home, n := range homes {
		assert.Assert(t, home != "core-3", "the leader receives %d", n)
		assert.Assert(t, n > servers/4*8/10 && n < servers/4*12/10, "%s receives %d", home, n)
	}

	h.WithTable(func(t *evidence.Table) {
		for n := range 4 {
			t.Merge(time.Now().Add(2*evidence.MaxDigestAge), fmt.Sprint("core-", n), nil)
		}
	})
	h.mu.Lock()
	h.refreshReceivers(time.Now().Add(2 * evidence.MaxDigestAge))
	h.receivers.refreshedAt = time.Now().Add(time.Minute)
	h.mu.Unlock()
	for id, home := range before {
		now := h.ReceiverFor(id, "core-3")
		assert.Assert(t, now != "core-4")
		assert.Assert(t, home == "core-4" || now == home, "%s moved from %s to %s", id, home, now)
	}
}
