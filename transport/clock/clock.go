// Package clock reads a clock that also counts while the VM is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// source replaces the machine's clock in tests with virtual time.
var source atomic.Pointer[func() time.Duration]

// SetSource makes Now return f's readings; nil restores the machine's clock. It
// is for tests.
func SetSource(f func() time.Duration) {
	if f == nil {
		source.Store(nil)
		return
	}
	source.Store(&f)
}

// Now returns the time since the machine started. It never jumps, and unlike
// the steady clock of package time it goes on while the machine is suspended.
// Ages and leases are measured with it: a VM that wakes must find them expired.
func Now() time.Duration {
	if f := source.Load(); f != nil {
		return (*f)()
	}
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
