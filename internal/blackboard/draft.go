package blackboard

import (
	"maps"

	"github.com/citronstep/citronstep/internal/invariant"
)

// draft is the next revision of a board while commands are applied to it. All commands of a
// batch share one draft, which copies the VM and group tables at most once.
//
// When a pool of 1,095 VMs starts or loses a fabric domain, one batch holds hundreds of
// commands, and each replica and each entry applies it. Copying all VMs for each command would
// dominate the cost (BenchmarkApplyBatch).
type draft struct {
	Board
	// ownVMs and ownGroups report whether the draft has its own copy of the table.
	ownVMs, ownGroups, ownSuspects bool
	// affectedGroups names the groups whose rows, or whose members' VM rows, have changed.
	affectedGroups map[string]bool
	// writtenVMs and writtenGroups name the rows that have been written or removed.
	writtenVMs, writtenGroups map[string]bool
	// keepsRevision is true if the change belongs to no revision; see RecordDemand.
	keepsRevision bool
}

// draft returns a draft that starts as a copy of the board.
func (b *Board) draft() *draft {
	return &draft{Board: *b, affectedGroups: make(map[string]bool), writtenVMs: make(map[string]bool), writtenGroups: make(map[string]bool)}
}

// replaceWith replaces d with next, a draft that was derived from d. It keeps the records of
// changed rows of both.
func (d *draft) replaceWith(next *draft) {
	maps.Copy(next.affectedGroups, d.affectedGroups)
	maps.Copy(next.writtenVMs, d.writtenVMs)
	maps.Copy(next.writtenGroups, d.writtenGroups)
	*d = *next
}

// putVM writes the row of a VM.
func (d *draft) putVM(v VM) {
	d.cloneVMsOnce()
	d.affectedGroups[d.VMs[v.ID].Group] = true
	d.affectedGroups[v.Group] = true
	d.writtenVMs[v.ID] = true
	d.VMs[v.ID] = v
}

// removeVM deletes the row of a VM.
func (d *draft) removeVM(id string) {
	d.cloneVMsOnce()
	d.affectedGroups[d.VMs[id].Group] = true
	d.writtenVMs[id] = true
	delete(d.VMs, id)
}

// putGroup writes the row of a group.
func (d *draft) putGroup(g Group) {
	if !d.ownGroups {
		d.Groups = cloneMap(d.Groups)
		d.ownGroups = true
	}
	d.affectedGroups[g.ID] = true
	d.writtenGroups[g.ID] = true
	d.Groups[g.ID] = g
}

// cloneSuspectsOnce copies the table of suspects before the draft's first write to it.
func (d *draft) cloneSuspectsOnce() {
	if !d.ownSuspects {
		d.Suspects = cloneMap(d.Suspects)
		d.ownSuspects = true
	}
}

// cloneVMsOnce copies the VM table before the draft's first write to it.
func (d *draft) cloneVMsOnce() {
	if !d.ownVMs {
		d.VMs = cloneMap(d.VMs)
		d.ownVMs = true
	}
}

// checkMembership checks the membership invariant for the affected groups only. Other groups
// cannot have broken it: a member's row names its group, so a change of that row marks the group
// as affected.
func (d *draft) checkMembership() bool {
	for id := range d.affectedGroups {
		if g, ok := d.Groups[id]; ok && !d.membersHoldEpoch(g) {
			return false
		}
	}
	return true
}

// checkMembership checks the membership invariant for all groups.
func (b *Board) checkMembership() bool {
	for _, g := range b.Groups {
		if !b.membersHoldEpoch(g) {
			return false
		}
	}
	return true
}

// membersHoldEpoch checks that the row of each member of a forming, loading or serving group
// names that group and epoch. Therefore no VM is in two groups, and no group serves with a
// member whose row does not name it.
func (b *Board) membersHoldEpoch(g Group) bool {
	if !g.State.requiresMembers() {
		return true
	}
	for _, m := range g.Members {
		v, ok := b.VMs[m.VM]
		if ok && v.Group == g.ID && v.Epoch == g.Epoch {
			continue
		}
		if !invariant.Check(false, "vm_in_one_group",
			"group %s epoch %d has member %s, which holds %q epoch %d", g.ID, g.Epoch, m.VM, v.Group, v.Epoch) {
			return false
		}
	}
	return true
}
