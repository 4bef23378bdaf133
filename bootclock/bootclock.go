// Package bootclock reads the clock CLOCK_BOOTTIME, which advances while the
// machine is suspended. Go's monotonic clock does not.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine booted, including time while suspended.
type Time time.Duration

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Now returns the current boot time. It panics if the kernel does not provide
// CLOCK_BOOTTIME; all supported kernels do.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return Time(ts.Nano())
}
