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
	h := &assigner{models: models, out: make(map[string]string)}
	for _, vm := range d.VMs {
		if !vm.Grouped {
			h.free = append(h.free, vm)
		}
	}
	// VMs that can receive orders come first.
	slices.SortStableFunc(h.free, func(a, b VM) int { return absentRank(a) - absentRank(b) })
	need := make([]int, len(models))
	for i, m := range models {
		need[i] = max(0, groups[i]-d.Groups[m.Name]) * m.Size
	}
	h.assign(need)
	h.assign(h.standbyCounts(groups))
	return h.out
}

func absentRank(vm VM) int {
	if vm.Away {
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
func (h *assigner) assign(need []int) {
	preferences := []func(vm VM, model string) bool{
		func(vm VM, model string) bool { return vm.Loaded == model },
		func(vm VM, model string) bool { return slices.Contains(vm.Staged, model) },
		func(VM, string) bool { return true },
	}
	for _, fits := range preferences {
		for i, m := range h.models {
			need[i] -= h.assignUpTo(m.Name, need[i], fits)
		}
	}
}

func (h *assigner) assignUpTo(model string, n int, fits func(VM, string) bool) (assigned int) {
	var remaining []VM
	for _, vm := range h.free {
		if assigned < n && fits(vm, model) {
			h.out[vm.ID] = model
			assigned++
			continue
		}
		remaining = append(remaining, vm)
	}
	h.free = remaining
	return assigned
}

// standbyCounts divides the spare VMs among the models. In a domain without groups all of them
// get the nearest model.
func (h *assigner) standbyCounts(groups []int) []int {
	n := divideSpares(h.models, groups, len(h.free))
	assigned := 0
	for _, k := range n {
		assigned += k
	}
	if assigned == 0 && len(h.free) > 0 {
		n[h.nearestModel()] = len(h.free)
	}
	return n
}

// nearestModel returns the model that a domain without groups is nearest to: the model that
// most of its VMs hold, or of several such models the one with the smallest groups.
func (h *assigner) nearestModel() int {
	best, votes := 0, -1
	for i, m := range h.models {
		n := 0
		for _, vm := range h.free {
			if vm.Loaded == m.Name || slices.Contains(vm.Staged, m.Name) {
				n++
			}
		}
		if n > votes || (n == votes && m.Size < h.models[best].Size) {
			best, votes = i, n
		}
	}
	return best
}
