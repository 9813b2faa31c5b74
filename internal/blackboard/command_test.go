package blackboard

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/failure"
	"github.com/citronstep/citronstep/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	m.Run()
}

func apply(t testing.TB, b *Board, c Command) (*Board, json.RawMessage) {
	t.Helper()
	data, err := Encode(c)
	assert.NilError(t, err)
	next, result, err := b.Apply(data)
	assert.NilError(t, err)
	return next, result
}

func verdict(t testing.TB, b *Board, c Command) (*Board, Verdict) {
	t.Helper()
	next, data := apply(t, b, c)
	var v Verdict
	assert.NilError(t, json.Unmarshal(data, &v))
	assert.Equal(t, next.Revision > b.Revision, v.Applied, "the revision grows with each applied command")
	return next, v
}

func change(t testing.TB, b *Board, c ConfigChange) (*Board, ChangeOutcome) {
	t.Helper()
	next, data := apply(t, b, c)
	var o ChangeOutcome
	assert.NilError(t, json.Unmarshal(data, &o))
	return next, o
}

func vm(id, incarnation string) VM {
	return VM{ID: id, Incarnation: incarnation, FabricDomain: "d", Accelerators: 4}
}

func member(id string) GroupMember { return GroupMember{VM: id, Incarnation: "a"} }

func group(id string, members ...GroupMember) Group {
	return Group{ID: id, Spec: "demo", Model: "demo", FabricDomain: "d", Members: members}
}

// formed returns a board with VMs 1 to 4 and a forming group demo-0 of VMs 1 and 2.
func formed(t testing.TB) *Board {
	t.Helper()
	b := New()
	for _, id := range []string{"1", "2", "3", "4"} {
		b, _ = verdict(t, b, PutVM{vm(id, "a")})
	}
	b, v := verdict(t, b, FormGroup{Group: group("demo-0", member("1"), member("2"))})
	assert.Equal(t, v.Epoch, uint64(1))
	return b
}

func move(t testing.TB, b *Board, states ...GroupState) *Board {
	t.Helper()
	for _, to := range states {
		g := b.Groups["demo-0"]
		var v Verdict
		b, v = verdict(t, b, SetGroupState{Group: g.ID, Epoch: g.Epoch, From: g.State, To: to})
		assert.Assert(t, v.Applied, v.Reason)
	}
	return b
}

func TestCommandsAreRefusedWithoutTheirPrecondition(t *testing.T) {
	other := vm("5", "a")
	other.FabricDomain = "e"
	for _, c := range []struct {
		name    string
		states  []GroupState
		command Command
		reason  string
	}{
		{"found twice", nil, Found{ClusterID: "d"}, "founded already"},
		{"same VM", nil, PutVM{vm("3", "a")}, "no change"},
		{"a VM twice", nil, FormGroup{Group: group("demo-1", member("3"), member("3"))}, "VM 3 is not free under this incarnation"},
		{"a VM of another group", nil, FormGroup{Group: group("demo-1", member("2"), member("3"))}, "VM 2 is not free under this incarnation"},
		{"another incarnation", nil, FormGroup{Group: group("demo-1", GroupMember{VM: "3", Incarnation: "b"})}, "VM 3 is not free under this incarnation"},
		{"unknown VM", nil, FormGroup{Group: group("demo-1", member("9"))}, "VM 9 is not free under this incarnation"},
		{"no members", nil, FormGroup{Group: group("demo-1")}, "no members"},
		{"two domains", nil, FormGroup{Group: group("demo-1", member("3"), member("5"))}, "VM 5 is in another fabric domain"},
		{"group in use", nil, FormGroup{Group: group("demo-0", member("3"))}, "an earlier epoch is not released"},
		{"group broken, its members not free", []GroupState{Broken}, FormGroup{Group: group("demo-0", member("3"))}, "an earlier epoch is not released"},
		{"serving without loading", nil, SetGroupState{Group: "demo-0", Epoch: 1, From: Forming, To: Serving}, "no such transition"},
		{"another epoch", nil, SetGroupState{Group: "demo-0", Epoch: 2, From: Forming, To: Loading}, "the group is in another epoch or state"},
		{"released while held", []GroupState{Broken}, SetGroupState{Group: "demo-0", Epoch: 1, From: Broken, To: Released}, "a member still holds the epoch"},
		{"freed while forming", nil, FreeVM{VM: "1", Group: "demo-0", Epoch: 1, Incarnation: "a"}, "the group is forming"},
		{"freed while serving", []GroupState{Loading, Serving}, FreeVM{VM: "1", Group: "demo-0", Epoch: 1, Incarnation: "a"}, "the group is serving"},
		{"freed from another epoch", []GroupState{Broken}, FreeVM{VM: "1", Group: "demo-0", Epoch: 2, Incarnation: "a"}, "the VM holds another group, epoch or incarnation"},
		{"freed by another incarnation", []GroupState{Broken}, FreeVM{VM: "1", Group: "demo-0", Epoch: 1, Incarnation: "b"}, "the VM holds another group, epoch or incarnation"},
		{"liveness of another incarnation", nil, SetLiveness{VM: "1", Incarnation: "b", To: Dead}, "another incarnation"},
		{"same liveness", nil, SetLiveness{VM: "1", Incarnation: "a", To: Alive}, "no change"},
		{"removed while alive", nil, RemoveVM{VM: "3", Incarnation: "a"}, "the VM is alive"},
		{"unknown entry", nil, RemoveEntry{ID: "x"}, "unknown entry"},
		{"unknown service", nil, RemoveService{ID: "x"}, "another incarnation"},
		{"unknown suspect", nil, ClearSuspect{Fingerprint: "x"}, "no suspect"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := verdict(t, formed(t), Found{ClusterID: "c"})
			b, _ = verdict(t, b, PutVM{other})
			b = move(t, b, c.states...)
			next, v := verdict(t, b, c.command)
			assert.Equal(t, v.Reason, c.reason)
			assert.Assert(t, next == b, "a refused command changes nothing")
		})
	}
}

