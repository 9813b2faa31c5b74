package packing

import "slices"

// ChooseStaged returns the further model whose weights the host of each VM of a domain should
// hold, by VM id: a model that the VM holds neither in its accelerators nor on its host. layout is
// the domain's layout, perHost the number of models that a host keeps, and starting is true while
// the pool serves nobody yet. A VM without an entry keeps what its host holds.
//
// Load: a group breaks, or the demand for a model grows, where the free VMs hold the other model.
// Harm: the group waits for a load from the store, while a VM whose host holds the second model
// joins within two seconds.
//
// While the pool starts, loads cost next to nothing, and each VM has an entry. Later a load is
// worth it only where a group may soon need it. Each join makes the host hold the model of the
// join, and with perHost of 1 nothing else: a group that breaks and forms again would load once
// for each member. Entries are therefore only for VMs in no group: for the model that the layout
// assigns to them, so that a group can form; and, where the domain has all its groups, for a
// further model of which the domain has groups.
//
// A host that keeps perHost models loses its oldest to a further one. A VM therefore has an entry
// only while fewer than perHost models on its host differ from the one in its accelerators, or
// while it lacks the assigned model; and none before its accelerators hold a model, because what
// its host holds may be all that it has.
func ChooseStaged(models []Model, d Domain, layout Layout, perHost int, starting bool) map[string]string {
	if perHost <= 0 || len(models) < 2 {
		return nil
	}
	out := make(map[string]string)
	holders := make(map[string]int)
	for _, vm := range d.VMs {
		countHeld(holders, vm)
	}
	whole := isWhole(models, d, layout)
	for _, vm := range d.VMs {
		if vm.Absent || vm.Loaded == "" || (vm.InGroup && !starting) {
			continue
		}
		assigned := layout.ModelByVM[vm.ID]
		model := chooseFurther(models, d, vm, assigned, holders)
		isSpare := countFurther(vm) < perHost && (starting || (whole && layout.Groups[model] > 0))
		if model != "" && (model == assigned || isSpare) {
			out[vm.ID] = model
			holders[model]++
		}
	}
	return out
}

// isWhole reports whether a domain has all groups of its layout.
func isWhole(models []Model, d Domain, layout Layout) bool {
	for _, m := range models {
		if d.Groups[m.Name] < layout.Groups[m.Name] {
			return false
		}
	}
	return true
}

// countHeld counts a VM for each model that it holds.
func countHeld(holders map[string]int, vm VM) {
	if vm.Loaded != "" {
		holders[vm.Loaded]++
	}
	for _, model := range vm.Staged {
		if model != vm.Loaded {
			holders[model]++
		}
	}
}

// countFurther returns how many models a VM's host holds that its accelerators do not.
func countFurther(vm VM) int {
	n := 0
	for _, model := range vm.Staged {
		if model != vm.Loaded {
			n++
		}
	}
	return n
}

// chooseFurther returns the model that a VM should hold besides: the one that the layout assigns
// to it, else the one with the largest share for each VM of the domain that holds it.
func chooseFurther(models []Model, d Domain, vm VM, assigned string, holders map[string]int) string {
	best, most := "", 0.0
	for _, m := range models {
		if m.Name == vm.Loaded || slices.Contains(vm.Staged, m.Name) || m.Size > len(d.VMs) {
			continue
		}
		if m.Name == assigned {
			return assigned
		}
		if share := m.Share / float64(holders[m.Name]+1); share > most {
			best, most = m.Name, share
		}
	}
	return best
}
