package blackboard

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawCommand draws from few names, so that commands often affect the same rows.
func drawCommand(t *rapid.T, b *Board) Command {
	id := rapid.SampledFrom([]string{"1", "2", "3", "4", "5"})
	incarnation := rapid.SampledFrom([]string{"a", "b"})
	name := rapid.SampledFrom([]string{"demo-0", "demo-1", "demo-2"})
	state := rapid.SampledFrom([]GroupState{Forming, Loading, Serving, Draining, Broken, Released})
	epoch := rapid.Uint64Range(1, b.NextEpoch)
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		v := vm(id.Draw(t, "vm"), incarnation.Draw(t, "incarnation"))
		v.Leaving = rapid.Bool().Draw(t, "leaving")
		return PutVM{v}
	case 1, 2:
		n := rapid.IntRange(1, 3).Draw(t, "members")
		var members []GroupMember
		for range n {
			vmID := id.Draw(t, "vm")
			members = append(members, GroupMember{VM: vmID, Incarnation: b.VMs[vmID].Incarnation})
		}
		return FormGroup{Group: group(name.Draw(t, "group"), members...)}
	case 3, 4, 5:
		g := b.Groups[name.Draw(t, "group")]
		return SetGroupState{Group: g.ID, Epoch: g.Epoch, From: g.State, To: state.Draw(t, "to")}
	case 6:
		v := b.VMs[id.Draw(t, "vm")]
		return FreeVM{VM: v.ID, Group: v.Group, Epoch: epoch.Draw(t, "epoch"), Incarnation: v.Incarnation}
	case 7:
		to := rapid.SampledFrom([]Liveness{Alive, Paused, Dead, Straggler}).Draw(t, "to")
		return SetLiveness{VM: id.Draw(t, "vm"), Incarnation: incarnation.Draw(t, "incarnation"), To: to}
	default:
		preset := rapid.SampledFrom([]string{"day", "peak", ""}).Draw(t, "preset")
		c := ConfigChange{
			ChangeID: fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "change")),
			Expect:   rapid.Uint64Range(0, b.Config.Revision).Draw(t, "expect"),
			Presets:  []Preset{{Name: "day"}}, UsePreset: preset,
		}
		if preset == "peak" {
			c.Presets = append(c.Presets, Preset{Name: "peak"})
		}
		return c
	}
}

func checkInvariants(t *rapid.T, before, after *Board) {
	if after.Config.Revision < before.Config.Revision || after.Revision < before.Revision {
		t.Fatalf("a revision decreased")
	}
	if before.Config.ActivePreset != "" {
		if _, ok := after.Config.Presets[after.Config.ActivePreset]; !ok {
			t.Fatalf("no preset is in force")
		}
	}
	seen := make(map[string]string)
	for _, g := range after.Groups {
		if !g.State.requiresMembers() {
			continue
		}
		for _, m := range g.Members {
			if other, ok := seen[m.VM]; ok {
				t.Fatalf("VM %s is in %s and in %s", m.VM, other, g.ID)
			}
			seen[m.VM] = g.ID
		}
	}
}

// Guards against racing commands that put a VM into two groups, decrease a revision or leave no
// preset in force. Any commands in any order must keep the invariants. Two replicas that apply
// the same commands must be equal, even if one of them is restored from snapshots on the way. A
// published board must never change.
func TestRandomCommandsKeepTheInvariants(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "20260301"))
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		published, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		was := a
		steps := rapid.IntRange(20, 80).Draw(t, "steps")
		for i := range steps {
			data, err := Encode(drawCommand(t, a))
			if err != nil {
				t.Fatal(err)
			}
			before := a
			a, _, err = a.Apply(data)
			if err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, before, a)
			b, _, _ = b.Apply(data)
			if i%7 == 0 {
				b = restored(t, b)
			}
			if string(encoded(t, was)) != string(published) {
				t.Fatalf("a published board was changed")
			}
			was, published = a, encoded(t, a)
			if string(encoded(t, b)) != string(published) {
				t.Fatalf("replicas differ")
			}
		}
	})
}

func encoded(t *rapid.T, b *Board) []byte {
	data, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restored(t *rapid.T, b *Board) *Board {
	next, err := Decode(encoded(t, b))
	if err != nil {
		t.Fatal(err)
	}
	return next
}
