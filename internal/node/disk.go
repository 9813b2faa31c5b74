package node

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/citronstep/citronstep/internal/replica"
	"github.com/citronstep/citronstep/internal/wal"
)

// diskProbeInterval is the time between two tries to write to the data folder.
const diskProbeInterval = 250 * time.Millisecond

// openReplica opens the replica once its disk has room for it.
//
// Failure: a process starts while its disk is full. If it ended for that it would
// be started again at once, many times a second.
func (n *Node) openReplica(o replica.Options) (*replica.Node, error) {
	isLogged := false
	for {
		r, err := replica.Open(o)
		if !errors.Is(err, wal.ErrNoRoom) {
			return r, errors.Trace(err)
		}
		if !isLogged {
			_ = level.Error(n.logger).Log("event", "dependency_lost", "what", "disk", "err", err)
			isLogged = true
		}
		time.Sleep(diskProbeInterval)
	}
}

// waitForDisk returns once the data folder takes writes again.
//
// Failure: the disk returns errors; the replica has stopped, as nobody knows what
// its file holds. A process that ends at once is started again, fails at its next
// write and so on, many times a second, and takes the VM's processor from the
// other process on it. The process stays instead, and refuses.
func (n *Node) waitForDisk(ctx context.Context) {
	_ = level.Error(n.logger).Log("event", "dependency_lost", "what", "disk", "err", errText(n.replica.Status().Err))
	ticker := time.NewTicker(diskProbeInterval)
	defer ticker.Stop()
	for {
		err := probeDisk(n.settings.Control.DataFolder)
		if err == nil {
			_ = level.Info(n.logger).Log("event", "dependency_regained", "what", "disk")
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// probeDisk writes and syncs a small file and removes it.
func probeDisk(folder string) error {
	path := filepath.Join(folder, "probe")
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	_, writeErr := f.Write(make([]byte, 4<<10))
	syncErr := f.Sync()
	closeErr := f.Close()
	removeErr := os.Remove(path)
	for _, err := range []error{writeErr, syncErr, closeErr, removeErr} {
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
