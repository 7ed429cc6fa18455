package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionMargin is the least change of the difference of the two clocks that counts as a
// suspension. They are not read at the same moment, so their difference varies.
const suspensionMargin = 50 * time.Millisecond

// suspension measures for how long the machine was suspended since it was created.
type suspension struct {
	read  func(id int32) time.Duration
	start time.Duration
}

func newSuspension(read func(id int32) time.Duration) *suspension {
	suspension := &suspension{read: read}
	suspension.start = suspension.difference()
	return suspension
}

// difference returns for how long CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC, which stops
// while the machine is suspended.
func (suspension *suspension) difference() time.Duration {
	monotonic := suspension.read(unix.CLOCK_MONOTONIC)
	return suspension.read(unix.CLOCK_BOOTTIME) - monotonic
}

// length returns the time for which the machine was suspended.
func (suspension *suspension) length() time.Duration {
	length := suspension.difference() - suspension.start
	if length < suspensionMargin {
		return 0
	}
	return length
}

var sinceStart = newSuspension(readClock)

// Time returns the current time with a monotonic reading that includes the time during which
// the machine was suspended since the start of the process. Only results of Time may be
// compared with each other.
func Time() time.Time { return time.Now().Add(sinceStart.length()) }
