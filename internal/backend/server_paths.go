package backend

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// pathCheckInterval is the time between two checks whether a backend server can be reached
	// directly again.
	pathCheckInterval = 500 * time.Millisecond
	// checksToRestore is how many checks in a row must succeed before requests go the direct path
	// again. It doubles, up to maxChecksToRestore, each time that the direct path is lost again
	// within flapWindow: each loss breaks off the requests that are on it.
	checksToRestore    = 2
	maxChecksToRestore = 16
	flapWindow         = 30 * time.Second
	// timeoutsToRelay is how many dials in a row must time out, while a peer connects, before the
	// direct path counts as down.
	timeoutsToRelay = 2
	// pathRetention is how long the path to a backend server is remembered after its last use.
	pathRetention = time.Minute
	// unreachableTime is how long calls fail at once after neither this process nor its peers
	// reached a backend server. One call at a time then tries again.
	unreachableTime = 300 * time.Millisecond
	// cutOffServers is how many backend servers must be reachable through peers alone before this
	// process takes its own links for the cause.
	cutOffServers = 2
	// cutOffSilence is how long no bytes may have arrived from any server by then: longer than streams pause.
	cutOffSilence = time.Second
)

// path is how this process reaches one backend server. The zero value is the direct path.
type path struct {
	lastUsed time.Time
	// relayedSince is set while the server is reached through peers. checkAt is when the direct
	// path is checked next, and successes counts the checks in a row that succeeded.
	relayedSince time.Time
	checkAt      time.Time
	successes    int
	// needed is how many checks must succeed; restoredAt is when they last did.
	needed     int
	restoredAt time.Time
	// timeouts counts the dials in a row that timed out while a peer connected.
	timeouts int
	// unreachableUntil is set after nobody reached the server, until somebody does. It is when the
	// next try is due.
	unreachableUntil time.Time
}

// paths decides how backend servers are reached: directly, or through another entry while the
// direct path is down. What this process alone fails to reach is not taken for down. It has no I/O
// and is safe for concurrent use.
type paths struct {
	logger log.Logger
	// received is the time at which bytes last arrived on any direct connection.
	received lastTime
	// lastUnreachable is when a backend server was last found that nobody reached.
	lastUnreachable lastTime

	mu        sync.Mutex
	byAddress map[string]*path
	// relayed is how many servers are reached through peers, and firstCut when the first of them was
	// found out of reach. lastConnected is when any server was last connected directly.
	relayed                 int
	firstCut, lastConnected time.Time
}

func newPaths(logger log.Logger) *paths {
	return &paths{logger: logger, byAddress: make(map[string]*path)}
}

// pathKind is the kind of path that a call is to take.
type pathKind int

// The kinds of paths. pathNone means that nobody reached the server a moment ago.
const (
	pathDirect pathKind = iota
	pathRelayed
	pathNone
)

// choose returns the path for a call and whether the caller is to check the direct path beside it.
func (p *paths) choose(now time.Time, address string) (kind pathKind, check bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.byAddress[address]
	if to == nil {
		if !p.isCutOffLocked(now) {
			return pathDirect, false
		}
		to = p.add(now, address)
		p.relay(now, address, to, "no backend server is reached directly")
		// Nothing has shown that this server can't be reached, so it is checked at once.
		to.checkAt, to.needed = now, 1
	}
	to.lastUsed = now
	switch {
	case now.Before(to.unreachableUntil):
		return pathNone, false
	case !to.unreachableUntil.IsZero():
		to.unreachableUntil = now.Add(unreachableTime)
	}
	if to.relayedSince.IsZero() {
		return pathDirect, false
	}
	return pathRelayed, to.takeCheck(now)
}

// takeCheck reports whether a check of the direct path is due, and schedules the next one.
func (to *path) takeCheck(now time.Time) bool {
	if now.Before(to.checkAt) {
		return false
	}
	to.checkAt = now.Add(pathCheckInterval)
	return true
}

// add returns a new path and forgets those that are no longer used. The caller holds the lock.
func (p *paths) add(now time.Time, address string) *path {
	for other, to := range p.byAddress {
		if now.Sub(to.lastUsed) > pathRetention {
			p.endRelay(to)
			delete(p.byAddress, other)
		}
	}
	to := &path{lastUsed: now}
	p.byAddress[address] = to
	return to
}

