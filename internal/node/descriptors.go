package node

import (
	"math"
	"syscall"
)

// maxCallerConnections returns how many connections of callers may be open: half of the descriptors that this process
// may have. Each of their requests takes one more.
func maxCallerConnections() int { return descriptors() / 2 }

// maxOtherConnections returns how many connections of all other listeners may be open together: a quarter of the
// descriptors beside the entry role, else three quarters. A control process has connections of all entries and backend
// servers and makes few of its own.
func maxOtherConnections(isEntry bool) int {
	if isEntry {
		return descriptors() / 4
	}
	return descriptors() / 4 * 3
}

// descriptors returns how many descriptors this process may have.
func descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt))
}
