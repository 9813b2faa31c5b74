package blackboard

import (
	"reflect"
	"slices"
)

// Liveness is the state of a backend server that the liveness controller has determined.
type Liveness string

// The liveness states. A paused VM misses heartbeats but may return with its state intact. A
// dead VM is not expected to return. A straggler answers slowly.
const (
	Alive     Liveness = "alive"
	Paused    Liveness = "paused"
	Dead      Liveness = "dead"
	Straggler Liveness = "straggler"
)

// VM is a backend server VM that runs one engine. Written by: the announcement, liveness and
// group controllers. Read by: the group controllers. Entries read only Leaving.
type VM struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// StartedMillis is the start time of the incarnation, by its host's clock; 0 means unknown.
	StartedMillis int64  `json:"started_ms,omitempty"`
	Address       string `json:"address"`
	DataCentre    string `json:"data_centre"`
	FabricDomain  string `json:"fabric_domain"`
	// Pool is the engine pool that the VM announced, if any.
	Pool         string   `json:"pool,omitempty"`
	Accelerators int      `json:"accelerators"`
	Liveness     Liveness `json:"liveness"`
	Leaving      bool     `json:"leaving,omitempty"`
	// Weights lists the models whose weights the VM stores locally.
	Weights []string `json:"weights,omitempty"`
	// Group and Epoch name the serving group that the VM belongs to, or whose engine may still
	// be running on it. Only FreeVM clears them.
	Group string `json:"group,omitempty"`
	Epoch uint64 `json:"epoch,omitempty"`
	// SinceMillis is the time of the last change of Liveness, by the leader's clock.
	SinceMillis int64 `json:"since_ms"`
	// Flaps counts recent returns from paused or dead. It provides hysteresis.
	Flaps int `json:"flaps,omitempty"`
}

// Free reports whether the VM may join a new group.
func (v VM) Free() bool { return v.Group == "" }

// flapWindowMillis is the time after which Flaps restarts from zero. With one hour, a VM that
// restarts daily is not penalised, and one that restarts every minute is.
const flapWindowMillis = 60 * 60 * 1000

// countReturn counts one return at nowMillis.
func (v *VM) countReturn(nowMillis int64) {
	if nowMillis-v.SinceMillis > flapWindowMillis {
		v.Flaps = 0
	}
	v.Flaps++
	v.SinceMillis = nowMillis
}

// equals reports whether two rows are equal. Nil and empty weights are equal.
func (v VM) equals(o VM) bool {
	weights := slices.Equal(v.Weights, o.Weights)
	v.Weights, o.Weights = nil, nil
	return weights && reflect.DeepEqual(v, o)
}

// PutVM records a VM's announcement. For a known VM it changes neither group nor liveness. A new
// incarnation is recorded, but the VM keeps the group of the old incarnation until a FreeVM
// names the new one. An incarnation that started before the known one is refused: the
// announcement reached a leader late.
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

// FreeVM removes a VM from the group epoch that it holds. The group controller sends FreeVM only
// with proof that the old epoch no longer runs on the VM. The engine must have confirmed the
// release, or announced an incarnation that started after the one that held the group. A missing
// announcement is no proof.
type FreeVM struct {
	VM    string `json:"vm"`
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	// Incarnation is the incarnation that provided the proof.
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

// RemoveVM removes a VM that has been dead for a long time, together with the group epoch that
// its row still names. The epoch can then be released. RemoveVM does not make the VM available:
// if the VM returns, it gets a new row, and joins a group only after its engine announces that
// it is idle.
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
