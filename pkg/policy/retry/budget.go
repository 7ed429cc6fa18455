package retry

import "time"

// bucketCount is the number of buckets into which the window of a budget is divided.
const bucketCount = 10

// Limits limit the retries to one service within a sliding window. The retries that the
// operators allow beside the ratio are not used: a VM cannot know its share of them.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// safetyFactor keeps this VM below its share of the budget, because the limits are
// verified in windows that may not coincide with those of this VM.
const safetyFactor = 0.8

// Budget counts the requests and retries of one service on this VM. The zero value has
// zero Limits and allows no retries. Times are readings of a monotonic clock that
// continues while the machine is suspended. A Budget is not safe for concurrent use.
type Budget struct {
	limits Limits
	// current is the number of the newest bucket, counted from time 0.
	current  int64
	requests [bucketCount]int
	retries  [bucketCount]int
	// windowChanged is set until the counts have been moved to buckets of the new length.
	windowChanged bool
}

// SetLimits replaces the limits. After a change of the window the retries that were counted
// count for the whole new window, since their times within the old one are not known, and
// the requests for one bucket.
func (budget *Budget) SetLimits(limits Limits) {
	if budget.limits.Window > 0 && budget.limits.Window != limits.Window {
		budget.windowChanged = true
	}
	budget.limits = limits
}

// AddRequest counts one request of a caller.
func (budget *Budget) AddRequest(now time.Duration) {
	budget.advance(now)
	budget.requests[budget.current%bucketCount]++
}

// Allow counts one retry and returns true. It returns false, and counts nothing, if the
// requests that this VM has counted do not allow it.
func (budget *Budget) Allow(now time.Duration) bool {
	budget.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += budget.requests[i]
		retries += budget.retries[i]
	}
	if float64(retries+1) > safetyFactor*budget.limits.Ratio*float64(requests) {
		return false
	}
	budget.retries[budget.current%bucketCount]++
	return true
}

// moveCounts makes bucket the newest bucket. It moves the retries to it and the requests to
// the oldest bucket of the window.
func (budget *Budget) moveCounts(bucket int64) {
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += budget.requests[i]
		retries += budget.retries[i]
	}
	*budget = Budget{limits: budget.limits, current: bucket}
	budget.requests[(bucket+1)%bucketCount] = requests
	budget.retries[bucket%bucketCount] = retries
}

// advance moves the window to the given time and clears the buckets that enter it.
func (budget *Budget) advance(now time.Duration) {
	if budget.limits.Window <= 0 {
		return
	}
	bucket := int64(now / (budget.limits.Window / bucketCount))
	if budget.windowChanged {
		budget.moveCounts(bucket)
	}
	for ; budget.current < bucket && bucket-budget.current <= bucketCount; budget.current++ {
		budget.requests[(budget.current+1)%bucketCount] = 0
		budget.retries[(budget.current+1)%bucketCount] = 0
	}
	if budget.current < bucket {
		budget.requests, budget.retries = [bucketCount]int{}, [bucketCount]int{}
		budget.current = bucket
	}
}
