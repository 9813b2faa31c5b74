package blackboard

import (
	"encoding/json"
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronstep/citronstep/internal/invariant"
)

// A leader of an earlier version sends its commands as encoded in the log. An entry that was
// busy for half a second applies dozens of them together. It must reach the same board as a
// process that applies each command separately.
func TestApplyAllEqualsApplyingEachCommand(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "20261203"))
	rapid.Check(t, func(t *rapid.T) {
		leader, entry := New(), New()
		var kept [][]byte
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			data := drawBatch(t, leader)
			next, _, err := leader.Apply(data)
			if err != nil {
				t.Fatal(err)
			}
			if next != leader {
				kept = append(kept, data)
			}
			leader = next
			if rapid.IntRange(0, 5).Draw(t, "answered") > 0 {
				continue
			}
			if entry, err = entry.ApplyAll(kept); err != nil {
				t.Fatal(err)
			}
			kept = nil
			if plain(t, entry) != plain(t, leader) {
				t.Fatalf("the entry's board differs from the leader's")
			}
		}
	})
}

// Guards against patches that omit a changed row or keep a removed one. An entry could then
// route to a broken group, or serve under a configuration that no operator sent. Patches contain
// only rows that entries need, each once however often it changed. Each entry copy must equal
// the copy from a snapshot of the leader's board.
func TestPatchesLeadToTheLeadersEntryCopy(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "20261203"))
	rapid.Check(t, func(t *rapid.T) {
		leader, entry := New(), New().entryCopy()
		var changes []Change
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			next, _, change, err := leader.ApplyChange(drawBatch(t, leader))
			if err != nil {
				t.Fatal(err)
			}
			if next != leader {
				changes = append(changes, change)
			}
			leader = next
			if len(changes) == 0 || rapid.IntRange(0, 5).Draw(t, "answered") > 0 {
				continue
			}
			entry = patched(t, leader, entry, changes)
			changes = nil
			if plain(t, entry) != plain(t, leader.entryCopy()) {
				t.Fatalf("the entry copy differs from the copy in a snapshot")
			}
		}
	})
}

// patched returns an entry copy after the patch for the given changes.
func patched(t fataler, leader, entry *Board, changes []Change) *Board {
	patch, err := leader.PatchFor(changes)
	if err != nil {
		t.Fatal(err)
	}
	next, err := entry.ApplyAll([][]byte{patch})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// fataler is the part of testing.TB that rapid.T also has.
type fataler interface{ Fatal(args ...any) }

// plain returns a board as uncompressed JSON.
func plain(t *rapid.T, b *Board) string {
	data, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// drawBatch draws up to four commands and encodes them as one log entry.
func drawBatch(t *rapid.T, b *Board) []byte {
	var commands []Command
	for range rapid.IntRange(1, 4).Draw(t, "commands") {
		commands = append(commands, drawCommand(t, b))
	}
	batch, err := NewBatch(commands)
	if err != nil {
		t.Fatal(err)
	}
	data, err := Encode(batch)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// breakInvariant assigns a group's member to another group, which no real command does.
type breakInvariant struct {
	VM string `json:"vm"`
}

func (c breakInvariant) apply(d *draft) (any, bool) {
	v := d.VMs[c.VM]
	v.Group = "other"
	d.putVM(v)
	return applied()
}

// Guards against a faulty controller command that would put a VM into two groups, in one batch
// with a valid command for another VM. Only the faulty command must be left out. The valid one
// must take effect, and the published board must stay unchanged.
func TestCommandThatBreaksAnInvariantIsLeftOutOfItsBatch(t *testing.T) {
	invariant.SetFatal(false)
	defer invariant.SetFatal(true)
	commandTypes["break_invariant"] = func() Command { return &breakInvariant{} }
	defer delete(commandTypes, "break_invariant")
	board := servingBoard(2)
	before := board.VMs["vm-0-0"]
	paused, err := Encode(SetLiveness{VM: "vm-1-1", Incarnation: "a", To: Paused})
	assert.NilError(t, err)
	broken := json.RawMessage(`{"type":"break_invariant","body":{"vm":"vm-0-0"}}`)
	data, err := json.Marshal(envelope{Type: "batch", Body: json.RawMessage(`{"commands":[` + string(broken) + "," + string(paused) + `]}`)})
	assert.NilError(t, err)

	next, _, err := board.Apply(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, next.VMs["vm-0-0"], before)
	assert.Equal(t, next.VMs["vm-1-1"].Liveness, Paused)
	assert.Equal(t, board.VMs["vm-1-1"].Liveness, Alive)
}
