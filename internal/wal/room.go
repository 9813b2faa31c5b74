package wal

import (
	"strings"
	"syscall"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"
)

// ErrNoRoom says that the disk took no more bytes. What was written before it is
// whole, and the write that failed may be tried again.
const ErrNoRoom = errors.ConstError("the disk takes no more bytes")

// Waiter waits for room on the disk.
type Waiter interface {
	// NoRoom is called after a write found no room. It returns true to try the
	// same write again, after a while of its own choice, and false to give it up.
	NoRoom(err error) (again bool)
	// Room is called once a write that had found none has been made.
	Room()
}

// noRoomCauses are what a system answers when a file can't grow: the disk, the
// user's quota, or the limit of a file's size.
var noRoomCauses = []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG}

// isNoRoom tells whether a write failed for want of room. The store passes some of
// these errors on as text alone.
func isNoRoom(err error) bool {
	if err == nil {
		return false
	}
	for _, cause := range noRoomCauses {
		if errors.Is(err, cause) || strings.Contains(err.Error(), cause.Error()) {
			return true
		}
	}
	return false
}

// update runs f in one transaction that is synced before update returns. While
// the disk has no room it tries again for as long as the waiter says.
//
// Failure: the disk fills in the middle of a transaction. A replica that stops for
// it ends its process, though nothing is lost: the store writes a transaction's
// pages beside the old ones and its header last, so the file holds the state before
// it, or after it if only the sync failed. Each transaction here sets what it
// writes, whatever stood there, so to run it again is right in both cases. The file
// is opened anew first, so that nothing in memory speaks of pages that were never
// written.
func (w *WAL) update(f func(tx *bolt.Tx) error) error {
	for waited := false; ; waited = true {
		err := w.updateOnce(f)
		if err == nil && waited {
			w.waiter.Room()
		}
		if !isNoRoom(err) {
			return err
		}
		err = errors.Annotate(ErrNoRoom, err.Error())
		if w.waiter == nil || !w.waiter.NoRoom(err) {
			return err
		}
		if err := w.reopen(); err != nil {
			return errors.Trace(err)
		}
	}
}

// reopen opens the file anew.
func (w *WAL) reopen() error {
	if err := w.guard("close", w.db.Close); err != nil {
		return errors.Annotatef(err, "closing %s", w.path)
	}
	return errors.Trace(w.guard("file", w.openFile))
}
