package controller

import (
	"slices"
	"time"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// drainLimit is the least time for work in flight of a draining group; the
	// longest timeout of a request class counts when it is longer. Past it no
	// caller waits, and what still runs is resumed on another group.
	drainLimit = 2 * time.Minute
	// drainQuiet is how long all members must report no work, for work that
	// moves between the engine's queue and its batch while it counts.
	drainQuiet = 2 * time.Second
	// replaceLimit is how long a drain that an operator asked for waits for
	// its replacement: as long as a load may take. A leaving VM is not waited for.
	replaceLimit = loadTimeout
	// noSpareWait is how long such a drain waits for a replacement to form; when
	// there is no spare, none will.
	noSpareWait = 5 * time.Second
	// surplusHold is how long a group must be unwanted before it is drained,
	// so that a preset switched there and back reloads nothing.
	surplusHold = 10 * time.Second
)

// draining takes groups out of service that should not serve: a member is
// leaving or drained, the group is drained, or more run than are wanted.
func draining(v View, now time.Time, a *Actions) {
	surplus := surplusGroups(v)
	for _, g := range groupsByWorth(v) {
		if g.State != blackboard.Serving && g.State != blackboard.Loading && g.State != blackboard.Forming {
			continue
		}
		reason, due := drainReason(v, now, g, surplus[g.ID])
		epoch := groupEpoch{g.ID, g.Epoch}
		if reason == "" {
			delete(v.Memory.drainSince, epoch)
			continue
		}
		if now.Sub(firstSeen(v.Memory.drainSince, epoch, now)) < due {
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

// drainReason returns why a group should go, and how long that must last.
func drainReason(v View, now time.Time, g blackboard.Group, surplus bool) (reason string, due time.Duration) {
	c := &v.Board.Config
	for _, m := range g.Members {
		if v.Board.VMs[m.VM].Leaving {
			return "member " + m.VM + " is leaving", 0
		}
	}
	if v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] && shortage(v, g.Spec) <= 0 {
		return "a member is a straggler, and the group is replaced", 0
	}
	if c.DrainedGroups[g.ID] {
		return "group is drained", replaceWait(v, g)
	}
	if partlyEvacuated(v, g) {
		return "a part of its members lies in a data centre that is evacuated", 0
	}
	for _, m := range g.Members {
		if c.DrainedVMs[m.VM] {
			return "member " + m.VM + " is drained", replaceWait(v, g)
		}
	}
	if surplus {
		return "more replicas than wanted", surplusHold
	}
	return "", 0
}

// partlyEvacuated tells whether some members of a group lie in data centres that are
// evacuated and some do not. The latter are of use elsewhere, while a group that lies
// there whole is kept for the return.
func partlyEvacuated(v View, g blackboard.Group) bool {
	if len(g.OtherDataCentres) == 0 || !v.Board.EvacuatesGroup(g) {
		return false
	}
	return !v.Board.Evacuated(g.DataCentre) ||
		slices.ContainsFunc(g.OtherDataCentres, func(dataCentre string) bool { return !v.Board.Evacuated(dataCentre) })
}

// replaceWait returns how long a drain that an operator asked for leaves the
// group serving.
func replaceWait(v View, g blackboard.Group) time.Duration {
	switch {
	case g.State != blackboard.Serving || shortage(v, g.Spec) <= 0:
		return 0
	case missingGroups(v, g.Spec) > 0:
		return noSpareWait
	}
	return replaceLimit
}

// outgoing tells whether a group is on its way out, so that it does not count
// towards the wanted replicas and a replacement may form beside it.
func outgoing(v View, g blackboard.Group) bool {
	c := &v.Board.Config
	if c.DrainedGroups[g.ID] || v.Memory.beingReplaced[groupEpoch{g.ID, g.Epoch}] || v.Board.EvacuatesGroup(g) {
		return true
	}
	if v.rows != nil {
		return v.rows.losing[g.ID]
	}
	return losesMember(v, g)
}

// losesMember tells whether a member of a group is leaving or drained.
func losesMember(v View, g blackboard.Group) bool {
	for _, m := range g.Members {
		if v.Board.Config.DrainedVMs[m.VM] || v.Board.VMs[m.VM].Leaving {
			return true
		}
	}
	return false
}

// wanted returns how many replicas of a spec should run.
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

// shortage returns how many groups of a spec still have to serve before an
// outgoing one may go.
func shortage(v View, spec string) int {
	serving := 0
	for _, g := range v.Board.Groups {
		if g.Spec == spec && g.State == blackboard.Serving && !outgoing(v, g) {
			serving++
		}
	}
	return wantedGroups(v, spec) - serving
}

// surplusGroups returns the groups beyond the wanted replicas: not yet serving
// ones first, as they cost callers nothing, then the highest numbers.
func surplusGroups(v View) map[string]bool {
	surplus := make(map[string]bool)
	counts := make(map[string]int)
	ids := sortedKeys(v.Board.Groups)
	for _, state := range []blackboard.GroupState{blackboard.Serving, blackboard.Loading, blackboard.Forming} {
		for _, id := range ids {
			g := v.Board.Groups[id]
			if g.State != state || outgoing(v, g) {
				continue
			}
			counts[g.Spec]++
			if g.Opens && wantedGroups(v, g.Spec) > 0 {
				// What a pool has formed beyond its share serves on: a pool that
				// shrinks is no reason to break up what works.
				continue
			}
			if counts[g.Spec] > wantedGroups(v, g.Spec) {
				surplus[id] = true
			}
		}
	}
	return surplus
}

// drained tells whether a draining group's work is done: each member has
// reported none for drainQuiet, or no caller can still wait for any.
func drained(v View, now time.Time, g blackboard.Group) bool {
	epoch := groupEpoch{g.ID, g.Epoch}
	draining := v.Memory.timeInState(g, now)
	if draining > workLimit(v) {
		return true
	}
	for _, m := range g.Members {
		if !withoutWork(v, g, m, now.Add(-draining)) {
			delete(v.Memory.idleSince, epoch)
			return false
		}
	}
	return now.Sub(firstSeen(v.Memory.idleSince, epoch, now)) >= drainQuiet
}

func workLimit(v View) time.Duration {
	limit := drainLimit
	for _, c := range v.Board.Config.Classes {
		limit = max(limit, time.Duration(c.TimeoutMillis)*time.Millisecond)
	}
	return limit
}

// withoutWork tells whether a member's load report, made once no entry could
// still hold the group routable, shows no work. Its age does not matter then, as
// nothing new arrives. An engine that reports no load is waited for until the
// limit.
func withoutWork(v View, g blackboard.Group, m blackboard.GroupMember, drainedFrom time.Time) bool {
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
	made := r.HeardAt.Add(-time.Duration(r.Load.AtMillis) * time.Millisecond)
	return made.After(drainedFrom.Add(evidence.RoutableAge))
}
