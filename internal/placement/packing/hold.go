package packing

import "slices"

// hold returns the model that each VM in no group should hold: those that the
// groups still to be formed need, then those of VMs that stand by.
//
// Load: a member of a group fails, whichever it is, and its group should serve
// again in the time of a join. So the VMs that are over stand by for the models in
// turn, each for the one with most VMs in groups for each that stands by already;
// one that holds what is needed keeps it, as a load takes longer than most repairs.
func hold(models []Model, d Domain, groups []int) map[string]string {
	h := &holder{models: models, out: make(map[string]string)}
	for _, vm := range d.VMs {
		if !vm.Grouped {
			h.free = append(h.free, vm)
		}
	}
	// Those that can be given orders come first.
	slices.SortStableFunc(h.free, func(a, b VM) int { return rank(a) - rank(b) })
	need := make([]int, len(models))
	for i, m := range models {
		need[i] = max(0, groups[i]-d.Groups[m.Name]) * m.Size
	}
	h.give(need)
	h.give(h.standbys(groups))
	return h.out
}

func rank(vm VM) int {
	if vm.Away {
		return 1
	}
	return 0
}

// holder gives models to the VMs in no group.
type holder struct {
	models []Model
	free   []VM
	out    map[string]string
}

// give hands out models: first to VMs that have them loaded, then to those that
// have them on their hosts, then to any.
func (h *holder) give(need []int) {
	ways := []func(vm VM, model string) bool{
		func(vm VM, model string) bool { return vm.Loaded == model },
		func(vm VM, model string) bool { return slices.Contains(vm.Staged, model) },
		func(VM, string) bool { return true },
	}
	for _, fits := range ways {
		for i, m := range h.models {
			need[i] -= h.giveSome(m.Name, need[i], fits)
		}
	}
}

func (h *holder) giveSome(model string, n int, fits func(VM, string) bool) (given int) {
	var left []VM
	for _, vm := range h.free {
		if given < n && fits(vm, model) {
			h.out[vm.ID] = model
			given++
			continue
		}
		left = append(left, vm)
	}
	h.free = left
	return given
}

// standbys divides the VMs that are over; a domain without groups takes the model
// that it is nearest to.
func (h *holder) standbys(groups []int) []int {
	n := divideSpares(h.models, groups, len(h.free))
	given := 0
	for _, k := range n {
		given += k
	}
	if given == 0 && len(h.free) > 0 {
		n[h.likeliest()] = len(h.free)
	}
	return n
}

// likeliest returns the model that a domain without groups is nearest to: the one
// that most of its VMs hold, else the one with the smallest groups.
func (h *holder) likeliest() int {
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
