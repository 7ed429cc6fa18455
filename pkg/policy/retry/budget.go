package retry

import "time"

const (
	// bucketsPerWindow is the number of buckets into which the window of a budget is divided.
	bucketsPerWindow = 20
	// marginBuckets is the number of buckets by which the credit of a request ends before its
	// window has passed: callers have sent a request some time before it is counted, and a
	// retry arrives some time after it was allowed, together at most 1 s of a window of 10 s.
	marginBuckets = 2
	// bucketCount is the number of buckets whose requests allow retries.
	bucketCount = bucketsPerWindow - marginBuckets
	// creditShare is the part of the ratio that each request allows in retries. The retries in
	// a window are allowed by requests of that window and of the one before, on whichever VMs
	// these were. The operators count the requests of one of the two.
	creditShare = 0.5
	// roundingMargin makes ten tenths of a retry one.
	roundingMargin = 1e-6
)

// Limits limit the retries to one service within a sliding window. The retries that the
// operators allow beside the ratio are not used: a VM cannot know its share of them.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget allows retries of one service on this VM. Each request is a credit for half of the
// ratio, which can be used once and within one window. So the retries of all VMs in any window
// are at most the ratio of the requests in it or in the one before, whatever VMs there are,
// and whenever they start and stop. The zero value has zero Limits and allows no retries.
// Times are readings of a monotonic clock that continues while the machine is suspended. A
// Budget is not safe for concurrent use.
type Budget struct {
	limits Limits
	// current is the number of the newest bucket, counted from time 0.
	current int64
	// credits holds the retries that the requests of each bucket still allow.
	credits [bucketCount]float64
}

// SetLimits replaces the limits. The credits of earlier requests end, since their times within
// another window are not known.
func (budget *Budget) SetLimits(limits Limits) { *budget = Budget{limits: limits} }

// AddRequest counts one request of a caller.
func (budget *Budget) AddRequest(now time.Duration) {
	budget.advance(now)
	budget.credits[budget.current%bucketCount] += creditShare * budget.limits.Ratio
}

// Allow takes the credit for one retry, from the oldest requests, and returns true. It returns
// false, and takes nothing, if the requests that this VM has counted do not allow it.
func (budget *Budget) Allow(now time.Duration) bool {
	budget.advance(now)
	credit := 0.0
	for _, left := range budget.credits {
		credit += left
	}
	if credit < 1-roundingMargin {
		return false
	}
	needed := 1.0
	for age := bucketCount - 1; age >= 0; age-- {
		bucket := &budget.credits[(budget.current+bucketCount-int64(age))%bucketCount]
		taken := min(*bucket, needed)
		*bucket -= taken
		needed -= taken
	}
	return true
}

// advance moves to the bucket of the given time and ends the credits that are too old.
func (budget *Budget) advance(now time.Duration) {
	if budget.limits.Window <= 0 {
		return
	}
	bucket := int64(now / (budget.limits.Window / bucketsPerWindow))
	if bucket-budget.current >= bucketCount {
		budget.credits, budget.current = [bucketCount]float64{}, bucket
	}
	for budget.current < bucket {
		budget.current++
		budget.credits[budget.current%bucketCount] = 0
	}
}
