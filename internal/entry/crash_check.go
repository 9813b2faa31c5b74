package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
	"github.com/citronstep/citronstep/internal/relay"
)

// Times of telling a crash from a cut connection.
const (
	// crashWait is how long a check waits for evidence: longer than two missed announcements.
	crashWait = 2500 * time.Millisecond
	crashPoll = 50 * time.Millisecond
	// aliveAfterCut is how long after the cut a server must have announced itself to count as
	// alive. An earlier announcement may have been in flight at the crash.
	aliveAfterCut = 300 * time.Millisecond
	// oneWitnessWait is how long a check whose address refused one process waits for the word of
	// another: two rounds of questions to peers.
	oneWitnessWait = 500 * time.Millisecond
	// probeDelay is the time from the cut to the probe: a process that ends closes its
	// connections and its listener one after the other.
	probeDelay = 10 * time.Millisecond
	// crashRetention is how long a crash is remembered for attempts that notice it later, and
	// liveRetention how long a server that was found alive is not probed again.
	crashRetention = 10 * time.Second
	liveRetention  = time.Second
	// endedRetention is how long after this entry has ended an attempt itself a crash still counts for it, and
	// endedCheckDelay how long after an invalid answer the target is checked for one.
	endedRetention  = 500 * time.Millisecond
	endedCheckDelay = 300 * time.Millisecond
	// endedMemory is how long an ended attempt is remembered: until a check has its verdict. maxEndedAttempts
	// bounds those that are.
	endedMemory      = endedRetention + crashWait
	maxEndedAttempts = 1024
)

// crashVerdict is what is known of a backend server that closed a connection early.
type crashVerdict string

const (
	verdictOpen    crashVerdict = ""
	verdictCrashed crashVerdict = "crashed"
	verdictAlive   crashVerdict = "alive"
	verdictPlanned crashVerdict = "planned_stop"
	verdictCutOff  crashVerdict = "cut_off"
	verdictUnknown crashVerdict = "unknown"
)

// crashEvidence is what an entry knows of the backend servers of a target after the target has
// closed a connection early.
type crashEvidence struct {
	// isLeaving is set if one of them had stated that it is about to stop.
	isLeaving bool
	// listener is the state of the address that requests are sent to.
	listener backend.ListenState
	// isReplaced is set if one of them has a new incarnation, isAnnounced if all have announced
	// themselves since.
	isReplaced, isAnnounced bool
	// hearsAnnouncements is set if this entry receives announcements.
	hearsAnnouncements bool
	// waited is the time since the connection was closed.
	waited time.Duration
}

// verdict tells a crash from a planned stop and from a server that broke off one answer.
//
// A host whose address refuses the connections of two entries runs and has no such process. A server that peers reach lives, and this
// entry's link to it is down. The word of one entry counts once nobody has contradicted it for a while. Silence counts as a crash only for
// an entry that would hear the server.
func (e crashEvidence) verdict() crashVerdict {
	switch {
	case e.isLeaving:
		return verdictPlanned
	case e.isReplaced:
		return verdictCrashed
	case e.listener == backend.ListeningToPeers:
		return verdictCutOff
	case e.listener == backend.NotListening, e.listener == backend.RefusedOnce && e.waited >= oneWitnessWait:
		return verdictCrashed
	case e.isAnnounced, !e.hearsAnnouncements && e.listener == backend.Listening:
		return verdictAlive
	case e.waited < crashWait:
		return verdictOpen
	case e.hearsAnnouncements:
		return verdictCrashed
	}
	return verdictUnknown
}

// crashCheck finds out whether a target crashed. All attempts of this entry on the target that
// were cut share one check.
type crashCheck struct {
	route route
	cutAt time.Time
	// done is closed with the verdict.
	done    chan struct{}
	verdict crashVerdict
	// endedAt is when the verdict was reached.
	endedAt time.Time
	// probe is the last check of the target's address. Only the check itself uses it.
	probe backend.ListenProbe
	// cuts holds the attempts that wait for the verdict.
	cuts []cutAttempt
	// reported is closed once the crash is written to the board; nil if there is no crash.
	reported <-chan struct{}
}

// cutAttempt is an attempt that ended because its target closed the connection early.
type cutAttempt struct {
	request, fingerprint string
	workspace            string
	parts                []promptPart
	// sent and cut are when the attempt began and ended.
	sent, cut time.Time
	isAlone   bool
}

// crashChecks holds the checks that run, and those whose verdict is still in use, by crashID. It is safe for
// concurrent use.
type crashChecks struct {
	mu     sync.Mutex
	checks map[string]*crashCheck
	// ended holds the attempts that this entry has ended itself lately, in the order of time.
	ended []endedAttempt
}

// endedAttempt is an attempt that this entry has ended before its backend server did: its caller has left, its deadline
// has passed, or its answer is invalid.
type endedAttempt struct {
	cutAttempt
	crashID string
}

func newCrashChecks() *crashChecks { return &crashChecks{checks: make(map[string]*crashCheck)} }

// join returns the check of a target. isNew is set if the caller is to run it. isOver is set if
// the verdict is known already; otherwise the attempt waits for it with the others.
func (c *crashChecks) join(now time.Time, r route, a cutAttempt) (check *crashCheck, isNew, isOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check, isNew = c.checkOf(now, r, a.cut)
	if check.verdict != verdictOpen {
		return check, false, true
	}
	check.cuts = append(check.cuts, a)
	return check, isNew, false
}

// begin returns the check of a target; isNew is set if the caller is to run it.
func (c *crashChecks) begin(now time.Time, r route) (check *crashCheck, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checkOf(now, r, now)
}

