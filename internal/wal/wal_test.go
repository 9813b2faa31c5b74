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

// save persists the entries with indexes from to to, inclusive, all of one term.
func save(t *testing.T, w *WAL, term, from, to uint64) {
	t.Helper()
	var entries []raft.Entry
	for i := from; i <= to; i++ {
		entries = append(entries, raft.Entry{Term: term, Index: i, Data: []byte(strings.Repeat("payload", 40))})
	}
	hard := raft.HardState{Term: term, Vote: 7, Commit: to}
	assert.NilError(t, w.Save(raft.Ready{MustPersist: true, Entries: entries, HardState: hard}))
}

// newFolderWithEntries creates a data folder with 40 entries, closes it and returns
// its path.
func newFolderWithEntries(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	w := openAt(t, folder)
	save(t, w, 3, 1, 40)
	assert.NilError(t, w.Close())
	return folder
}

// A reopened folder must have the same identity, vote, log and snapshot as before a
// restart. Rewritten entries at the end of the log must replace the old ones.
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
	s := w.LoadedState()
	assert.DeepEqual(t, s.Snapshot, snapshot)
	assert.Equal(t, s.HardState, raft.HardState{Term: 4, Vote: 7, Commit: 39})
	assert.Equal(t, s.Base, raft.Position{Index: 10, Term: 3})
	assert.Equal(t, len(s.Entries), 29)
	assert.Equal(t, s.Entries[28].Term, uint64(4))

	received := raft.Snapshot{Index: 100, Term: 5, Data: []byte("newer")}
	next := []raft.Entry{{Term: 5, Index: 101, Data: []byte("x")}}
	assert.NilError(t, w.Save(raft.Ready{MustPersist: true, Snapshot: &received, Entries: next, HardState: raft.HardState{Term: 5, Commit: 100}}))
	assert.NilError(t, w.db.View(w.readAll))
	assert.Equal(t, w.LoadedState().Base, raft.Position{Index: 100, Term: 5})
}

// mustBeCorrupt checks that Open rejects a damaged folder with a CorruptError that
// names the file and advises the operator, and that the file is unchanged.
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

// Guards against silent loss of a committed write. The disk returns one wrong byte in
// an entry that this replica has acknowledged. Dropping that entry, or the log from
// there on, could lose a committed write without notice.
func TestWrongByte(t *testing.T) {
	folder := newFolderWithEntries(t)
	path := filepath.Join(folder, FileName)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	at := bytes.LastIndex(content, []byte("payloadpayload"))
	content[at+3] ^= 1
	assert.NilError(t, os.WriteFile(path, content, fileMode))
	mustBeCorrupt(t, folder)
}

// Guards against a crash on a truncated file, left by a full or failing disk. A read
// of the missing end would end the process with a memory fault.
func TestTruncatedFile(t *testing.T) {
	for _, part := range []int64{2, 4, 20} {
		folder := newFolderWithEntries(t)
		path := filepath.Join(folder, FileName)
		info, err := os.Stat(path)
		assert.NilError(t, err)
		assert.NilError(t, os.Truncate(path, info.Size()/part))
		mustBeCorrupt(t, folder)
	}
}

// Guards against a file whose header pages were overwritten with zeros.
func TestHeaderOverwritten(t *testing.T) {
	folder := newFolderWithEntries(t)
	path := filepath.Join(folder, FileName)
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	clear(content[:3*os.Getpagesize()])
	assert.NilError(t, os.WriteFile(path, content, fileMode))
	mustBeCorrupt(t, folder)
}

// Guards against missing entries at or below the commit index, at the start, in the
// middle or at the end of the log. Each remaining record is intact.
func TestMissingEntries(t *testing.T) {
	for _, index := range []uint64{1, 20, 40} {
		folder := newFolderWithEntries(t)
		w := openAt(t, folder)
		assert.NilError(t, w.db.Update(func(tx *bolt.Tx) error {
			return tx.Bucket(bucketEntries).Delete(entryKey(index))
		}))
		assert.NilError(t, w.Close())
		mustBeCorrupt(t, folder)
	}
}

// Guards against a partial write after a crash. A bbolt transaction is atomic. Here
// it fails after half of its changes, and none of them may be visible.
func TestPartialWriteIsNotVisible(t *testing.T) {
	folder := newFolderWithEntries(t)
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
	s := w.LoadedState()
	assert.Equal(t, len(s.Entries), 40)
	assert.Equal(t, s.Entries[39].Term, uint64(3))
}
