package controller

import (
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// drainTimeout is the shortest limit for work in flight of a draining group; a longer timeout
	// of a request class replaces it. After that time no caller waits, and work that still runs
	// is resumed on another group.
	drainTimeout = 2 * time.Minute
	// drainIdleTime is how long all members must report no work, because work may move between
	// the engine's queue and its batch while the engine counts it.
	drainIdleTime = 2 * time.Second
	// replaceTimeout is how long a drain by an operator waits for the replacement: as long as a
	// load may take. A leaving VM is not waited for.
	replaceTimeout = loadTimeout
	// noSpareWait is how long such a drain waits for a replacement to form; without a spare, none
	// will form.
	noSpareWait = 5 * time.Second
	// surplusDelay is how long a group must be surplus before it is drained, so that switching a
	// preset there and back reloads nothing.
	surplusDelay = 10 * time.Second
)

// drainGroups takes groups out of service that should not serve: a member is leaving or drained,
// the group is drained, or more groups run than are wanted.
func drainGroups(v View, now time.Time, a *Actions) {
	surplus := surplusGroups(v)
	for _, g := range groupsByWorth(v) {
		if g.State != blackboard.Serving && g.State != blackboard.Loading && g.State != blackboard.Forming {
			continue
		}
		reason, delay := drainReason(v, now, g, surplus[g.ID])
		epoch := groupEpoch{g.ID, g.Epoch}
		if reason == "" {
			delete(v.Memory.drainSince, epoch)
			continue
		}
		if now.Sub(firstSeen(v.Memory.drainSince, epoch, now)) < delay {
			continue
		}
		to := blackboard.Draining
		if g.State != blackboard.Serving {
			to = blackboard.Broken
		}
		a.moveGroup(g, to, reason, now)
		a.decide(Decision{Kind: "drain", Subject: g.ID, Choice: string(to), Reason: reason})
	}
}

// drainReason returns why a group should be drained, and how long the reason must last.
func drainReason(v View, now time.Time, g blackboard.Group, surplus bool) (reason string, delay time.Duration) {
	c := &v.Board.Config
	for _, m := range g.Members {
		if v.Board.VMs[m.VM].Leaving {
			return "member " + m.VM + " is leaving", 0
		}
	}
	if v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] && shortage(v, g.Spec) <= 0 {
		return "a member is a straggler, and the group is replaced", 0
	}
	if turn, turning := v.Memory.isTurning(g); turning {
		return "its VMs are turned to " + turn.to + ": " + turn.reason, 0
	}
	if c.DrainedGroups[g.ID] {
		return "group is drained", replaceWait(v, g)
	}
	if isPartlyEvacuated(v, g) {
		return "a part of its members lies in a data centre that is evacuated", 0
	}
	for _, m := range g.Members {
		if c.DrainedVMs[m.VM] {
			return "member " + m.VM + " is drained", replaceWait(v, g)
		}
	}
	if surplus {
		return "more replicas than wanted", surplusDelay
	}
	return "", 0
}

// isPartlyEvacuated reports whether some members of a group are in evacuated data centres and
// some are not. The latter are useful elsewhere, whereas a group that is completely in evacuated
// data centres is kept for their return.
func isPartlyEvacuated(v View, g blackboard.Group) bool {
	if len(g.OtherDataCentres) == 0 || !v.Board.EvacuatesGroup(g) {
		return false
	}
	return !v.Board.Evacuated(g.DataCentre) ||
		slices.ContainsFunc(g.OtherDataCentres, func(dataCentre string) bool { return !v.Board.Evacuated(dataCentre) })
}

// replaceWait returns how long a drain by an operator leaves the group serving.
func replaceWait(v View, g blackboard.Group) time.Duration {
	switch {
	case g.State != blackboard.Serving || shortage(v, g.Spec) <= 0:
		return 0
	case missingGroups(v, g.Spec) > 0:
		return noSpareWait
	}
	return replaceTimeout
}

