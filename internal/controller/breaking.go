package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// faultPatience is how long a fault that may pass must last before the
	// group is torn down: engines lose each other for a moment when a switch
	// restarts, and tearing down costs a reload.
	faultPatience = 3 * time.Second
	// lostPatience is the same for a member that is silent and that another
	// member reports lost. Two kinds of evidence agree, so it is shorter than
	// deadAfter; a pause of some seconds still passes.
	lostPatience = 5 * time.Second
	// loadLimit gives a load up. The largest weights, from the store at its
	// limit behind two other loads, take some minutes.
	loadLimit = 15 * time.Minute
	// startLimit gives up a member that does not begin to load at all.
	startLimit = 30 * time.Second
	// stalledFor is how long an entry's word that a group makes no progress is
	// acted on; an epoch that is broken for it does not come back.
	stalledFor = 2 * time.Second
	// silentLimit is how long a group that opens may serve on with a member that
	// is dead by its silence.
	//
	// Load: the paths from many VMs to the control processes fail while callers'
	// requests still reach them. Harm of breaking their groups by that silence:
	// half of the groups go out of service while all of them answer. Entries tell within half a second of a
	// group whose streams have ceased, and its head says so after Timing.Stall; the
	// limit is for a group that nobody uses, which keeps its VMs from others.
	silentLimit = 30 * time.Second
	// avoidFor keeps a VM whose load failed out of new groups, so that one bad
	// VM does not break group after group.
	avoidFor = time.Minute
)

// breaking takes groups out of service for good whose members are gone, run
// something else, or have lost each other.
//
// It only ever acts on what was heard. Silence reaches it as liveness Dead.
func breaking(v View, now time.Time, a *Actions) {
	for _, g := range groupsByWorth(v) {
		if g.State == blackboard.Broken || g.State == blackboard.Released {
			continue
		}
		reason := v.Memory.lasting(groupEpoch{g.ID, g.Epoch}, groupFaults(v, now, g), now)
		if reason == "" {
			continue
		}
		a.moveGroup(g, blackboard.Broken, reason, now)
		a.decide(Decision{Kind: "break", Subject: g.ID, Choice: "broken", RunnerUp: "wait", Reason: reason})
	}
}

// fault is something wrong with a group, and how long it must last before the
// group is given up.
type fault struct {
	text     string
	patience time.Duration
}

// lasting notes the present faults of a group epoch and returns one that has
// outlasted its patience, or "".
//
// Each fault has a time of its own. With one time for all, a member that paused
// and came back was given up on return: for one round of announcements the
// others still reported it lost while it was heard again, and that fault has
// less patience than the time already waited.
func (m *Memory) lasting(epoch groupEpoch, faults []fault, now time.Time) string {
	was := m.faults[epoch]
	is := make(map[string]time.Time, len(faults))
	lasted := ""
	for _, f := range faults {
		at, known := was[f.text]
		if !known {
			at = now
		}
		is[f.text] = at
		if lasted == "" && now.Sub(at) >= f.patience {
			lasted = f.text
		}
	}
	m.faults[epoch] = is
	return lasted
}

func groupFaults(v View, now time.Time, g blackboard.Group) []fault {
	var faults []fault
	if at, told := v.Stalled[StalledGroup{g.ID, g.Epoch}]; told && g.Opens && now.Sub(at) < stalledFor {
		faults = append(faults, fault{"no entry gets answers", 0})
	}
	if g.State == blackboard.Loading && v.Memory.timeInState(g, now) > loadLimit {
		faults = append(faults, fault{"not loaded in time", 0})
	}
	for _, m := range g.Members {
		if text, patience := memberFault(v, now, g, m); text != "" {
			faults = append(faults, fault{"member " + m.VM + " " + text, patience})
		}
	}
	return faults
}

func memberFault(v View, now time.Time, g blackboard.Group, m blackboard.GroupMember) (text string, patience time.Duration) {
	vm, ok := v.Board.VMs[m.VM]
	if !ok {
		return "is unknown", 0
	}
	if vm.Incarnation != m.Incarnation {
		return "restarted", 0
	}
	if vm.Liveness == blackboard.Dead {
		if g.Opens && g.State == blackboard.Serving {
			return "is dead", silentLimit
		}
		return "is dead", 0
	}
	r, hasReport := v.Evidence.Get(m.VM)
	if !hasReport || now.Sub(r.HeardAt) > v.Evidence.RoutableAge() {
		return "", 0
	}
	if r.Incarnation != m.Incarnation {
		if supersedes(r, vm.StartedMillis) {
			return "restarted", 0
		}
		return "restarted", v.timing().Fault
	}
	return reportedFault(v, now, g, r)
}

// reportedFault returns what a member that is heard says is wrong. While a group
// loads, members that began earlier don't reach the others yet.
func reportedFault(v View, now time.Time, g blackboard.Group, r evidence.Report) (text string, patience time.Duration) {
	inEpoch := r.Group == g.ID && r.Epoch == g.Epoch
	if inEpoch && r.Phase == backend.PhaseFailed {
		v.Memory.avoidAfterLoad(g, r.ID, now)
		return "failed", 0
	}
	switch g.State {
	case blackboard.Serving, blackboard.Draining:
		if inEpoch && len(r.Unreachable) > 0 {
			return lostFault(v, now, r.Unreachable[0])
		}
		if !inEpoch {
			return "left the epoch", v.timing().Fault
		}
		if !phaseFits(g, r) {
			return "is " + string(r.Phase), v.timing().Fault
		}
	case blackboard.Loading:
		// Counted from the order: where many are due, its turn comes late.
		if !inEpoch && v.Memory.sinceLoadOrder(r.ID, groupEpoch{g.ID, g.Epoch}, now) > v.timing().Start {
			v.Memory.avoidAfterLoad(g, r.ID, now)
			return "does not begin to load", 0
		}
	}
	return "", 0
}

// phaseFits tells whether a member's phase is one of a group in service. The
// head of a group that drains may have closed.
func phaseFits(g blackboard.Group, r evidence.Report) bool {
	if g.Opens && g.State == blackboard.Draining {
		return true
	}
	return g.Ready(blackboard.GroupMember{VM: r.ID}, string(r.Phase))
}

// avoidAfterLoad leaves a VM out of new groups for a while when its load
// failed. A VM that failed while serving is no worse than others: engines say
// failed when they have lost a member for good, and are then needed as
// survivors.
func (m *Memory) avoidAfterLoad(g blackboard.Group, vm string, now time.Time) {
	if g.State == blackboard.Loading {
		m.avoidUntil[vm] = now.Add(avoidFor)
	}
}

func lostFault(v View, now time.Time, lost string) (text string, patience time.Duration) {
	r, hasReport := v.Evidence.Get(lost)
	if hasReport && now.Sub(r.HeardAt) <= v.Evidence.RoutableAge() {
		return "has lost " + lost + ", which is heard", faultPatience
	}
	return "has lost " + lost + ", which is silent", lostPatience
}
