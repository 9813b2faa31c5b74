package blackboard

import (
	"maps"

	"github.com/citronstep/citronstep/internal/invariant"
)

// draft is the next board while commands are applied to it. The commands of one
// batch share one draft, and so one copy of each table.
//
// Load: a pool of 1,095 VMs starts, or loses a fabric domain; one batch holds
// hundreds of commands, and each replica and each entry applies it. With a copy of
// all VMs for each command, the copies are most of the cost (BenchmarkApplyBatch).
type draft struct {
	Board
	// ownVMs and ownGroups say that the table is a copy of this draft's own.
	ownVMs, ownGroups bool
	// affectedGroups names the groups whose rows, or whose members' rows, have changed.
	affectedGroups map[string]bool
	// vms and groups name the rows that were written.
	writtenVMs, writtenGroups map[string]bool
}

// draft returns a draft that begins as a copy of the board.
func (b *Board) draft() *draft {
	return &draft{Board: *b, affectedGroups: make(map[string]bool), writtenVMs: make(map[string]bool), writtenGroups: make(map[string]bool)}
}

// become takes over what a draft of this one has become.
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

// removeVM drops the row of a VM.
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

func (d *draft) cloneVMsOnce() {
	if !d.ownVMs {
		d.VMs = cloneMap(d.VMs)
		d.ownVMs = true
	}
}

// consistent asserts the invariant of members for the groups that the draft has
// affectedGroups. The others keep theirs: a member's row names its group, so a change of
// the row touches the group.
func (d *draft) checkMembership() bool {
	for id := range d.affectedGroups {
		if g, ok := d.Groups[id]; ok && !d.membersHoldEpoch(g) {
			return false
		}
	}
	return true
}

// consistent asserts the invariant of members for all groups.
func (b *Board) checkMembership() bool {
	for _, g := range b.Groups {
		if !b.membersHoldEpoch(g) {
			return false
		}
	}
	return true
}

// membersHoldEpoch asserts that each member of a group that is not released or
// broken up holds that group and epoch, so no VM is in two groups and no
// group serves with a member missing from its row.
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
