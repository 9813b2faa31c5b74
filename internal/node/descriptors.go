package node

import (
	"math"
	"syscall"
)

// maxCallerConnections returns how many connections of callers may be open: half of the descriptors that this process
// may have. Each of their requests takes one more.
func maxCallerConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur/2, math.MaxInt))
}
