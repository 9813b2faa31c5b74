// Package clock provides the clock that measures leases.
//
// A lease must expire even while the process of its holder is stopped or the VM is suspended.
// CLOCK_BOOTTIME includes both periods. The wall clock may be set back, and Go's monotonic clock
// stops while the VM is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a reading of CLOCK_BOOTTIME: the time since the VM started.
type Boot time.Duration

// Now returns the current reading.
func Now() Boot {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock. Without it, no lease can be held safely.
		panic(err)
	}
	return Boot(ts.Nano())
}

// Add returns the reading d after b.
func (b Boot) Add(d time.Duration) Boot { return b + Boot(d) }

// Sub returns the duration from o to b.
func (b Boot) Sub(o Boot) time.Duration { return time.Duration(b - o) }
