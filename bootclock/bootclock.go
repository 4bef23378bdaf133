// Package bootclock reads a clock that goes on while the machine is suspended,
// which Go's monotonic clock does not.
package bootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine started, suspended time included.
type Time time.Duration

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Now reads the clock. It panics if the kernel has no such clock, which no
// supported kernel lacks.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return Time(ts.Nano())
}