// checkOf returns the check of a target, a new one if there is none. The caller holds the lock.
func (c *crashChecks) checkOf(now time.Time, r route, cutAt time.Time) (check *crashCheck, isNew bool) {
	for id, old := range c.checks {
		if old.isOutdated(now) {
			delete(c.checks, id)
		}
	}
	check = c.checks[r.crashID()]
	if check == nil {
		check = &crashCheck{route: r, cutAt: cutAt, done: make(chan struct{})}
		c.checks[r.crashID()] = check
		isNew = true
	}
	return check, isNew
}

// areSeveralPeersSilent reports whether a third of the peers that were asked about the target did not answer. A single
// one may just be slow.
func (c *crashCheck) areSeveralPeersSilent() bool {
	silent := 0
	for _, peer := range c.probe.Peers.Absent {
		if strings.HasSuffix(peer, ":"+string(relay.OutcomeSilent)) {
			silent++
		}
	}
	return silent > 1 && 3*silent >= len(c.probe.Peers.Absent)+len(c.probe.Peers.Refused)
}

func (c *crashCheck) isOutdated(now time.Time) bool {
	switch c.verdict {
	case verdictOpen:
		return false
	case verdictCrashed:
		return now.Sub(c.endedAt) > crashRetention
	}
	return now.Sub(c.endedAt) > liveRetention
}

// remember takes in an attempt that this entry has ended itself.
func (c *crashChecks) remember(r route, a cutAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := 0
	for first < len(c.ended) && (len(c.ended)-first >= maxEndedAttempts || a.cut.Sub(c.ended[first].cut) >= endedMemory) {
		first++
	}
	c.ended = append(slices.Delete(c.ended, 0, first), endedAttempt{cutAttempt: a, crashID: r.crashID()})
}

// takeEnded removes and returns the attempts on a crashed target that were ended shortly before the crash. The caller
// holds the lock.
func (c *crashChecks) takeEnded(check *crashCheck) []cutAttempt {
	var taken []cutAttempt
	c.ended = slices.DeleteFunc(c.ended, func(e endedAttempt) bool {
		if e.crashID != check.route.crashID() {
			return false
		}
		if check.cutAt.Sub(e.cut) < endedRetention {
			taken = append(taken, e.cutAttempt)
		}
		return true
	})
	return taken
}

// conclude sets the verdict and returns the attempts that waited for it, after a crash also those that this entry had
// ended shortly before.
func (c *crashChecks) conclude(now time.Time, check *crashCheck, v crashVerdict) []cutAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	check.verdict, check.endedAt = v, now
	cuts := check.cuts
	check.cuts = nil
	if v == verdictCrashed {
		cuts = append(cuts, c.takeEnded(check)...)
	}
	return cuts
}

// hasCrashed reports whether a target is known to have crashed.
func (c *crashChecks) hasCrashed(now time.Time, crashID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.checks[crashID]
	return check != nil && check.verdict == verdictCrashed && !check.isOutdated(now)
}

// crashID identifies the crash for all entries that saw it, by a group's epoch or an instance's
// incarnation.
func (r route) crashID() string {
	if r.group != "" {
		return r.group + "@" + formatEpoch(r.epoch)
	}
	return r.head + "@" + r.incarnation
}

// findCrashVerdict collects evidence until it allows a verdict.
func (s *Server) findCrashVerdict(check *crashCheck) crashVerdict {
	e := crashEvidence{hearsAnnouncements: !s.o.Settings.Deaf, listener: backend.ListenUnknown}
	time.Sleep(probeDelay)
	for {
		e.isLeaving = s.isStopping(check.route)
		e.isReplaced, e.isAnnounced = s.checkMembers(check.route, check.cutAt.Add(aliveAfterCut))
		e.waited = time.Since(check.cutAt)
		if v := e.verdict(); v != verdictOpen {
			return v
		}
		if s.o.Prober != nil && !e.isListenerKnown() {
			check.probe = s.o.Prober.ProbeListener(context.Background(), check.route.address)
			e.listener = check.probe.State
			if e.isListenerKnown() {
				continue
			}
		}
		time.Sleep(crashPoll)
	}
}

// isListenerKnown reports whether another probe of the address would tell nothing more.
func (e crashEvidence) isListenerKnown() bool {
	return e.listener != backend.ListenUnknown && e.listener != backend.RefusedOnce
}

// isStopping reports whether the target is taken out of service or a backend server of it is
// about to stop.
func (s *Server) isStopping(r route) bool {
	board := s.o.Follower.Board()
	if r.group == "" {
		i, ok := board.Services[r.target]
		return !ok || i.Leaving || s.leavingServers.contains(r.incarnation)
	}
	for id := range r.members {
		if board.VMs[id].Leaving {
			return true
		}
	}
	return board.Groups[r.group].State == blackboard.Draining || s.leavingServers.contains(r.incarnation)
}

// checkMembers reports whether any member has an incarnation other than the one that the
// attempt was sent to, and whether all members have announced themselves after a time. An entry
// that receives no announcements knows the incarnations of plain services by the board.
func (s *Server) checkMembers(r route, after time.Time) (changed, alive bool) {
	if s.o.Settings.Deaf {
		i, ok := s.o.Follower.Board().Services[r.target]
		return r.group == "" && ok && i.Incarnation != r.incarnation, false
	}
	alive = true
	s.o.Announcements.WithTable(func(t *evidence.Table) {
		for id, incarnation := range r.members {
			report, ok := t.Get(id)
			if r.group == "" {
				report, ok = t.GetService(id)
			}
			changed = changed || (ok && report.Incarnation != incarnation)
			alive = alive && ok && report.ReceivedAt.After(after)
		}
	})
	return changed, alive
}
