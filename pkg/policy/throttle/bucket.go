package throttle

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// minRate is the rate that is granted at a limit below it. Only an answer shows that a
	// limit has ended, so an upstream that states zero still gets a request now and then.
	minRate core.RequestsPerSecond = 0.2
	// unlimitedRate is the rate from which a limit has no effect.
	unlimitedRate core.RequestsPerSecond = 1e6
)

// Bucket grants turns at a rate, one at a time: turns that were not used are lost. The zero
// value grants the first turn at once. Times are readings of a monotonic clock that
// continues while the machine is suspended. A Bucket is not safe for concurrent use.
type Bucket struct {
	// next is the time of the next turn.
	next time.Duration
}

// Delay makes the next turn not come before a time.
func (bucket *Bucket) Delay(until time.Duration) { bucket.next = max(bucket.next, until) }

// Reserve takes the next turn and returns the time until it. If that is longer than wait, it
// takes none and returns false. interval is the time between two turns; at zero, every
// request has a turn.
func (bucket *Bucket) Reserve(now, interval, wait time.Duration) (time.Duration, bool) {
	if interval <= 0 {
		return 0, true
	}
	left := max(0, bucket.next-now)
	if left > wait {
		return left, false
	}
	bucket.next = now + left + interval
	return left, true
}

// Interval returns the time between two turns of all VMs together at a rate: zero if the rate
// is beyond every load. A rate that is not a number counts as the lowest one.
func Interval(rate core.RequestsPerSecond) time.Duration {
	switch {
	case rate >= unlimitedRate:
		return 0
	case rate > minRate:
		return time.Duration(float64(time.Second) / float64(rate))
	default:
		return time.Duration(float64(time.Second) / float64(minRate))
	}
}