// connected records that a backend server was reached directly.
func (p *paths) connected(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastConnected = now
	if to := p.byAddress[address]; to != nil {
		to.unreachableUntil = time.Time{}
		to.timeouts = 0
	}
}

// connectedByPeer records that a peer reached a backend server that this process failed to reach.
// It reports whether the server is reached through peers from now on: at once if isProven is set, and
// otherwise after the second time, since a lost packet alone makes one dial time out.
func (p *paths) connectedByPeer(now time.Time, address, cause string, isProven bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.byAddress[address]
	if to == nil {
		to = p.add(now, address)
	}
	to.unreachableUntil = time.Time{}
	to.timeouts++
	if !to.relayedSince.IsZero() || (!isProven && to.timeouts < timeoutsToRelay) {
		return false
	}
	p.relay(now, address, to, cause)
	return true
}

// relay begins to reach a server through peers. The caller holds the lock.
func (p *paths) relay(now time.Time, address string, to *path, cause string) {
	to.needed = max(checksToRestore, to.needed)
	if now.Sub(to.restoredAt) < flapWindow {
		to.needed = min(2*to.needed, maxChecksToRestore)
	}
	to.relayedSince, to.successes = now, 0
	to.checkAt = now.Add(pathCheckInterval)
	if p.relayed == 0 {
		p.firstCut = now
	}
	p.relayed++
	_ = level.Info(p.logger).Log("event", "server_relayed", "server", address, "cause", cause, "relayed_servers", p.relayed,
		"last_direct_ms", sinceMillis(now, p.lastDirect()))
}

// endRelay ends a server's relay without a check. The caller holds the lock.
func (p *paths) endRelay(to *path) {
	if !to.relayedSince.IsZero() {
		p.relayed--
	}
	to.relayedSince = time.Time{}
}

// checked records the result of a check of the direct path.
func (p *paths) checked(now time.Time, address string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok {
		p.lastConnected = now
	}
	to := p.byAddress[address]
	if to == nil || to.relayedSince.IsZero() {
		return
	}
	if !ok {
		to.successes = 0
		return
	}
	to.successes++
	if to.successes < to.needed {
		return
	}
	took := now.Sub(to.relayedSince)
	p.endRelay(to)
	if now.Sub(to.restoredAt) >= flapWindow {
		to.needed = checksToRestore
	}
	to.restoredAt = now
	_ = level.Info(p.logger).Log("event", "server_direct", "server", address, "relayed_for_ms", took.Milliseconds(),
		"checks", to.successes, "relayed_servers", p.relayed)
}

// unreachable records that neither this process nor its peers reached a backend server.
func (p *paths) unreachable(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.byAddress[address]
	if to == nil {
		to = p.add(now, address)
	}
	to.unreachableUntil = now.Add(unreachableTime)
	p.lastUnreachable.set(now)
}

// isUnreachable reports whether nobody reached a backend server at the last try, and whether the
// caller is to try again.
func (p *paths) isUnreachable(now time.Time, address string) (unreachable, tryAgain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.byAddress[address]
	if to == nil || to.unreachableUntil.IsZero() {
		return false, false
	}
	to.lastUsed = now
	if now.Before(to.unreachableUntil) {
		return true, false
	}
	to.unreachableUntil = now.Add(unreachableTime)
	return true, true
}

// isCutOff reports whether this process reaches backend servers only through peers.
func (p *paths) isCutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCutOffLocked(now)
}

func (p *paths) isCutOffLocked(now time.Time) bool {
	since := now.Add(-cutOffSilence)
	return p.relayed >= cutOffServers && p.firstCut.Before(since) && p.lastDirect().Before(since)
}

// lastDirect returns when any backend server was last reached directly. The caller holds the lock.
func (p *paths) lastDirect() time.Time {
	if received := p.received.get(); received.After(p.lastConnected) {
		return received
	}
	return p.lastConnected
}

// relayedCount returns how many backend servers are reached through peers.
func (p *paths) relayedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relayed
}

// sinceMillis returns the time since t in milliseconds, or -1 if t is not set.
func sinceMillis(now, t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return now.Sub(t).Milliseconds()
}
