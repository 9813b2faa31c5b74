// Package clock reads the time that leases are counted in.
//
// Leases must run out while their holder is frozen. CLOCK_BOOTTIME counts the
// time in which the process was stopped and in which the whole VM was
// suspended; the wall clock may be set back, and the runtime's monotonic clock
// stands still while the VM is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a reading of CLOCK_BOOTTIME: the time since the VM started.
type Boot time.Duration

// Now reads the clock.
func Now() Boot {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock; without it no lease can
		// be held safely.
		panic(err)
	}
	return Boot(ts.Nano())
}

// Add returns the reading d later.
func (b Boot) Add(d time.Duration) Boot { return b + Boot(d) }

// Sub returns the time from o to b.
func (b Boot) Sub(o Boot) time.Duration { return time.Duration(b - o) }