// isOutgoing reports whether a group is to be taken out of service. Such a group does not count
// towards the wanted replicas, so a replacement may form beside it.
func isOutgoing(v View, g blackboard.Group) bool {
	c := &v.Board.Config
	if c.DrainedGroups[g.ID] || v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] || v.Board.EvacuatesGroup(g) {
		return true
	}
	if _, turning := v.Memory.isTurning(g); turning {
		return true
	}
	if v.rows != nil {
		return v.rows.losing[g.ID]
	}
	return losesMember(v, g)
}

// losesMember reports whether a member of a group is leaving or drained.
func losesMember(v View, g blackboard.Group) bool {
	for _, m := range g.Members {
		if v.Board.Config.DrainedVMs[m.VM] || v.Board.VMs[m.VM].Leaving {
			return true
		}
	}
	return false
}

// wantedGroups returns how many replicas of a spec should run.
func wantedGroups(v View, spec string) int {
	c := &v.Board.Config
	declared, ok := c.Groups[spec]
	if !ok || c.DrainedGroups[spec] {
		return 0
	}
	if declared.Pool != "" {
		return v.Memory.planned[spec]
	}
	return c.GroupReplicas(spec)
}

// shortage returns how many groups of a spec still have to serve before an outgoing group may be
// drained.
func shortage(v View, spec string) int {
	serving := 0
	for _, g := range v.Board.Groups {
		if g.Spec == spec && g.State == blackboard.Serving && !isOutgoing(v, g) {
			serving++
		}
	}
	return wantedGroups(v, spec) - serving
}

// surplusGroups returns the groups beyond the wanted replicas: groups that do not serve yet come
// first, as callers do not notice their loss, then those with the highest numbers.
func surplusGroups(v View) map[string]bool {
	surplus := make(map[string]bool)
	counts := make(map[string]int)
	ids := sortedKeys(v.Board.Groups)
	for _, state := range []blackboard.GroupState{blackboard.Serving, blackboard.Loading, blackboard.Forming} {
		for _, id := range ids {
			g := v.Board.Groups[id]
			if g.State != state || isOutgoing(v, g) {
				continue
			}
			counts[g.Spec]++
			if g.RequiresOpenHead && wantedGroups(v, g.Spec) > 0 {
				// The groups that a pool has formed beyond its share continue to serve: the
				// shrinking of a pool is no reason to break up a working group.
				continue
			}
			if counts[g.Spec] > wantedGroups(v, g.Spec) {
				surplus[id] = true
			}
		}
	}
	return surplus
}

// isDrained reports whether a draining group's work is done: each member has reported no work for
// drainIdleTime, or no caller can still wait for any work.
func isDrained(v View, now time.Time, g blackboard.Group) bool {
	epoch := groupEpoch{g.ID, g.Epoch}
	draining := v.Memory.timeInState(g, now)
	if draining > maxWorkTime(v) {
		return true
	}
	for _, m := range g.Members {
		if !isIdle(v, g, m, now.Add(-draining)) {
			delete(v.Memory.idleSince, epoch)
			return false
		}
	}
	return now.Sub(firstSeen(v.Memory.idleSince, epoch, now)) >= drainIdleTime
}

func maxWorkTime(v View) time.Duration {
	limit := drainTimeout
	for _, c := range v.Board.Config.Classes {
		limit = max(limit, time.Duration(c.TimeoutMillis)*time.Millisecond)
	}
	return limit
}

// isIdle reports whether a member's load report shows no work. The report must date from a time
// when no entry could still consider the group routable; it may be old, as no new work arrives
// after that. The drain waits until its limit for an engine that reports no load.
func isIdle(v View, g blackboard.Group, m blackboard.GroupMember, drainedFrom time.Time) bool {
	r, hasReport := v.Evidence.Get(m.VM)
	if !hasReport {
		return false
	}
	if r.Group != g.ID || r.Epoch != g.Epoch {
		return true
	}
	if r.Load == nil || r.Load.Running > 0 || r.Load.Queued > 0 {
		return false
	}
	made := r.ReceivedAt.Add(-time.Duration(r.Load.AgeMillis) * time.Millisecond)
	return made.After(drainedFrom.Add(evidence.RoutableAge))
}
