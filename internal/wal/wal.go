// Package wal stores the durable state of one consensus replica in one file of its
// data folder: its identity, hard state, log entries and snapshot.
//
// Every write is one bbolt transaction, synced before the call returns. Every record
// has a checksum. A record that does not match its checksum, or a gap in the log, is
// reported as a CorruptError and never skipped: the damaged entries may be committed
// ones that this replica has acknowledged.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"github.com/citronstep/citronstep/internal/raft"
)

// FileName is the name of the file in the data folder.
const FileName = "consensus.db"

// lockTimeout is the time that Open waits for another process to close the file.
const lockTimeout = time.Second

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// ErrLocked is returned when another process has the data folder open.
const ErrLocked = errors.ConstError("the data folder is in use by another process")

// ErrClosed is returned by a write after Close.
const ErrClosed = errors.ConstError("the data folder is closed")

// CorruptError is returned for a data folder whose content is damaged.
type CorruptError struct {
	// File is the damaged file.
	File string
	// Record names the part of the file that was being read.
	Record string
	// Cause describes the damage.
	Cause string
}

// Error returns the file, the record, the cause and the steps for an operator.
func (e *CorruptError) Error() string {
	return e.File + " is damaged (" + e.Record + ": " + e.Cause + "). " +
		"Nothing was dropped or repaired. Move the data folder away and start the process " +
		"with an empty one: it joins under a new identity and the leader brings it up to date. " +
		"Do this only while a majority of the other voters is alive."
}

// Identity names a replica and the cluster it belongs to.
type Identity struct {
	Node raft.NodeID
	// Cluster is zero until the replica has founded (bootstrapped) or joined a
	// cluster.
	Cluster uint64
	// Removed is set once the replica has learnt that it was removed from the
	// membership.
	Removed bool
}

var (
	bucketMeta     = []byte("meta")
	bucketEntries  = []byte("entries")
	keyIdentity    = []byte("identity")
	keyHardState   = []byte("hard_state")
	keyBase        = []byte("base")
	keySnapshot    = []byte("snapshot")
	keyFormat      = []byte("format")
	formatVersion1 = []byte("citronstep-wal-1")
)

// WAL is an open data folder.
type WAL struct {
	path     string
	db       *bolt.DB
	waiter   SpaceWaiter
	identity Identity
	saved    raft.PersistedState
}

// Open opens the data folder, or creates it with a new random identity. The waiter
// decides whether to retry a later write that fails because the file cannot grow. A
// nil waiter abandons such writes.
//
// Open returns ErrNoSpace if the file cannot grow, ErrLocked if another process has
// the folder open, and a CorruptError if the file is damaged.
func Open(folder string, waiter SpaceWaiter) (*WAL, error) {
	w, err := open(folder, waiter)
	if isNoSpace(err) {
		return nil, errors.Annotate(ErrNoSpace, err.Error())
	}
	return w, errors.Trace(err)
}

func open(folder string, waiter SpaceWaiter) (*WAL, error) {
	path := filepath.Join(folder, FileName)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Annotatef(err, "creating the data folder %s", folder)
	}
	w := &WAL{path: path, waiter: waiter}
	if err := w.catchCorruption("file", w.openFile); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.catchCorruption("contents", w.load); err != nil {
		_ = w.catchCorruption("close", w.db.Close)
		return nil, errors.Trace(err)
	}
	return w, nil
}

func (w *WAL) openFile() error {
	if _, err := os.Stat(w.path); os.IsNotExist(err) {
		if err := createFile(w.path); err != nil {
			return errors.Annotatef(err, "creating %s", w.path)
		}
	}
	db, err := bolt.Open(w.path, fileMode, &bolt.Options{Timeout: lockTimeout})
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return errors.Annotate(ErrLocked, w.path)
	case errors.Is(err, berrors.ErrInvalid), errors.Is(err, berrors.ErrChecksum),
		errors.Is(err, berrors.ErrVersionMismatch):
		return w.corruptError("file header", err.Error())
	case isNoSpace(err), os.IsPermission(err):
		return errors.Annotatef(err, "opening %s", w.path)
	case err != nil:
		return w.corruptError("file header", err.Error())
	}
	w.db = db
	return nil
}

// unfinishedSuffix is the suffix of a file whose creation is not complete.
const unfinishedSuffix = ".new"

// createFile creates an empty store under a temporary name and renames it once it is
// complete.
//
// This guards against a full disk or a power failure while the first pages are
// written. The truncated file would hold nothing yet, but could not be distinguished
// from one that was damaged later. createFile also syncs the folder, so that the name
// and the file survive a crash together. Otherwise the replica could restart without
// the votes that it has sent.
func createFile(path string) error {
	unfinished := path + unfinishedSuffix
	if err := os.Remove(unfinished); err != nil && !os.IsNotExist(err) {
		return errors.Trace(err)
	}
	db, err := bolt.Open(unfinished, fileMode, &bolt.Options{Timeout: lockTimeout})
	if err != nil {
		return errors.Trace(err)
	}
	if err := db.Close(); err != nil {
		return errors.Trace(err)
	}
	if err := os.Rename(unfinished, path); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(syncFolder(filepath.Dir(path)))
}

// syncFolder syncs the folder and its parent.
func syncFolder(folder string) error {
	for _, name := range []string{folder, filepath.Dir(folder)} {
		f, err := os.Open(name)
		if err != nil {
			return errors.Annotatef(err, "opening %s", name)
		}
		err = f.Sync()
		_ = f.Close()
		if err != nil {
			return errors.Annotatef(err, "syncing %s", name)
		}
	}
	return nil
}

