package raft

import (
	"fmt"
	"slices"
	"time"
)

const (
	// simCatchUp is how long a VM with a new disk must have run undisturbed until it no
	// longer counts as lost, and another disk may be lost in its place.
	simCatchUp = 4 * time.Second
	// simLossReplaceAfter is shorter than simCatchUp: a lost voter must be replaced by then.
	simLossReplaceAfter = 2500 * time.Millisecond
	// simRestartTime is how long all VMs are down after a loss of power.
	simRestartTime = 1500 * time.Millisecond
	// simStopTime bounds how long a VM that stops waits to hand over its vote.
	simStopTime = time.Second
	// simLongAbsence exceeds the time after which a learner leaves the list.
	simLongAbsence = (absentFactor + 4) * simLossReplaceAfter
	// simStallChance and simAbsenceChance are the probabilities per step that a disk stalls
	// and that a VM is down for long.
	simStallChance   = 0.0005
	simAbsenceChance = 0.0001
	// simRoughChance is the probability per step that a rough period starts.
	simRoughChance = 0.001
)

// simLosses loses VMs and disks within the tolerance of a simulated cluster: at any time
// no more than tolerance disks have been lost without a successor that has caught up.
// Freezes, crashes and cuts are not limited.
type simLosses struct {
	w         *simCluster
	tolerance int
	// open holds, by the VM with the new disk, how long it has run undisturbed.
	open map[*simVM]time.Duration
	// leaving holds, by successor, the VMs that stop for good once the successor has caught
	// up. stopping holds the time at which such a VM stops with its vote at the latest.
	leaving  map[*simVM]*simVM
	stopping map[*simVM]time.Duration
	created  int
	// roughUntil is the time until which messages are lost and late, and syncs slow.
	roughUntil time.Duration
	// calmTime is how long the cluster has been calm.
	calmTime time.Duration
	// term is the term of the leader at the last step, or zero. hasStableLeader is set if it
	// also led at the step before.
	term            uint64
	hasStableLeader bool
}

func newSimLosses(w *simCluster) *simLosses {
	return &simLosses{
		w: w, tolerance: (w.wanted - 1) / 2, open: map[*simVM]time.Duration{}, leaving: map[*simVM]*simVM{},
		stopping: map[*simVM]time.Duration{},
	}
}

// step advances the time of each successor, or restarts it at a disturbance.
func (l *simLosses) step() {
	l.observeLeader()
	l.calmTime += simStep
	if !l.isCalm() {
		l.calmTime = 0
	}
	for _, vm := range slices.Clone(l.w.vms) {
		elapsed, ok := l.open[vm]
		if !ok {
			continue
		}
		if !l.canCatchUp(vm) {
			elapsed = 0
		}
		l.open[vm] = elapsed + simStep
		if l.open[vm] < simCatchUp {
			continue
		}
		delete(l.open, vm)
		if old := l.leaving[vm]; old != nil {
			l.stopping[old] = l.w.now + simStopTime
		}
	}
	for successor, old := range l.leaving {
		if limit, ok := l.stopping[old]; ok {
			l.stop(successor, old, limit)
		}
	}
}

// stop lets a VM hand over its vote, and then takes it away. Only a VM that stopped with its
// vote counts as lost until its successor has run undisturbed.
func (l *simLosses) stop(successor, old *simVM, limit time.Duration) {
	hasVote := old.disk != nil && l.w.checker.membership.HasVote(old.disk.id)
	mayStop := false
	if p := old.proc; p != nil && p.pending == nil {
		mayStop = p.node.Leave()
		if p.isLeader {
			// Without a voter that answers, the next step tries again.
			_ = p.node.TransferLeadership(old.clock(l.w.now))
		}
	}
	if !mayStop && l.w.now < limit {
		return
	}
	l.remove(old)
	delete(l.leaving, successor)
	delete(l.stopping, old)
	if hasVote && l.calmTime >= simStopTime {
		l.w.checker.fail("%s stops with its vote although nothing disturbs the handover", old.name)
	}
	if hasVote {
		l.w.counts["stops with a vote"]++
		l.open[successor] = 0
	}
}

// observeLeader records whether the leader of the last step still holds a lease.
func (l *simLosses) observeLeader() {
	earlier := l.term
	l.term = 0
	for _, vm := range l.w.vms {
		if p := vm.proc; p != nil && p.isLeader && p.lease > vm.clock(l.w.now) {
			l.term = max(l.term, p.term)
		}
	}
	l.hasStableLeader = l.term != 0 && l.term == earlier
}

// isCalm reports whether all VMs run undisturbed under a stable leader.
func (l *simLosses) isCalm() bool {
	return !slices.ContainsFunc(l.w.vms, func(vm *simVM) bool { return !l.canCatchUp(vm) })
}

