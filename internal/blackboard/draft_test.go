package blackboard

import (
	"encoding/json"
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronstep/citronstep/internal/invariant"
)

// A process of an earlier version leads and tells its commands as they stand in the
// log. An entry that was busy for half a second applies dozens of them together and
// must come to the same board as one that applied each by itself.
func TestCommandsAppliedTogetherLeadToTheSameBoard(t *testing.T) {
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
				t.Fatalf("the entry holds another board than the leader")
			}
		}
	})
}

// Entries get only the rows that concern them, each once however often it changed
// meanwhile. One that is left out, or stays though it is gone, would let an entry
// route to a group that is broken, or serve under a configuration that nobody sent.
// Each entry's copy must be what a snapshot of the leader's board gives.
func TestPatchesLeadToTheCopyOfTheLeadersBoard(t *testing.T) {
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
				t.Fatalf("the entry holds another copy than a snapshot gives")
			}
		}
	})
}

// patched returns the entry's copy after the patch for some changes.
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

// fataler is a test of either kind.
type fataler interface{ Fatal(args ...any) }

// plain returns a board as text.
func plain(t *rapid.T, b *Board) string {
	data, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// drawBatch draws up to four commands as one entry of the log.
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

// breakInvariant gives a VM away that a group holds, which no real command does.
type breakInvariant struct {
	VM string `json:"vm"`
}

func (c breakInvariant) apply(d *draft) (any, bool) {
	v := d.VMs[c.VM]
	v.Group = "other"
	d.putVM(v)
	return applied()
}

// A fault in one controller makes a command that would put a VM into two groups, and
// it stands in one batch with the release of other VMs. The one command is left out,
// the others take effect, and the tables that others read stay as they were.
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
