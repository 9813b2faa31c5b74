package control

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/blackboard"
	"github.com/citronstep/citronstep/internal/rpc/noderpc"
)

// Guards against a leader that encodes a snapshot for each of many entries that start while the
// board changes, and against a cached snapshot that lacks the changes since it was made.
func TestEntriesThatStartTogetherShareASnapshot(t *testing.T) {
	m := NewMachine()
	apply := func(c blackboard.Command) {
		encoded, err := blackboard.Encode(c)
		assert.NilError(t, err)
		m.Apply(1, LogCommand(noderpc.Machine_MACHINE_BOARD, encoded))
	}
	apply(&blackboard.Found{ClusterID: "c"})
	for i := range 2000 {
		apply(&blackboard.PutEntry{Entry: blackboard.Entry{ID: fmt.Sprint("e", i)}})
		snapshot, commands, board, err := m.EntrySnapshot()
		assert.NilError(t, err)
		if i%97 != 0 {
			continue
		}
		entry, err := blackboard.Decode(snapshot)
		assert.NilError(t, err)
		entry, err = entry.ApplyAll(commands)
		assert.NilError(t, err)
		assert.Equal(t, entry.Revision, board.Revision)
		assert.DeepEqual(t, entry.Entries, board.Entries)
	}
	assert.Assert(t, m.snapshotCount < 12, "%d snapshots", m.snapshotCount)
}
