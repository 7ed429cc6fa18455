package routing

import "time"

const (
	// historyInterval is the time that one bucket of a History covers, and
	// historyBuckets their number. Older times are treated as the oldest bucket.
	historyInterval = 50 * time.Millisecond
	historyBuckets  = 64
)

// History records the number of calls in flight at an upstream over time, so that a
// delayed load report can be compared with the number at the time of its measurement.
// The zero value is empty.
type History struct {
	buckets [historyBuckets]int32
	newest  int64
}

// Set records the number of calls in flight from the given time on.
func (history *History) Set(now time.Time, inFlight int) {
	history.advance(now)
	history.buckets[history.newest%historyBuckets] = int32(inFlight)
}

// At returns the number of calls in flight at the given time. For a time before the
// oldest bucket it returns the value of that bucket, and for a time after the last Set
// the last value.
func (history *History) At(when time.Time) int {
	bucket := when.UnixNano() / int64(historyInterval)
	bucket = min(history.newest, max(bucket, history.newest-historyBuckets+1, 0))
	return int(history.buckets[bucket%historyBuckets])
}

// advance fills the buckets up to the given time with the last value.
func (history *History) advance(now time.Time) {
	bucket := now.UnixNano() / int64(historyInterval)
	if bucket <= history.newest {
		return
	}
	last := history.buckets[history.newest%historyBuckets]
	for index := max(history.newest+1, bucket-historyBuckets+1); index <= bucket; index++ {
		history.buckets[index%historyBuckets] = last
	}
	history.newest = bucket
}
