package replica

import "time"

// fullDiskRetryInterval is the time between two tries of a write that finds no room: a disk
// that has room again is used within a fraction of an election timeout, and the
// tries cost a few system calls a second.
const fullDiskRetryInterval = 250 * time.Millisecond

// fullDisk waits while the disk has no room.
//
// Failure: the disk is full for some seconds. The replica can't keep what it would
// vouch for, so its goroutine waits here and answers nobody: it acknowledges
// nothing, grants no vote, and its lease as a leader runs out by the clock. It goes
// on where it was once there is room.
type fullDisk struct {
	logger logger
	// stop ends the wait.
	stop   chan struct{}
	isFull bool
}

// NoRoom returns true when the write is to be tried again.
func (d *fullDisk) NoRoom(err error) bool {
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

// Room notes that the write has been made.
func (d *fullDisk) Room() {
	d.isFull = false
	d.logger.info("event", "dependency_regained", "what", "disk")
}
