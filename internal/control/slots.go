package control

import (
	"hash/fnv"
	"time"
)

const (
	// answersPerSecond is how many watches with a change a control process answers each second.
	// The replies then take only a part of the processor of a small VM while everything
	// changes.
	answersPerSecond = 800
	// maxSlotPeriod bounds the time between two slots of an entry. Added to the time that a
	// watch is held, it stays below the timeout of the call.
	maxSlotPeriod = 400 * time.Millisecond
)

// untilSlot returns how long the reply to an entry's watch waits after a change. Each entry has
// slots at a regular interval. Its phase is a hash of its ID, so the slots of all entries are
// spread evenly. One reply carries all changes between two slots.
//
// Load: a pool of a thousand VMs starts. For some seconds the board changes twenty times a
// second while two hundred entries watch it. If each change went to each entry at once,
// heartbeats of the consensus would wait behind the replies and the leader would lose its
// leadership. Slots spread the replies evenly, which a pause after each change would not, and
// hardly delay them when there are few entries.
func untilSlot(entry string, entries int, now time.Time) time.Duration {
	period := min(time.Duration(entries)*time.Second/answersPerSecond, maxSlotPeriod)
	if period <= 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	phase := time.Duration(h.Sum64() % uint64(period))
	return period - (time.Duration(now.UnixNano())+phase)%period
}
