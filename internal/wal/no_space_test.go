package wal

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/citronstep/citronstep/internal/raft"
)

// smallDisk limits the file size of this process, and lifts the limit after a few
// failed writes. It is a SpaceWaiter.
type smallDisk struct {
	t                   *testing.T
	old                 syscall.Rlimit
	attempts, liftAfter int
	regained            int
}

// limitFileSize makes every write beyond bytes fail, as on a full disk.
func (d *smallDisk) limitFileSize(bytes uint64) {
	assert.NilError(d.t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &d.old))
	assert.NilError(d.t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: bytes, Max: d.old.Max}))
	d.attempts = 0
}

// inChild runs the test in a child process, so that the file size limit does not
// apply to files that go test itself writes. It returns true in the child.
func inChild(t *testing.T) bool {
	t.Helper()
	const mark = "CITRONSTEP_SMALL_DISK"
	if os.Getenv(mark) != "" {
		return true
	}
	c := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.count=1")
	c.Env = append(os.Environ(), mark+"=1")
	text, err := c.CombinedOutput()
	assert.NilError(t, err, string(text))
	return false
}

// liftLimit lifts the file size limit.
func (d *smallDisk) liftLimit() {
	assert.NilError(d.t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &d.old))
}

// WaitForSpace lifts the limit after some calls and always asks for a retry.
func (d *smallDisk) WaitForSpace(err error) bool {
	assert.Assert(d.t, errors.Is(err, ErrNoSpace))
	d.attempts++
	if d.attempts >= d.liftAfter {
		d.liftLimit()
	}
	return true
}

// SpaceRegained counts the waits that ended in success.
func (d *smallDisk) SpaceRegained() { d.regained++ }

// writeKinds holds one write of each kind, for a folder with 40 entries.
var writeKinds = map[string]func(w *WAL) error{
	"identity": func(w *WAL) error {
		id := w.Identity()
		id.Cluster = 99
		return w.SetIdentity(id)
	},
	"entries": func(w *WAL) error {
		entries := []raft.Entry{{Term: 4, Index: 38, Data: make([]byte, 60<<10)}, {Term: 4, Index: 39, Data: make([]byte, 60<<10)}}
		return w.Save(raft.Ready{MustPersist: true, Entries: entries, HardState: raft.HardState{Term: 4, Commit: 39}})
	},
	"snapshot": func(w *WAL) error {
		s := raft.Snapshot{Index: 50, Term: 3, Data: make([]byte, 200<<10)}
		return w.Save(raft.Ready{MustPersist: true, Snapshot: &s, HardState: raft.HardState{Term: 5, Commit: 50}})
	},
	"compaction": func(w *WAL) error {
		return w.Compact(raft.Snapshot{Index: 20, Term: 3, Data: make([]byte, 200<<10)}, raft.Position{Index: 10, Term: 3})
	},
}

// Guards against a replica that stops on a full disk. The disk fills at the first or
// at a later page of a transaction. The process used to exit, and after a restart it
// exited again at the next write. The write must wait, and the content read back must
// equal that of the same write on a disk with free space.
func TestWriteWaitsForSpace(t *testing.T) {
	if !inChild(t) {
		return
	}
	waits := 0
	for name, write := range writeKinds {
		want := contentAfterWrite(t, write, nil, 0)
		for limit := uint64(0); limit < 512<<10; limit += 12 << 10 {
			d := &smallDisk{t: t, liftAfter: 1 + int(limit/(12<<10))%3}
			got := contentAfterWrite(t, write, d, limit)
			assert.DeepEqual(t, got, want)
			assert.Equal(t, d.regained > 0, d.attempts > 0, "%s with a file size limit of %d bytes", name, limit)
			waits += d.regained
		}
	}
	assert.Assert(t, waits > 40, "%d", waits)
}

// contentAfterWrite returns the content of a folder after a write on a disk limited by
// d. It writes without a limit if d is nil.
func contentAfterWrite(t *testing.T, write func(*WAL) error, d *smallDisk, limit uint64) string {
	t.Helper()
	folder := newFolderWithEntries(t)
	var waiter SpaceWaiter
	if d != nil {
		waiter = d
	}
	w, err := Open(folder, waiter)
	assert.NilError(t, err)
	w.identity.Node = 7
	if d != nil {
		d.limitFileSize(limit)
	}
	err = write(w)
	if d != nil {
		d.liftLimit()
	}
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	w, err = Open(folder, nil)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, w.Close()) }()
	id := w.Identity()
	s := w.LoadedState()
	return fmt.Sprintf("%d %+v %+v %+v", id.Cluster, s.HardState, s.Base, s.Snapshot.Index) + fmt.Sprint(len(s.Snapshot.Data), len(s.Entries))
}

// Guards against damage by an abandoned write. The disk is full and the process has
// to stop, so the write is abandoned. All entries acknowledged before must be intact.
func TestAbandonedWriteKeepsEarlierEntries(t *testing.T) {
	if !inChild(t) {
		return
	}
	for name, write := range writeKinds {
		folder := newFolderWithEntries(t)
		w, err := Open(folder, nil)
		assert.NilError(t, err)
		d := &smallDisk{t: t}
		d.limitFileSize(8 << 10)
		err = write(w)
		d.liftLimit()
		assert.Assert(t, errors.Is(err, ErrNoSpace), "%s: %v", name, err)
		assert.NilError(t, w.Close())
		w, err = Open(folder, nil)
		assert.NilError(t, err)
		s := w.LoadedState()
		assert.Equal(t, len(s.Entries), 40)
		assert.Equal(t, s.HardState.Commit, uint64(40))
		assert.NilError(t, w.Close())
	}
}

// Guards against a full disk reported as damage. A process starts for the first time
// on a full disk. Open must return ErrNoSpace, not a CorruptError, and succeed once
// the disk has free space.
func TestFullDiskAtFirstStartIsNotDamage(t *testing.T) {
	if !inChild(t) {
		return
	}
	for _, limit := range []uint64{0, 4 << 10, 12 << 10, 20 << 10} {
		folder := filepath.Join(t.TempDir(), "data")
		d := &smallDisk{t: t}
		d.limitFileSize(limit)
		w, err := Open(folder, nil)
		d.liftLimit()
		assert.Assert(t, errors.Is(err, ErrNoSpace), "file size limit of %d bytes: %v", limit, err)
		assert.Assert(t, w == nil)
		w, err = Open(folder, nil)
		assert.NilError(t, err, "first start with a file size limit of %d bytes", limit)
		assert.NilError(t, w.Close())
	}
}
