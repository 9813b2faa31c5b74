package control

import (
	"hash/fnv"
	"time"
)

const (
	// answersPerSecond is how many watches the leader answers with a change in a
	// second. An answer takes about 0.2 ms of a processor, so that half of the core
	// that a control VM has goes to them at most while everything changes.
	answersPerSecond = 800
	// slowestSlot bounds the time between two slots of an entry: with the time that a
	// watch is held it stays below the timeout of the call.
	slowestSlot = 400 * time.Millisecond
)

// untilSlot returns how long the answer to an entry's watch waits when something has
// changed. Each entry has slots at regular times of its own, spread evenly over all
// entries; what changes between two slots is told together.
//
// Load: a pool of 1,095 VMs starts; for some seconds the board changes twenty times a
// second, and 195 entries watch it. Harm of telling each change to each entry at once:
// the leader is to give 3,900 answers a second, its heartbeats wait behind them, and
// it loses its office. It lost it five times within 7 s. Reason for slots and not for
// a pause after each change: the answers come evenly, and with few entries they
// wait for next to nothing (9 entries: 11 ms at most).
func untilSlot(entry string, entries int, now time.Time) time.Duration {
	period := min(time.Duration(entries)*time.Second/answersPerSecond, slowestSlot)
	if period <= 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	phase := time.Duration(h.Sum64() % uint64(period))
	return period - (time.Duration(now.UnixNano())+phase)%period
}