// canCatchUp reports whether a VM runs undisturbed under a stable leader while no VM is down.
// Other VMs may be frozen or cut off, or their disks stalled.
func (l *simLosses) canCatchUp(vm *simVM) bool {
	if !l.hasStableLeader || l.roughUntil > l.w.now || l.isCut(vm) {
		return false
	}
	for _, other := range l.w.vms {
		if other.proc == nil {
			return false
		}
	}
	return vm.proc.frozenUntil <= l.w.now && vm.stalledUntil <= l.w.now
}

func (l *simLosses) isCut(vm *simVM) bool {
	for link, until := range l.w.cutUntil {
		if until > l.w.now && slices.Contains(link[:], vm.name) {
			return true
		}
	}
	return false
}

// disturb sometimes stalls a disk, keeps a VM down for long with its disk intact, or starts a
// period in which messages are lost and late, and syncs slow.
func (l *simLosses) disturb(rough simFaults) {
	vm := l.w.vms[l.w.rng.IntN(len(l.w.vms))]
	switch {
	case l.w.rng.Float64() < simStallChance:
		l.w.counts["stalled disks"]++
		vm.stalledUntil = l.w.now + l.w.duration(6*time.Second)
	case l.w.rng.Float64() < simAbsenceChance && vm.disk != nil:
		l.w.counts["long absences"]++
		l.w.crash(vm)
		vm.restartAt = l.w.now + l.w.duration(simLongAbsence)
	}
	if l.w.rng.Float64() < simRoughChance {
		l.roughUntil = l.w.now + l.w.duration(6*time.Second)
	}
	f := &l.w.faults
	f.loss, f.delay, f.slowSync = 0, 0, 0
	if l.w.now < l.roughUntil {
		f.loss, f.delay, f.slowSync = rough.loss, rough.delay, rough.slowSync
	}
}

// inject loses or replaces a random VM, or the leader, if the tolerance allows it.
func (l *simLosses) inject() {
	vm := l.victim()
	if len(l.open)+len(l.stopping) >= l.tolerance || l.isInvolved(vm) {
		return
	}
	switch l.w.rng.IntN(4) {
	case 0:
		l.w.counts["VMs lost for good"]++
		l.open[l.addVM(l.w.duration(3*time.Second), vm.dataCentre)] = 0
		l.remove(vm)
	case 1:
		l.w.counts["planned replacements"]++
		successor := l.addVM(0, vm.dataCentre)
		l.open[successor] = 0
		l.leaving[successor] = vm
	default:
		l.w.counts["lost disks"]++
		l.w.crash(vm)
		vm.disk = nil
		vm.restartAt = l.w.now + l.w.duration(4*time.Second)
		l.open[vm] = 0
	}
}

func (l *simLosses) victim() *simVM {
	vm := l.w.vms[l.w.rng.IntN(len(l.w.vms))]
	if l.w.rng.IntN(3) > 0 {
		return vm
	}
	for _, other := range l.w.vms {
		if other.proc != nil && other.proc.isLeader {
			return other
		}
	}
	return vm
}

// isInvolved reports whether a VM has yet to catch up or is about to leave.
func (l *simLosses) isInvolved(vm *simVM) bool {
	_, ok := l.open[vm]
	for successor, old := range l.leaving {
		ok = ok || successor == vm || old == vm
	}
	return ok
}

// addVM adds a successor in the data centre of another VM.
func (l *simLosses) addVM(startIn time.Duration, dataCentre string) *simVM {
	l.created++
	vm := &simVM{
		name: fmt.Sprint("new-", l.created), dataCentre: dataCentre, rate: l.w.clockRate(),
		offset: l.w.duration(time.Hour), restartAt: l.w.now + startIn,
	}
	l.w.vms = append(l.w.vms, vm)
	return vm
}

func (l *simLosses) remove(vm *simVM) {
	l.w.crash(vm)
	l.w.vms = slices.DeleteFunc(l.w.vms, func(other *simVM) bool { return other == vm })
}

// finalFault makes all VMs lose power and as many voters as tolerated lose their disks.
func (l *simLosses) finalFault() {
	lost := l.soundVoters()
	l.w.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	for _, vm := range l.w.vms {
		l.w.crash(vm)
		vm.restartAt = l.w.now + simRestartTime
	}
	for _, vm := range lost[:l.tolerance] {
		vm.disk = nil
	}
}

// soundVoters returns the VMs whose present disk has a vote under the last committed
// membership.
func (l *simLosses) soundVoters() []*simVM {
	var sound []*simVM
	for _, vm := range l.w.vms {
		if vm.disk != nil && l.w.checker.membership.IsVoter(vm.disk.id) {
			sound = append(sound, vm)
		}
	}
	return sound
}

// problem describes the voters unless they are as many as wanted and all of them are sound.
func (l *simLosses) problem() string {
	voters, sound := len(l.w.checker.membership.Voters()), len(l.soundVoters())
	if voters == l.w.wanted && sound == l.w.wanted {
		return ""
	}
	return fmt.Sprintf("%d voters, %d of them sound, %d wanted\n%v", voters, sound, l.w.wanted, l.w)
}
