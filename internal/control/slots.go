package control

import (
	"hash/fnv"
	"time"
)

const (
	// answersPerSecond is how many watches a control process answers with a change in a
	// second: a part of a small VM's processor while everything changes.
	answersPerSecond = 800
	// maxSlotPeriod bounds the time between two slots of an entry: with the time that a
	// watch is held it stays below the timeout of the call.
	maxSlotPeriod = 400 * time.Millisecond
)

// untilSlot returns how long the answer to an entry's watch waits when something has
// changed. Each entry has slots at regular times of its own, spread evenly over all
// entries; what changes between two slots is told together.
//
// Load: a pool of a thousand VMs starts; for some seconds the board changes twenty times
// a second, and two hundred entries watch it. Harm of telling each change to each entry
// at once: heartbeats of the consensus wait behind the answers, and the leader loses its
// leadership. Reason for slots and not for a pause after each change: the answers come
// evenly, and with few entries they wait for next to nothing.
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
