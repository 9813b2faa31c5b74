package replica

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime reads CLOCK_BOOTTIME. Unlike Go's monotonic clock it goes on while
// the machine is suspended, so a leader that was frozen sees on waking that
// its lease has run out.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39; without one no lease can be
		// trusted and no time passes.
		return 0
	}
	return time.Duration(t.Nano())
}
