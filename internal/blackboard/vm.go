package blackboard

import (
	"reflect"
	"slices"
)

// Liveness is what the liveness controller has concluded of a backend server.
type Liveness string

// The states of liveness. A paused VM misses heartbeats but may come back
// with its state; a dead one is given up. A straggler answers but is slow.
const (
	Alive     Liveness = "alive"
	Paused    Liveness = "paused"
	Dead      Liveness = "dead"
	Straggler Liveness = "straggler"
)

// VM is a backend server VM that runs one engine. Written by: the
// announcement, liveness and group controllers. Read by: group controllers
// and entries (addresses and epochs of members).
type VM struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// StartedMillis is when the incarnation started, by its host's clock; 0 is
	// unknown.
	StartedMillis int64  `json:"started_ms,omitempty"`
	Address       string `json:"address"`
	DataCentre    string `json:"data_centre"`
	FabricDomain  string `json:"fabric_domain"`
	// Pool is the engine pool that the VM announced itself for, if any.
	Pool         string   `json:"pool,omitempty"`
	Accelerators int      `json:"accelerators"`
	Liveness     Liveness `json:"liveness"`
	Leaving      bool     `json:"leaving,omitempty"`
	// Weights lists the models whose weights the VM holds locally.
	Weights []string `json:"weights,omitempty"`
	// Group and Epoch name the one serving group that the VM is part of, or
	// may still be running. They are cleared by FreeVM alone.
	Group string `json:"group,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	// SinceMillis is when Liveness last changed, leader's clock.
	SinceMillis int64 `json:"since_ms"`
	// Flaps counts returns from paused or dead, for hysteresis.
	Flaps int `json:"flaps,omitempty"`
}

// Free tells whether the VM may go into a new group.
func (v VM) Free() bool { return v.Group == "" }

// flapWindowMillis is how long a return counts towards Flaps: one hour, so that
// a VM restarted each day starts anew and one that restarts each minute doesn't.
const flapWindowMillis = 60 * 60 * 1000

// flap counts one return at nowMillis.
func (v *VM) countReturn(nowMillis int64) {
	if nowMillis-v.SinceMillis > flapWindowMillis {
		v.Flaps = 0
	}
	v.Flaps++
	v.SinceMillis = nowMillis
}

// same tells whether two rows are equal.
func (v VM) equals(o VM) bool {
	weights := slices.Equal(v.Weights, o.Weights)
	v.Weights, o.Weights = nil, nil
	return weights && reflect.DeepEqual(v, o)
}

// PutVM records what a VM announced. It touches neither group nor liveness of
// a VM that it knows; a new incarnation is recorded, and the group that ran
// under the old one stays until FreeVM names the new incarnation. One that
// started before the known one is refused: it comes from a leader that heard of
// it late.
type PutVM struct {
	VM VM `json:"vm"`
}

func (c PutVM) apply(d *draft) (any, bool) {
	old, known := d.VMs[c.VM.ID]
	next := c.VM
	next.Group, next.Epoch = old.Group, old.Epoch
	if known {
		next.Liveness, next.SinceMillis, next.Flaps = old.Liveness, old.SinceMillis, old.Flaps
	} else if next.Liveness == "" {
		next.Liveness = Alive
	}
	if known && old.equals(next) {
		return refused("no change")
	}
	if known && next.StartedMillis < old.StartedMillis {
		return refused("an earlier incarnation")
	}
	if known && old.Incarnation != next.Incarnation {
		next.countReturn(c.VM.SinceMillis)
	}
	d.putVM(next)
	return applied()
}

// SetLiveness records a change of liveness of one incarnation.
type SetLiveness struct {
	VM          string   `json:"vm"`
	Incarnation string   `json:"incarnation"`
	To          Liveness `json:"to"`
	NowMillis   int64    `json:"now_ms"`
	Returned    bool     `json:"returned,omitempty"`
}

func (c SetLiveness) apply(d *draft) (any, bool) {
	v, ok := d.VMs[c.VM]
	if !ok || v.Incarnation != c.Incarnation {
		return refused("another incarnation")
	}
	if v.Liveness == c.To {
		return refused("no change")
	}
	v.Liveness = c.To
	if c.Returned {
		v.countReturn(c.NowMillis)
	}
	v.SinceMillis = c.NowMillis
	d.putVM(v)
	return applied()
}

// FreeVM takes a VM out of the group epoch that it held. The group controller
// sends it only with proof that the old epoch no longer runs on the VM: the
// engine confirmed its release, or announced an incarnation that started after
// the one that held the group. Silence is no proof.
type FreeVM struct {
	VM    string `json:"vm"`
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	// Incarnation is the one that gave the proof.
	Incarnation string `json:"incarnation"`
}

func (c FreeVM) apply(d *draft) (any, bool) {
	v, ok := d.VMs[c.VM]
	if !ok || v.Group != c.Group || v.Epoch != c.Epoch || v.Incarnation != c.Incarnation {
		return refused("the VM holds another group, epoch or incarnation")
	}
	if g, ok := d.Groups[c.Group]; ok && g.Epoch == c.Epoch && g.State.requiresMembers() {
		return refused("the group is " + string(g.State))
	}
	v.Group, v.Epoch = "", 0
	d.putVM(v)
	return applied()
}

// RemoveVM forgets a VM that has long been dead, with the group epoch that it
// still held, which can then be released. It frees nothing: should the VM come
// back, it gets a new row, and goes into a group only when its engine itself
// announces that it is idle.
type RemoveVM struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
}

func (c RemoveVM) apply(d *draft) (any, bool) {
	v, ok := d.VMs[c.VM]
	if !ok || v.Incarnation != c.Incarnation {
		return refused("another incarnation")
	}
	if v.Liveness != Dead {
		return refused("the VM is " + string(v.Liveness))
	}
	if g, ok := d.Groups[v.Group]; ok && g.Epoch == v.Epoch && g.State.requiresMembers() {
		return refused("its group is " + string(g.State))
	}
	d.removeVM(c.VM)
	return applied()
}