func TestGroupPassesThroughItsStates(t *testing.T) {
	b := move(t, formed(t), Loading, Serving, Draining)
	for _, id := range []string{"1", "2"} {
		var v Verdict
		b, v = verdict(t, b, FreeVM{VM: id, Group: "demo-0", Epoch: 1, Incarnation: "a"})
		assert.Assert(t, v.Applied, v.Reason)
	}
	b = move(t, b, Released)
	_, v := verdict(t, b, FormGroup{Group: group("demo-0", member("1"), member("3"))})
	assert.Equal(t, v.Epoch, uint64(2), "a new epoch under the same name")
}

// Guards against a VM that runs in two groups after a restart because its row is marked free too
// early. A new incarnation keeps the group of the old one until FreeVM proves that the old one
// has ended.
func TestNewIncarnationKeepsItsGroupUntilFreed(t *testing.T) {
	b := move(t, formed(t), Loading, Broken)
	b, _ = verdict(t, b, PutVM{vm("1", "b")})
	row := b.VMs["1"]
	assert.Equal(t, row.Group, "demo-0")
	assert.Equal(t, row.Flaps, 1)
	b, v := verdict(t, b, FreeVM{VM: "1", Group: "demo-0", Epoch: 1, Incarnation: "b"})
	assert.Assert(t, v.Applied)
	assert.Assert(t, b.VMs["1"].Free())
}

// Guards against a group that stays broken for ever. This happens if its dead member was
// replaced under a new name and never returns to confirm its release. Removing the dead VM
// permits the release, but is refused while the group still requires its members.
func TestDeadVMIsRemovedWithItsGroupEpoch(t *testing.T) {
	b, _ := verdict(t, move(t, formed(t), Loading), SetLiveness{VM: "1", Incarnation: "a", To: Dead})
	b, v := verdict(t, b, RemoveVM{VM: "1", Incarnation: "a"})
	assert.Equal(t, v.Reason, "its group is loading")
	b = move(t, b, Broken)
	b, _ = verdict(t, b, FreeVM{VM: "2", Group: "demo-0", Epoch: 1, Incarnation: "a"})
	b, v = verdict(t, b, RemoveVM{VM: "1", Incarnation: "a"})
	assert.Assert(t, v.Applied, v.Reason)
	move(t, b, Released)
}

func TestFlapCountRestartsAfterAnHour(t *testing.T) {
	b := formed(t)
	later := int64(0)
	for i, to := range []Liveness{Paused, Alive, Paused, Alive, Paused, Alive} {
		later += 1000
		if i == 5 {
			later += flapWindowMillis + 1
		}
		b, _ = verdict(t, b, SetLiveness{VM: "1", Incarnation: "a", To: to, NowMillis: later, Returned: to == Alive})
		if i == 3 {
			assert.Equal(t, b.VMs["1"].Flaps, 2)
		}
	}
	assert.Equal(t, b.VMs["1"].Flaps, 1)
}

