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

// diskProbeInterval is the time between two attempts to write to the data folder.
const diskProbeInterval = 250 * time.Millisecond

// openReplica opens the replica. While the disk is full, it waits and retries.
//
// Failure: a process starts while its disk is full. If it exited, it would be restarted
// at once, many times a second.
func (n *Node) openReplica(o replica.Options) (*replica.Node, error) {
	isLogged := false
	for {
		r, err := replica.Open(o)
		if !errors.Is(err, wal.ErrNoSpace) {
			return r, errors.Trace(err)
		}
		if !isLogged {
			_ = level.Error(n.logger).Log("event", "dependency_lost", "what", "disk", "err", err)
			isLogged = true
		}
		time.Sleep(diskProbeInterval)
	}
}

// waitForDisk returns once a write to the data folder succeeds, or when the context ends.
//
// Failure: the disk returns errors. The replica has stopped, because the content of its
// file is unknown. A process that exits at once is restarted and fails at its next write,
// many times a second, and takes processor time from the other process on the VM. This
// process keeps running instead and refuses requests.
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

// probeDisk writes, syncs and removes a small file in folder.
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
