package blackboard

import (
	"encoding/json"
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronstep/citronstep/internal/invariant"
)

// An entry that was busy for half a second gets dozens of changes in one answer and
// applies them together; another got them one by one. Both must route by the same
// board: same rows, same revision, whatever batches and refusals are among them.
func TestChangesAppliedTogetherLeadToTheSameBoard(t *testing.T) {
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
				kept = append(kept, ForEntries(leader, next, data))
			}
			leader = next
			if rapid.IntRange(0, 5).Draw(t, "answered") > 0 {
				continue
			}
			if entry, err = entry.ApplyAll(kept); err != nil {
				t.Fatal(err)
			}
			kept = nil
			if string(encoded(t, entry)) != string(encoded(t, leader)) {
				t.Fatalf("the entry holds another board than the leader")
			}
		}
	})
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