// load initialises a new file and reads its content. It only reads an existing file,
// so that a damaged one stays unchanged.
func (w *WAL) load() error {
	isNew := false
	err := w.db.View(func(tx *bolt.Tx) error {
		info, err := os.Stat(w.path)
		if err != nil {
			return errors.Trace(err)
		}
		if info.Size() < tx.Size() {
			return w.corruptError("file", "the file is shorter than its header states")
		}
		isNew = tx.Bucket(bucketMeta) == nil
		return nil
	})
	if err != nil {
		return errors.Trace(err)
	}
	if isNew {
		if err := w.db.Update(w.initialise); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(w.db.View(w.readAll))
}

// initialise writes the format and a new random identity to an empty file.
func (w *WAL) initialise(tx *bolt.Tx) error {
	meta, err := tx.CreateBucket(bucketMeta)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := tx.CreateBucket(bucketEntries); err != nil {
		return errors.Trace(err)
	}
	id, err := RandomID()
	if err != nil {
		return errors.Trace(err)
	}
	if err := meta.Put(keyFormat, formatVersion1); err != nil {
		return errors.Trace(err)
	}
	return putRecord(meta, keyIdentity, encodeIdentity(Identity{Node: raft.NodeID(id)}))
}

// RandomID returns a random number other than zero from the system's secure source.
func RandomID() (uint64, error) {
	var b [8]byte
	for {
		if _, err := rand.Read(b[:]); err != nil {
			return 0, errors.Annotate(err, "reading random bytes")
		}
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return id, nil
		}
	}
}

// Identity returns the replica's current identity.
func (w *WAL) Identity() Identity { return w.identity }

// LoadedState returns the state as of Open. The WAL keeps no copy of it, so a second call
// returns the zero value.
func (w *WAL) LoadedState() raft.PersistedState {
	s := w.saved
	w.saved = raft.PersistedState{}
	return s
}

// SetIdentity persists the identity, after the replica has joined a cluster or was
// removed from it.
func (w *WAL) SetIdentity(id Identity) error {
	err := w.update(func(tx *bolt.Tx) error {
		return putRecord(tx.Bucket(bucketMeta), keyIdentity, encodeIdentity(id))
	})
	if err != nil {
		return errors.Trace(err)
	}
	w.identity = id
	return nil
}

// Save persists r in one synced transaction, if r.MustPersist is set. A snapshot
// replaces the complete log. The entries replace all stored entries from the index of
// the first one on. The hard state is always written.
func (w *WAL) Save(r raft.Ready) error {
	if !r.MustPersist {
		return nil
	}
	return errors.Trace(w.update(func(tx *bolt.Tx) error {
		if r.Snapshot != nil {
			base := raft.Position{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
			if err := w.putSnapshot(tx, *r.Snapshot, base); err != nil {
				return errors.Trace(err)
			}
			if err := deleteFrom(tx, 0); err != nil {
				return errors.Trace(err)
			}
		}
		if err := appendEntries(tx, r.Entries); err != nil {
			return errors.Trace(err)
		}
		return putRecord(tx.Bucket(bucketMeta), keyHardState, encodeHardState(r.HardState))
	}))
}

// Bootstrap bootstraps a new cluster: it persists the first membership as a committed
// entry, together with the identity that names the cluster.
func (w *WAL) Bootstrap(id Identity, first raft.Entry) error {
	err := w.update(func(tx *bolt.Tx) error {
		if err := appendEntries(tx, []raft.Entry{first}); err != nil {
			return errors.Trace(err)
		}
		meta := tx.Bucket(bucketMeta)
		hard := raft.HardState{Term: first.Term, Commit: first.Index}
		if err := putRecord(meta, keyHardState, encodeHardState(hard)); err != nil {
			return errors.Trace(err)
		}
		return putRecord(meta, keyIdentity, encodeIdentity(id))
	})
	if err != nil {
		return errors.Trace(err)
	}
	w.identity = id
	return nil
}

// Compact persists a snapshot and deletes the entries up to and including base.
func (w *WAL) Compact(s raft.Snapshot, base raft.Position) error {
	return errors.Trace(w.update(func(tx *bolt.Tx) error {
		if err := w.putSnapshot(tx, s, base); err != nil {
			return errors.Trace(err)
		}
		return deleteThrough(tx, base.Index)
	}))
}

func (w *WAL) putSnapshot(tx *bolt.Tx, s raft.Snapshot, base raft.Position) error {
	data, err := encodeSnapshot(s)
	if err != nil {
		return errors.Trace(err)
	}
	meta := tx.Bucket(bucketMeta)
	if err := putRecord(meta, keyBase, encodePosition(base)); err != nil {
		return errors.Trace(err)
	}
	return putRecord(meta, keySnapshot, data)
}

// updateOnce runs f in one transaction that is synced before it returns.
func (w *WAL) updateOnce(f func(tx *bolt.Tx) error) error {
	return w.catchCorruption("write", func() error {
		err := w.db.Update(f)
		if errors.Is(err, berrors.ErrDatabaseNotOpen) {
			return errors.Trace(ErrClosed)
		}
		return errors.Annotatef(err, "writing %s", w.path)
	})
}

// Close closes the file.
func (w *WAL) Close() error {
	return errors.Annotatef(w.db.Close(), "closing %s", w.path)
}
