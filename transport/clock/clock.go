// Package clock reads a clock that also counts while the VM is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started. It never jumps, and unlike
// the steady clock of package time it goes on while the machine is suspended.
// Ages and leases are measured with it: a VM that wakes must find them expired.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
