package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

const (
	// faultTimeout is how long a fault that may be temporary must last before the group is torn
	// down: engines lose each other for a moment when a switch restarts, and tearing down costs a
	// reload.
	faultTimeout = 3 * time.Second
	// lostMemberTimeout is the same for a member that is silent and that another member reports
	// as lost. Two kinds of evidence agree, so it is shorter than deadAfter; a pause of some
	// seconds still does not reach it.
	lostMemberTimeout = 5 * time.Second
	// loadTimeout ends a load. The largest weights take some minutes from the store at its limit
	// behind two other loads.
	loadTimeout = 15 * time.Minute
	// startTimeout ends a load that a member does not begin at all.
	startTimeout = 30 * time.Second
	// stallValidity is how long a confirmed stall of a group has an effect. An epoch that is
	// broken for a stall does not come back.
	stallValidity = 2 * time.Second
	// silentMemberLimit is how long a group that opens may continue to serve with a member that
	// is dead by its silence.
	//
	// Load: the paths from many VMs to the control processes fail while callers' requests still
	// reach the VMs. Harm of breaking their groups for that silence: half of the groups go out of
	// service while all of them answer. Entries report within half a second a group whose streams
	// have stopped, and its head reports that after Timing.Stall. The limit is for a group
	// without callers, which keeps its VMs from other groups.
	silentMemberLimit = 30 * time.Second
	// avoidDuration keeps a VM whose load failed out of new groups, so that one bad VM does not
	// break one group after another.
	avoidDuration = time.Minute
)

// breakGroups takes groups permanently out of service if their members no longer exist, run
// something else or have lost each other.
//
// It acts only on reports that were received. Silence has its effect through liveness Dead.
func breakGroups(v View, now time.Time, a *Actions) {
	for _, g := range groupsByWorth(v) {
		if g.State == blackboard.Broken || g.State == blackboard.Released {
			continue
		}
		reason := v.Memory.lastingFault(groupEpoch{g.ID, g.Epoch}, groupFaults(v, now, g), now)
		if reason == "" {
			continue
		}
		a.moveGroup(g, blackboard.Broken, reason, now)
		a.decide(Decision{Kind: "break", Subject: g.ID, Choice: "broken", RunnerUp: "wait", Reason: reason})
	}
}

// fault is a fault of a group, and how long the fault must last before the group is broken.
type fault struct {
	text    string
	timeout time.Duration
}

// lastingFault records the present faults of a group epoch and returns a fault that has lasted
// longer than its timeout, or "".
//
// Each fault has its own start time. With one time for all faults, a member that paused and came
// back was given up on its return. For one round of announcements the other members still
// reported it lost while its own announcements arrived again, and that fault has a shorter
// timeout than the time that had already passed.
func (m *Memory) lastingFault(epoch groupEpoch, faults []fault, now time.Time) string {
	previous := m.faults[epoch]
	current := make(map[string]time.Time, len(faults))
	lasted := ""
	for _, f := range faults {
		at, known := previous[f.text]
		if !known {
			at = now
		}
		current[f.text] = at
		if lasted == "" && now.Sub(at) >= f.timeout {
			lasted = f.text
		}
	}
	m.faults[epoch] = current
	return lasted
}

func groupFaults(v View, now time.Time, g blackboard.Group) []fault {
	var faults []fault
	if at, stalled := v.ConfirmedStalls[GroupEpoch{g.ID, g.Epoch}]; stalled && g.RequiresOpenHead && now.Sub(at) < stallValidity {
		faults = append(faults, fault{"no entry gets answers", 0})
	}
	if g.State == blackboard.Loading && v.Memory.timeInState(g, now) > loadTimeout {
		faults = append(faults, fault{"not loaded in time", 0})
	}
	for _, m := range g.Members {
		if text, timeout := memberFault(v, now, g, m); text != "" {
			faults = append(faults, fault{"member " + m.VM + " " + text, timeout})
		}
	}
	return faults
}

func memberFault(v View, now time.Time, g blackboard.Group, m blackboard.GroupMember) (text string, timeout time.Duration) {
	vm, ok := v.Board.VMs[m.VM]
	if !ok {
		return "is unknown", 0
	}
	if vm.Incarnation != m.Incarnation {
		return "restarted", 0
	}
	if vm.Liveness == blackboard.Dead {
		if g.RequiresOpenHead && g.State == blackboard.Serving {
			return "is dead", silentMemberLimit
		}
		return "is dead", 0
	}
	r, hasReport := v.Evidence.Get(m.VM)
	if !hasReport || now.Sub(r.ReceivedAt) > v.Evidence.RoutableAge() {
		return "", 0
	}
	if r.Incarnation != m.Incarnation {
		if supersedes(r, vm.StartedMillis) {
			return "restarted", 0
		}
		return "restarted", v.timing().FaultTimeout
	}
	return reportedFault(v, now, g, r)
}

// reportedFault returns the fault in the current report of a member. While a group loads, members
// that began earlier do not reach the others yet, so unreachable members are no fault.
func reportedFault(v View, now time.Time, g blackboard.Group, r evidence.Report) (text string, timeout time.Duration) {
	inEpoch := r.Group == g.ID && r.Epoch == g.Epoch
	if inEpoch && r.Phase == backend.PhaseFailed {
		v.Memory.avoidAfterFailedLoad(g, r.ID, now)
		return "failed", 0
	}
	switch g.State {
	case blackboard.Serving, blackboard.Draining:
		if inEpoch && len(r.Unreachable) > 0 {
			return lostFault(v, now, r.Unreachable[0])
		}
		if !inEpoch {
			return "left the epoch", v.timing().FaultTimeout
		}
		if !isServicePhase(g, r) {
			return "is " + string(r.Phase), v.timing().FaultTimeout
		}
	case blackboard.Loading:
		// The time counts from the order, because a member's order is sent late when many are
		// due.
		if !inEpoch && v.Memory.sinceLoadOrder(r.ID, groupEpoch{g.ID, g.Epoch}, now) > v.timing().StartTimeout {
			v.Memory.avoidAfterFailedLoad(g, r.ID, now)
			return "does not begin to load", 0
		}
	}
	return "", 0
}

// isServicePhase reports whether a member's phase is normal for a group in service. The head of a
// draining group may have closed.
func isServicePhase(g blackboard.Group, r evidence.Report) bool {
	if g.RequiresOpenHead && g.State == blackboard.Draining {
		return true
	}
	return g.IsMemberReady(blackboard.GroupMember{VM: r.ID}, string(r.Phase))
}

// avoidAfterFailedLoad keeps a VM out of new groups for some time when its load failed. A VM that
// failed while serving is no worse than others: engines report failed when they have lost another
// member for good, and are then needed as survivors.
func (m *Memory) avoidAfterFailedLoad(g blackboard.Group, vm string, now time.Time) {
	if g.State == blackboard.Loading {
		m.avoidUntil[vm] = now.Add(avoidDuration)
	}
}

func lostFault(v View, now time.Time, lost string) (text string, timeout time.Duration) {
	r, hasReport := v.Evidence.Get(lost)
	if hasReport && now.Sub(r.ReceivedAt) <= v.Evidence.RoutableAge() {
		return "has lost " + lost + ", which is heard", faultTimeout
	}
	return "has lost " + lost + ", which is silent", lostMemberTimeout
}