// Guards against a lost change when two operators send changes with the same expected revision.
// The log orders the changes, and the second must receive a typed conflict.
func TestConcurrentChangesGetOneWinnerAndOneConflict(t *testing.T) {
	b, won := change(t, New(), ConfigChange{ChangeID: "1", Presets: []Preset{{Name: "day"}}})
	assert.Equal(t, won.Revision, uint64(1))
	assert.Assert(t, won.Failure == nil)
	b, lost := change(t, b, ConfigChange{ChangeID: "2", Presets: []Preset{{Name: "night"}}})
	assert.Equal(t, lost.Failure.Type, failure.TypeConflict)
	assert.Equal(t, lost.Failure.Revision, uint64(1))
	assert.Equal(t, len(b.Config.Presets), 1)
	_, resent := change(t, b, ConfigChange{ChangeID: "2", Expect: 1, Presets: []Preset{{Name: "night"}}})
	assert.Equal(t, resent.Failure.Type, failure.TypeConflict, "an ID keeps its first outcome")
}

// Guards against a conflict with the operator's own change, after the answer was lost and the
// change was resent. The same ID must receive the first outcome, also after changes of other
// operators.
func TestResentChangeGetsTheFirstOutcome(t *testing.T) {
	b, first := change(t, New(), ConfigChange{ChangeID: "mine", Presets: []Preset{{Name: "day"}}, UsePreset: "day"})
	b, _ = change(t, b, ConfigChange{ChangeID: "theirs", Expect: 1, Presets: []Preset{{Name: "peak"}}, UsePreset: "peak"})
	b, again := change(t, b, ConfigChange{ChangeID: "mine", Presets: []Preset{{Name: "day"}}, UsePreset: "day"})
	assert.Equal(t, again.Revision, first.Revision)
	assert.Equal(t, b.Config.ActivePreset, "peak", "a resend reverts nothing")
	assert.Equal(t, b.Config.Revision, uint64(2))
}

func TestRememberedChangesAreBounded(t *testing.T) {
	b := New()
	for i := range maxRememberedChanges + 10 {
		b.recordOutcome(string(rune('a'+i%26))+string(rune(i)), ChangeOutcome{Revision: uint64(i)})
	}
	assert.Equal(t, len(b.Changes), maxRememberedChanges)
	assert.Equal(t, len(b.ChangeOrder), maxRememberedChanges)
}

func TestConfigChangeAppliesCompletelyOrNotAtAll(t *testing.T) {
	b, _ := change(t, New(), ConfigChange{ChangeID: "1", Presets: []Preset{{Name: "day"}}, UsePreset: "day"})
	for _, c := range []ConfigChange{
		{Groups: []GroupSpec{{Name: "g", Model: "m", Replicas: 1}}},
		{Groups: []GroupSpec{{Name: "g", Model: "m", Replicas: -1, VMsPerReplica: 1}}},
		{Groups: []GroupSpec{{Name: "g", Replicas: 1, VMsPerReplica: 1}}},
		{Workspaces: []Workspace{{Name: "w", KeySHA256: "short"}}},
		{Classes: []RequestClass{{Name: "c", TimeoutMillis: -1}}},
		{UsePreset: "none"},
		{RemovePresets: []string{"day"}},
	} {
		c.ChangeID, c.Expect = "2", 1
		c.DrainVMs = []string{"vm"}
		next, o := change(t, b, c)
		assert.Equal(t, o.Failure.Type, failure.TypeBadRequest)
		assert.DeepEqual(t, next.Config, b.Config)
	}
	_, o := change(t, b, ConfigChange{Expect: 1})
	assert.Equal(t, o.Failure.Type, failure.TypeBadRequest, "no change id")
}

func TestMalformedDataReturnsErrMalformed(t *testing.T) {
	for _, data := range []string{"", "{", `{"type":"none"}`, `{"type":"put_vm","body":[]}`} {
		next, _, err := New().Apply([]byte(data))
		assert.ErrorIs(t, err, ErrMalformed)
		assert.Equal(t, next.Revision, uint64(0))
	}
	_, err := Decode([]byte("{"))
	assert.ErrorIs(t, err, ErrMalformed)
}
