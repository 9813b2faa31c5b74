package control

import (
	"sort"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/clock"
)

// clockDrift is the largest assumed relative difference in rate between the clocks of two VMs.
// Leases last seconds, and quartz clocks differ by less than 1 in 1,000.
const clockDrift = 0.01

// leases records, on the leader, which configuration each entry holds and until when an entry
// that no longer responds may still serve under an older one.
//
// Failure: an entry is cut off and goes on admitting requests under a configuration that
// operators have replaced, for example with withdrawn keys or priorities. leases prevents that,
// because an entry counts its lease from the moment it sends the watch. The leader counts the
// lease from the later moment at which it replies. A new leader treats every registered entry
// as freshly leased.
type leases struct {
	length time.Duration
	holds  map[string]holding
	// leadingSince is when this process became the leader.
	leadingSince clock.Boot
}

type holding struct {
	// config is the configuration's revision, and board the board's revision.
	config, board uint64
	until         clock.Boot
}

func newLeases(length time.Duration, now clock.Boot) *leases {
	return &leases{length: length, holds: make(map[string]holding), leadingSince: now}
}

// margin is the extra time after which a lease has expired even on a slow clock.
func (l *leases) margin() time.Duration {
	return time.Duration(float64(l.length) * clockDrift)
}

// acknowledge records the revisions of the configuration and the board that an entry reports.
func (l *leases) acknowledge(entry string, config, board uint64) {
	h := l.holding(entry)
	h.config, h.board = max(h.config, config), max(h.board, board)
	l.holds[entry] = h
}

// grant records that an entry gets a new lease with the reply to its watch.
func (l *leases) grant(entry string, now clock.Boot) {
	h := l.holding(entry)
	h.until = now.Add(l.length + l.margin())
	l.holds[entry] = h
}

// holding returns the recorded state of an entry. An entry that has not watched this leader yet
// may hold a lease from the previous leader.
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

// registeredOrLeased returns the registered entries, and removed entries that may still hold a
// lease.
func (l *leases) registeredOrLeased(registered map[string]blackboard.Entry) []string {
	ids := sortedKeys(registered)
	for id := range l.holds {
		if _, ok := registered[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// pending returns the entries that may still serve under a configuration older than revision.
func (l *leases) pending(entries []string, revision uint64, now clock.Boot) []string {
	return l.lagging(entries, now, func(h holding) bool { return h.config < revision })
}

// pendingBoard returns the entries that may still serve under a board older than revision.
func (l *leases) pendingBoard(entries []string, revision uint64, now clock.Boot) []string {
	return l.lagging(entries, now, func(h holding) bool { return h.board < revision })
}

// lagging returns, sorted, the entries that are behind and hold a lease.
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
