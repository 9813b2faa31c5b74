package replica

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads CLOCK_BOOTTIME. Unlike Go's monotonic clock, it advances while the machine is
// suspended, so a leader that was frozen sees on resuming that its lease has expired.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39. Without it no lease can be trusted, so time stands
		// still.
		return 0
	}
	return time.Duration(t.Nano())
}
