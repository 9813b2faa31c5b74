package control

import (
	"sort"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
)

// clockDrift is the part by which two VMs' clocks may run apart. Leases are
// seconds long, and quartz clocks differ by less than 1 in 1,000.
const clockDrift = 0.01

// leases knows, on the leader, which configuration each entry holds and until
// when an entry that went silent may still serve on an older one.
//
// It guards against an entry that is cut off and goes on admitting under a
// configuration that operators have replaced. It shows as requests served by
// withdrawn keys or priorities. The guard holds because an entry counts its
// lease from the moment it sent the watch, which is before the moment the
// leader answers it and counts from here, and because a new leader counts
// every registered entry as freshly leased.
type leases struct {
	length time.Duration
	holds  map[string]holding
	// leadingSince is when this process became the leader.
	leadingSince clock.Boot
}

type holding struct {
	// config is the configuration revision, board that of the board.
	config, board uint64
	until         clock.Boot
}

func newLeases(length time.Duration, now clock.Boot) *leases {
	return &leases{length: length, holds: make(map[string]holding), leadingSince: now}
}

// margin is the time past a lease's end by which it has surely run out on a
// clock that runs slow.
func (l *leases) margin() time.Duration {
	return time.Duration(float64(l.length) * clockDrift)
}

// acknowledge notes the revisions of configuration and board that an entry says it holds.
func (l *leases) acknowledge(entry string, config, board uint64) {
	h := l.holding(entry)
	h.config, h.board = max(h.config, config), max(h.board, board)
	l.holds[entry] = h
}

// grant notes that an entry is being answered and so gets a new lease.
func (l *leases) grant(entry string, now clock.Boot) {
	h := l.holding(entry)
	h.until = now.Add(l.length + l.margin())
	l.holds[entry] = h
}

// holding returns what is known of an entry. One that has not watched this
// leader yet may hold a lease of the leader before.
func (l *leases) holding(entry string) holding {
	if h, ok := l.holds[entry]; ok {
		return h
	}
	return holding{until: l.leadingSince.Add(l.length + l.margin())}
}

// remaining returns how long an entry's lease may still run.
func (l *leases) remaining(entry string, now clock.Boot) time.Duration {
	left := l.holding(entry).until.Sub(now)
	if left < 0 {
		return 0
	}
	return left
}

// known returns the registered entries and those that hold a lease although
// they have just been forgotten.
func (l *leases) registeredOrLeased(registered map[string]blackboard.Entry) []string {
	ids := sortedKeys(registered)
	for id := range l.holds {
		if _, ok := registered[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// pending returns those of the entries that may still serve on a
// configuration older than revision.
func (l *leases) pending(entries []string, revision uint64, now clock.Boot) []string {
	return l.lagging(entries, now, func(h holding) bool { return h.config < revision })
}

// pendingBoard returns those of the entries that may still serve on a board older than
// revision.
func (l *leases) pendingBoard(entries []string, revision uint64, now clock.Boot) []string {
	return l.lagging(entries, now, func(h holding) bool { return h.board < revision })
}

// lagging returns those of the entries that are behind and hold a lease.
func (l *leases) lagging(entries []string, now clock.Boot, behind func(holding) bool) []string {
	var lagging []string
	for _, e := range entries {
		if behind(l.holding(e)) && l.remaining(e, now) > 0 {
			lagging = append(lagging, e)
		}
	}
	sort.Strings(lagging)
	return lagging
}
