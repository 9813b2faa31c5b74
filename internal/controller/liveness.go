package controller

import (
	"time"

	"github.com/citronstep/citronstep/internal/backend"
	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/evidence"
)

// The liveness thresholds are durations of silence as observed by a majority of entries. Routing
// does not wait for them: entries stop routing after evidence.RoutableAge.
const (
	// pausedAfter is over seven lost announcements in a row, so that short stops of a VM under a
	// hypervisor do not reach it.
	pausedAfter = 3 * time.Second
	// deadAfter is the silence after which a member's group is torn down. Reloading a group takes
	// tens of seconds. Waiting ten seconds for a paused member costs less than a needless reload
	// and adds only ten seconds to the downtime of a real loss.
	deadAfter = 10 * time.Second
	// massDeadAfter replaces deadAfter while more than half of the VMs that are not dead are
	// silent at the same time; see hasMassSilence.
	massDeadAfter = time.Minute
	// massSilenceMinVMs is the smallest number of VMs for which the silence of half of them is
	// meaningful.
	massSilenceMinVMs = 4
	// silentSourceFactor doubles the thresholds while the only process that received a backend
	// server's announcements is silent itself: the backend server may be looking for another
	// entry.
	silentSourceFactor = 2
	// removeVMAfter is the time after which a dead VM is removed, so that the rows of VMs that
	// are replaced under new names do not accumulate. It is far longer than any restart and than
	// any order in transit.
	removeVMAfter = 24 * time.Hour
	// removeServiceAfter is the time after which a dead instance of a plain service is removed.
	removeServiceAfter = 10 * time.Minute
)

// The straggler thresholds count announcement intervals. A VM becomes a straggler above
// stragglerIntervals and alive again at recoveredIntervals or less. The gap between both keeps
// one late announcement from changing the state.
const (
	stragglerIntervals = 4
	recoveredIntervals = 3
)

// A VM must have stayed alive for some time before it may join a new group. The time doubles with
// each return, up to maxRejoinWait. Otherwise a flapping VM would break each group that it joins.
// The first wait is twice rejoinWait.
const (
	rejoinWait    = 2 * time.Second
	maxRejoinWait = 2 * time.Minute
)

// updateLiveness derives alive, paused, dead or straggler from the evidence.
func updateLiveness(v View, now time.Time, a *Actions) {
	dead := v.Memory.deadThreshold(hasMassSilence(v, now), now, v.timing().DeadAfter)
	for _, id := range v.vmIDs() {
		vm := v.Board.VMs[id]
		r, hasReport := v.Evidence.Get(id)
		if hasReport && r.Incarnation != vm.Incarnation {
			continue
		}
		to := nextLiveness(v, now, vm.Liveness, r, hasReport, dead)
		if to == vm.Liveness {
			removeDeadVM(v, now, a, vm)
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

func removeDeadVM(v View, now time.Time, a *Actions, vm blackboard.VM) {
	dead := now.UnixMilli() - vm.SinceMillis
	if vm.Liveness != blackboard.Dead || dead < removeVMAfter.Milliseconds() {
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
		to := nextLiveness(v, now, s.Liveness, r, hasReport, v.timing().DeadAfter)
		if to == blackboard.Dead && silence(v, now, r, hasReport) > removeServiceAfter {
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

// silence returns how long a backend server has been silent while a majority of entries would
// have forwarded its announcements; see evidence.Table.HasMajority.
func silence(v View, now time.Time, r evidence.Report, hasReport bool) time.Duration {
	from := v.Memory.majoritySince
	if from.IsZero() {
		return 0
	}
	if hasReport && r.ReceivedAt.After(from) {
		from = r.ReceivedAt
	}
	return now.Sub(from)
}

// deadThreshold returns how long a VM must be silent to count as dead. A mass silence has its
// effect for some time after its end: the first VMs to return end it, and the other VMs need a
// moment until their announcements arrive.
func (m *Memory) deadThreshold(mass bool, now time.Time, ordinary time.Duration) time.Duration {
	if mass {
		m.massSilenceAt = now
	}
	if !m.massSilenceAt.IsZero() && now.Sub(m.massSilenceAt) < ordinary {
		return massDeadAfter
	}
	return ordinary
}

// hasMassSilence reports whether more than half of the VMs that are not dead are silent at the
// same time.
//
// Failure: the path from the backend servers to the entries fails for half a minute, and all
// groups are torn down and loaded again through the store, which takes hours. Half of all VMs
// seldom die together, whereas a path that all VMs share often fails. Silence of most VMs is
// therefore evidence about the path rather than about the VMs. Routing has stopped long before,
// so waiting lets no request through.
//
// The price is that the loss of more than half of the VMs takes effect only after massDeadAfter;
// then few VMs are left for a rebuild. The loss of a domain or data centre with up to half of the
// VMs takes effect as usual.
//
// VMs that fall silent together made their last announcements within one interval. The first of them must not be dead
// before the others count as silent.
func hasMassSilence(v View, now time.Time) bool {
	limit := min(v.timing().PausedAfter, v.timing().DeadAfter-v.Evidence.Interval())
	living, silent := 0, 0
	for id, vm := range v.Board.VMs {
		if vm.Liveness == blackboard.Dead {
			continue
		}
		living++
		r, hasReport := v.Evidence.Get(id)
		if silence(v, now, r, hasReport) > limit {
			silent++
		}
	}
	return living >= massSilenceMinVMs && 2*silent > living
}

func nextLiveness(
	v View, now time.Time, current blackboard.Liveness, r evidence.Report, hasReport bool, dead time.Duration,
) blackboard.Liveness {
	if hasReport && now.Sub(r.ReceivedAt) <= v.Evidence.RoutableAge() {
		return livenessByGap(current, r, v.Evidence.Interval())
	}
	scale := time.Duration(1)
	if hasReport && !v.Evidence.HasRecentDigest(now, r.Source, evidence.MaxDigestAge) {
		scale = silentSourceFactor
	}
	silent := silence(v, now, r, hasReport)
	switch {
	case current == blackboard.Dead || silent > dead*scale:
		return blackboard.Dead
	case silent > v.timing().PausedAfter*scale:
		return blackboard.Paused
	}
	return current
}

// livenessByGap distinguishes a straggler from a healthy VM by the gap between its announcements.
func livenessByGap(current blackboard.Liveness, r evidence.Report, interval time.Duration) blackboard.Liveness {
	switch {
	case r.Gap > stragglerIntervals*interval:
		return blackboard.Straggler
	case current == blackboard.Straggler && r.Gap > recoveredIntervals*interval:
		return blackboard.Straggler
	}
	return blackboard.Alive
}

// isStable reports whether a VM has stayed alive long enough to join a group.
func isStable(v View, vm blackboard.VM, now time.Time) bool {
	if vm.Liveness != blackboard.Alive {
		return false
	}
	if vm.Flaps == 0 {
		return true
	}
	most := v.timing().MaxRejoinWait
	need := most
	if vm.Flaps < 6 {
		need = min(most, v.timing().RejoinWait<<vm.Flaps)
	}
	age := now.UnixMilli() - vm.SinceMillis
	return age < 0 || age >= need.Milliseconds()
}
