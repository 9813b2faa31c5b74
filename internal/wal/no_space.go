package wal

import (
	"strings"
	"syscall"

	"github.com/juju/errors"
	bolt "go.etcd.io/bbolt"
)

// ErrNoSpace is returned when a write fails because the data file cannot grow. All
// earlier writes are intact, and the failed write may be retried.
const ErrNoSpace = errors.ConstError("the data file cannot grow: the disk is full, or a quota or file size limit is reached")

// SpaceWaiter waits for free disk space.
type SpaceWaiter interface {
	// WaitForSpace is called after a write failed with ErrNoSpace. It may block before it
	// returns. It returns true to retry the write and false to abandon it.
	WaitForSpace(err error) (again bool)
	// SpaceRegained is called once a write succeeds after WaitForSpace was called for it.
	SpaceRegained()
}

// noSpaceErrnos are the system errors for a file that cannot grow: the disk is full,
// or the user's quota or the file size limit is reached.
var noSpaceErrnos = []syscall.Errno{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG}

// isNoSpace reports whether a write failed because the file cannot grow. It also
// compares the text, because bbolt returns some of these errors as text only.
func isNoSpace(err error) bool {
	if err == nil {
		return false
	}
	for _, cause := range noSpaceErrnos {
		if errors.Is(err, cause) || strings.Contains(err.Error(), cause.Error()) {
			return true
		}
	}
	return false
}

// update runs f in one transaction that is synced before update returns. While the
// file cannot grow, it retries the transaction until the waiter abandons it.
//
// The retry guards against a disk that fills during a transaction. A replica that
// stopped there would end its process although nothing is lost. bbolt writes the
// pages of a transaction beside the old ones and its header last. The file therefore
// holds the state before the transaction, or after it if only the sync failed. A
// retry is correct in both cases, because each transaction here overwrites its
// records regardless of their previous content.
//
// Before a retry, update reopens the file, so that nothing in memory refers to pages
// that were never written.
func (w *WAL) update(f func(tx *bolt.Tx) error) error {
	for waited := false; ; waited = true {
		err := w.updateOnce(f)
		if err == nil && waited {
			w.waiter.SpaceRegained()
		}
		if !isNoSpace(err) {
			return err
		}
		err = errors.Annotate(ErrNoSpace, err.Error())
		if w.waiter == nil || !w.waiter.WaitForSpace(err) {
			return err
		}
		if err := w.reopen(); err != nil {
			return errors.Trace(err)
		}
	}
}

// reopen closes the file and opens it again.
func (w *WAL) reopen() error {
	if err := w.catchCorruption("close", w.db.Close); err != nil {
		return errors.Annotatef(err, "closing %s", w.path)
	}
	return errors.Trace(w.catchCorruption("file", w.openFile))
}
