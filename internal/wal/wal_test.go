package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/raft"
)

func openAt(t *testing.T, folder string) *WAL {
	t.Helper()
	w, err := Open(folder, nil)
	assert.NilError(t, err)
	return w
}

// save persists the entries from..to of one term.
func save(t *testing.T, w *WAL, term, from, to uint64) {
	t.Helper()
	var entries []raft.Entry
	for i := from; i <= to; i++ {
		entries = append(entries, raft.Entry{Term: term, Index: i, Data: []byte(strings.Repeat("payload", 40))})
	}
	hard := raft.HardState{Term: term, Vote: 7, Commit: to}
	assert.NilError(t, w.Save(raft.Ready{MustPersist: true, Entries: entries, HardState: hard}))
}

// written makes a folder with 40 entries and returns it, closed.
func written(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	w := openAt(t, folder)
	save(t, w, 3, 1, 40)
	assert.NilError(t, w.Close())
	return folder
}

// Story: a control VM restarts. It comes back under its identity, with its
// vote, log and snapshot; a rewritten end of the log replaces the old one.
func TestReopen(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	w := openAt(t, folder)
	id := w.Identity()
	assert.Assert(t, id.Node != 0)
	save(t, w, 3, 1, 40)
	save(t, w, 4, 38, 39)
	id.Cluster = 99
	assert.NilError(t, w.SetIdentity(id))
	snapshot := raft.Snapshot{
		Index: 20, Term: 3, Data: []byte("state"),
		Membership: raft.Membership{Members: []raft.Member{{ID: 5, VM: "a"}}},
	}
	assert.NilError(t, w.Compact(snapshot, raft.Position{Index: 10, Term: 3}))
	_, err := Open(folder, nil)
	assert.Assert(t, errors.Is(err, ErrLocked), "%v", err)
	assert.NilError(t, w.Close())
	assert.Assert(t, errors.Is(w.SetIdentity(id), ErrClosed))

	w = openAt(t, folder)
	defer func() { assert.NilError(t, w.Close()) }()
	assert.Equal(t, w.Identity(), id)
	s := w.Saved()
	assert.DeepEqual(t, s.Snapshot, snapshot)
	assert.Equal(t, s.HardState, raft.HardState{Term: 4, Vote: 7, Commit: 39})
	assert.Equal(t, s.Base, raft.Position{Index: 10, Term: 3})
	assert.Equal(t, len(s.Entries), 29)
	assert.Equal(t, s.Entries[28].Term, uint64(4))

	received := raft.Snapshot{Index: 100, Term: 5, Data: []byte("newer")}
	next := []raft.Entry{{Term: 5, Index: 101, Data: []byte("x")}}
	assert.NilError(t, w.Save(raft.Ready{MustPersist: true, Snapshot: &received, Entries: next, HardState: raft.HardState{Term: 5, Commit: 100}}))
	assert.NilError(t, w.db.View(w.readAll))
	assert.Equal(t, w.Saved().Base, raft.Position{Index: 100, Term: 5})
}

// mustBeCorrupt checks that a damaged folder is refused with the file's name
// and what to do, and is left as it is.
func mustBeCorrupt(t *testing.T, folder string) {
	t.Helper()
	path := filepath.Join(folder, FileName)
	before, err := os.ReadFile(path)
	assert.NilError(t, err)
	w, err := Open(folder, nil)
	if err == nil {
		_ = w.Close()
	}
	var corrupt *CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
	assert.Equal(t, corrupt.File, path)
	assert.Assert(t, strings.Contains(err.Error(), "Move the data folder away"))
	after, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(before, after))
}

// Story: a disk returns one wrong byte in an entry that this replica has
// acknowledged. Dropping the entry, or the end of the log, would let a
// committed write vanish without a word.
func TestWrongByte(t *testing.T) {
	folder := written(t)
	path := filepath.Join(folder, FileName)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	at := bytes.LastIndex(content, []byte("payloadpayload"))
	content[at+3] ^= 1
	assert.NilError(t, os.WriteFile(path, content, fileMode))
	mustBeCorrupt(t, folder)
}

// Story: a full or failing disk cut the file short. The end is gone, and
// reading there would end the process with a memory fault.
func TestFileCutShort(t *testing.T) {
	for _, part := range []int64{2, 4, 20} {
		folder := written(t)
		path := filepath.Join(folder, FileName)
		info, err := os.Stat(path)
		assert.NilError(t, err)
		assert.NilError(t, os.Truncate(path, info.Size()/part))
		mustBeCorrupt(t, folder)
	}
}

// Story: the file's head was overwritten with zeros.
func TestHeadOverwritten(t *testing.T) {
	folder := written(t)
	path := filepath.Join(folder, FileName)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	clear(content[:3*os.Getpagesize()])
	assert.NilError(t, os.WriteFile(path, content, fileMode))
	mustBeCorrupt(t, folder)
}

// Story: entries below the commit index are missing, in the middle or at the
// end, though each record that is there is sound.
func TestMissingEntries(t *testing.T) {
	for _, index := range []uint64{1, 20, 40} {
		folder := written(t)
		w := openAt(t, folder)
		assert.NilError(t, w.db.Update(func(tx *bolt.Tx) error {
			return tx.Bucket(bucketEntries).Delete(entryKey(index))
		}))
		assert.NilError(t, w.Close())
		mustBeCorrupt(t, folder)
	}
}

// Story: the process dies in the middle of a write. bbolt's transaction shows
// all of it or nothing; here the transaction fails after half of the entries.
func TestHalfWrittenStepIsNotThere(t *testing.T) {
	folder := written(t)
	w := openAt(t, folder)
	err := w.update(func(tx *bolt.Tx) error {
		if err := appendEntries(tx, []raft.Entry{{Term: 9, Index: 38}}); err != nil {
			return err
		}
		return errors.Trace(ErrClosed)
	})
	assert.Assert(t, errors.Is(err, ErrClosed))
	assert.NilError(t, w.Close())
	w = openAt(t, folder)
	defer func() { assert.NilError(t, w.Close()) }()
	s := w.Saved()
	assert.Equal(t, len(s.Entries), 40)
	assert.Equal(t, s.Entries[39].Term, uint64(3))
}
