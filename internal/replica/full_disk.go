package replica

import "time"

// fullDiskRetryInterval is the time between two attempts of a write while the disk is full.
// Freed space is then used within a fraction of an election timeout, and the attempts cost only
// a few system calls a second.
const fullDiskRetryInterval = 250 * time.Millisecond

// fullDisk makes writes wait while the disk is full.
//
// Failure: the disk is full for some seconds. The replica can't store what it would have to
// acknowledge. So its goroutine waits here and sends nothing: it acknowledges no entry, grants
// no vote, and its lease as leader expires by the clock. When the disk has free space again,
// the replica continues.
type fullDisk struct {
	logger logger
	// stop ends the wait when it closes.
	stop   chan struct{}
	isFull bool
}

// WaitForSpace waits before the next attempt of a write that failed because the disk is full. It
// returns false if the node is stopping.
func (d *fullDisk) WaitForSpace(err error) bool {
	if !d.isFull {
		d.isFull = true
		d.logger.error("event", "dependency_lost", "what", "disk", "err", err)
	}
	select {
	case <-time.After(fullDiskRetryInterval):
		return true
	case <-d.stop:
		return false
	}
}

// SpaceRegained records that a write has succeeded after WaitForSpace.
func (d *fullDisk) SpaceRegained() {
	d.isFull = false
	d.logger.info("event", "dependency_regained", "what", "disk")
}
