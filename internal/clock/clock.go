// Package clock reads a clock that goes on while the machine is suspended and does not
// jump with the time of day. The monotonic reading of package time stops in a suspended
// machine, so that a lease measured with it looks valid afterwards.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since some fixed moment before the start of the process.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // every Linux since 2.6.39 has the clock
	}
	return time.Duration(now.Nano())
}
