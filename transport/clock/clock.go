// Package clock provides a monotonic clock that keeps counting while the VM is
// suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// override replaces the system clock if set. Tests set it to virtual time.
var override atomic.Pointer[func() time.Duration]

// SetForTest makes Now return the readings of f; nil restores the system clock.
// It is for tests only.
func SetForTest(f func() time.Duration) {
	if f == nil {
		override.Store(nil)
		return
	}
	override.Store(&f)
}

// Now returns the time since the machine booted. Changes of the wall clock do
// not affect it and, unlike the monotonic clock of package time, it keeps
// counting while the machine is suspended. Ages and leases are measured with
// it, because a VM that resumes must find them expired.
func Now() time.Duration {
	if f := override.Load(); f != nil {
		return (*f)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
