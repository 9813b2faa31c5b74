package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// The thresholds of liveness, in silence heard by a majority of entries.
// Routing does not wait for them: entries stop after evidence.RoutableAge.
const (
	// pausedAfter is over seven announcements lost in a row: short stops of a
	// VM under a hypervisor pass before it.
	pausedAfter = 3 * time.Second
	// deadAfter is when a member's group is torn down. Reloading a group takes
	// tens of seconds, so waiting ten for a paused member costs less than a
	// needless reload, and adds ten seconds to the downtime of a real loss.
	deadAfter = 10 * time.Second
	// massDeadAfter takes the place of deadAfter while more than half of the
	// VMs that are not dead are silent at once, see massSilence.
	massDeadAfter = time.Minute
	// massLeast is the fewest VMs of which half says anything.
	massLeast = 4
	// strayWitness doubles the thresholds while the only process that heard a
	// backend server is silent itself: the backend server may be looking for
	// another entry.
	strayWitness = 2
	// forgetVMAfter is when a dead VM is dropped, so that VMs that are replaced
	// under new names don't stay for ever. It is long past any restart, and past
	// any order that could still be on its way.
	forgetVMAfter = 24 * time.Hour
	// forgetAfter is when a dead instance of a plain service is dropped.
	forgetAfter = 10 * time.Minute
)

// The thresholds of a straggler, in intervals between announcements.
// A VM is a straggler from slowGap on and again alive below steadyGap; the
// space between keeps one late announcement from changing anything.
const (
	slowGap   = 4
	steadyGap = 3
)

// The time that a VM must have stayed alive before it may join a new group
// doubles with each return, from settleFirst to settleMost: a flapping VM
// would otherwise break each group that it joins.
const (
	settleFirst = 2 * time.Second
	settleMost  = 2 * time.Minute
)

// liveness concludes alive, paused, dead or straggler from the evidence.
func liveness(v View, now time.Time, a *Actions) {
	dead := v.Memory.deadAfter(massSilence(v, now), now, v.timing().Dead)
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		r, hasReport := v.Evidence.Get(id)
		if hasReport && r.Incarnation != vm.Incarnation {
			continue
		}
		to := conclude(v, now, vm.Liveness, r, hasReport, dead)
		if to == vm.Liveness {
			forgetVM(v, now, a, vm)
			continue
		}
		returned := vm.Liveness == blackboard.Paused || vm.Liveness == blackboard.Dead
		a.command(&blackboard.SetLiveness{
			VM: id, Incarnation: vm.Incarnation, To: to,
			NowMillis: now.UnixMilli(), Returned: returned && to != blackboard.Dead && to != blackboard.Paused,
		})
		a.decide(Decision{Kind: "vm", Subject: id, Choice: string(to), Reason: "was " + string(vm.Liveness)})
	}
	serviceLiveness(v, now, a)
}

func forgetVM(v View, now time.Time, a *Actions, vm blackboard.VM) {
	dead := now.UnixMilli() - vm.SinceMillis
	if vm.Liveness != blackboard.Dead || dead < forgetVMAfter.Milliseconds() {
		return
	}
	v.Evidence.Forget(backend.KindEngine, vm.ID)
	a.command(&blackboard.RemoveVM{VM: vm.ID, Incarnation: vm.Incarnation})
}

func serviceLiveness(v View, now time.Time, a *Actions) {
	for _, id := range sortedKeys(v.Board.Services) {
		s := v.Board.Services[id]
		r, hasReport := v.Evidence.GetService(id)
		if hasReport && r.Incarnation != s.Incarnation {
			continue
		}
		to := conclude(v, now, s.Liveness, r, hasReport, v.timing().Dead)
		if to == blackboard.Dead && silence(v, now, r, hasReport) > forgetAfter {
			v.Evidence.Forget(backend.KindService, id)
			a.command(&blackboard.RemoveService{ID: id, Incarnation: s.Incarnation})
			continue
		}
		if to != s.Liveness {
			s.Liveness = to
			a.command(&blackboard.PutService{Instance: s})
		}
	}
}

// silence returns how long a backend server has been silent while a majority
// of entries would have passed on what it said; see evidence.Table.Covered.
func silence(v View, now time.Time, r evidence.Report, hasReport bool) time.Duration {
	from := v.Memory.coveredSince
	if from.IsZero() {
		return 0
	}
	if hasReport && r.HeardAt.After(from) {
		from = r.HeardAt
	}
	return now.Sub(from)
}

// deadAfter returns how long a VM must be silent to be dead. A mass silence
// counts for some time past its end: the first to return end it, and the others
// have a moment to be heard.
func (m *Memory) deadAfter(mass bool, now time.Time, ordinary time.Duration) time.Duration {
	if mass {
		m.massSeen = now
	}
	if !m.massSeen.IsZero() && now.Sub(m.massSeen) < ordinary {
		return massDeadAfter
	}
	return ordinary
}

// massSilence tells whether more than half of the VMs that are not dead are
// silent at once.
//
// Failure: the path from the backend servers to the entries fails for half a
// minute, and all groups are torn down and loaded again through the store, for
// hours. Half of all VMs seldom die together, and a path that all use often
// fails; so most being silent says more of the path than of the VMs. Routing
// has stopped long before, so waiting lets no request through. The price is
// that the loss of more than half is acted on after massDeadAfter: there is
// little left then to rebuild with. A dark domain or data centre of up to half
// is acted on as ever.
func massSilence(v View, now time.Time) bool {
	living, silent := 0, 0
	for id, vm := range v.Board.VMs {
		if vm.Liveness == blackboard.Dead {
			continue
		}
		living++
		r, hasReport := v.Evidence.Get(id)
		if silence(v, now, r, hasReport) > v.timing().Paused {
			silent++
		}
	}
	return living >= massLeast && 2*silent > living
}

func conclude(
	v View, now time.Time, is blackboard.Liveness, r evidence.Report, hasReport bool, dead time.Duration,
) blackboard.Liveness {
	if hasReport && now.Sub(r.HeardAt) <= v.Evidence.RoutableAge() {
		return pace(is, r, v.Evidence.Interval())
	}
	scale := time.Duration(1)
	if hasReport && !v.Evidence.Witness(now, r.Source, evidence.WitnessAge) {
		scale = strayWitness
	}
	quiet := silence(v, now, r, hasReport)
	switch {
	case is == blackboard.Dead || quiet > dead*scale:
		return blackboard.Dead
	case quiet > v.timing().Paused*scale:
		return blackboard.Paused
	}
	return is
}

// pace tells a straggler from a VM in good order.
func pace(is blackboard.Liveness, r evidence.Report, interval time.Duration) blackboard.Liveness {
	switch {
	case r.Gap > slowGap*interval:
		return blackboard.Straggler
	case is == blackboard.Straggler && r.Gap > steadyGap*interval:
		return blackboard.Straggler
	}
	return blackboard.Alive
}

// steady tells whether a VM has stayed alive long enough to join a group.
func steady(v View, vm blackboard.VM, now time.Time) bool {
	if vm.Liveness != blackboard.Alive {
		return false
	}
	if vm.Flaps == 0 {
		return true
	}
	most := v.timing().SettleMost
	need := most
	if vm.Flaps < 6 {
		need = min(most, v.timing().Settle<<vm.Flaps)
	}
	age := now.UnixMilli() - vm.SinceMillis
	return age < 0 || age >= need.Milliseconds()
}
