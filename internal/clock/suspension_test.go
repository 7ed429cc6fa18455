package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestSuspension guards against a lease that looks valid after the machine was suspended, and
// against a passing difference between the readings of two clocks that counts as a
// suspension.
func TestSuspension(t *testing.T) {
	is := is.New(t)
	clocks := map[int32]time.Duration{unix.CLOCK_MONOTONIC: time.Hour, unix.CLOCK_BOOTTIME: 3 * time.Hour}
	suspension := newSuspension(func(id int32) time.Duration { return clocks[id] })
	is.Equal(suspension.length(), time.Duration(0))
	pass := func(awake, suspended time.Duration) {
		clocks[unix.CLOCK_MONOTONIC] += awake
		clocks[unix.CLOCK_BOOTTIME] += awake + suspended
	}
	pass(time.Minute, time.Millisecond)
	is.Equal(suspension.length(), time.Duration(0))
	pass(time.Minute, 7*time.Second)
	is.Equal(suspension.length(), 7*time.Second+time.Millisecond)
	pass(time.Minute, time.Second)
	is.Equal(suspension.length(), 8*time.Second+time.Millisecond)
}

// TestTime guards against a time without a monotonic reading, which a step of the time of day
// would change.
func TestTime(t *testing.T) {
	is := is.New(t)
	before := time.Now()
	now := Time()
	is.True(now != now.Round(0)) // Round strips the monotonic reading
	is.True(!now.Before(before))
	is.True(now.Sub(before) < time.Minute)
}
