package packing

import "slices"

// assignModels returns the model that each ungrouped VM should hold, by VM id: first the models
// that groups still to form need, then the models of standby VMs.
//
// Any member of a group may fail, and the group should serve again within the time of a join.
// The spare VMs therefore stand by for the models in turn, each for the model with the most
// grouped VMs for each standby VM. A VM that already holds a needed model keeps it, because a
// load takes longer than most repairs.
func assignModels(models []Model, d Domain, groups []int) map[string]string {
	a := &assigner{models: models, out: make(map[string]string)}
	for _, vm := range d.VMs {
		if !vm.InGroup {
			a.free = append(a.free, vm)
		}
	}
	// VMs that can receive orders come first.
	slices.SortStableFunc(a.free, func(x, y VM) int { return absentRank(x) - absentRank(y) })
	need := make([]int, len(models))
	for i, m := range models {
		need[i] = max(0, groups[i]-d.Groups[m.Name]) * m.Size
	}
	a.assign(need)
	a.assign(a.standbyCounts(groups))
	return a.out
}

func absentRank(vm VM) int {
	if vm.Absent {
		return 1
	}
	return 0
}

// assigner assigns models to the ungrouped VMs.
type assigner struct {
	models []Model
	free   []VM
	out    map[string]string
}

// assign assigns models: first to VMs that have them loaded, then to VMs that have them on
// their hosts, then to any VM.
func (a *assigner) assign(need []int) {
	preferences := []func(vm VM, model string) bool{
		func(vm VM, model string) bool { return vm.Loaded == model },
		func(vm VM, model string) bool { return slices.Contains(vm.Staged, model) },
		func(VM, string) bool { return true },
	}
	for _, fits := range preferences {
		for i, m := range a.models {
			need[i] -= a.assignUpTo(m.Name, need[i], fits)
		}
	}
}

func (a *assigner) assignUpTo(model string, n int, fits func(VM, string) bool) (assigned int) {
	var remaining []VM
	for _, vm := range a.free {
		if assigned < n && fits(vm, model) {
			a.out[vm.ID] = model
			assigned++
			continue
		}
		remaining = append(remaining, vm)
	}
	a.free = remaining
	return assigned
}

// standbyCounts divides the spare VMs among the models. In a domain without groups all of them
// get the nearest model.
func (a *assigner) standbyCounts(groups []int) []int {
	n := divideSpares(a.models, groups, len(a.free))
	assigned := 0
	for _, k := range n {
		assigned += k
	}
	if assigned == 0 && len(a.free) > 0 {
		n[a.nearestModel()] = len(a.free)
	}
	return n
}

// nearestModel returns the model that a domain without groups is nearest to: the model that
// most of its VMs hold, or of several such models the one with the smallest groups.
func (a *assigner) nearestModel() int {
	best, votes := 0, -1
	for i, m := range a.models {
		n := 0
		for _, vm := range a.free {
			if vm.Loaded == m.Name || slices.Contains(vm.Staged, m.Name) {
				n++
			}
		}
		if n > votes || (n == votes && m.Size < a.models[best].Size) {
			best, votes = i, n
		}
	}
	return best
}
