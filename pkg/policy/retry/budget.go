package retry

import (
	"slices"
	"time"
)

const (
	// bucketsPerWindow is the number of buckets into which the window of a budget is divided.
	bucketsPerWindow = 20
	// marginBuckets is the number of buckets by which the credit of a request ends before its
	// window has passed: callers have sent a request some time before its head is read, and a
	// retry arrives some time after it was allowed, as a connection may take 0.7 s to open.
	// Together these are at most 1.5 s of a window of 10 s.
	marginBuckets = 3
	// bucketCount is the number of buckets whose requests allow retries.
	bucketCount = bucketsPerWindow - marginBuckets
	// creditShare is the part of the ratio that each request allows in retries. The retries in
	// a window are allowed by requests of that window and of the one before, on whichever VMs
	// these were. The operators count the requests of one of the two.
	creditShare = 0.5
	// roundingMargin makes ten tenths of a retry one.
	roundingMargin = 1e-6
)

// Limits limit the retries to one service within a sliding window.
type Limits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed per window in addition to those allowed by
	// Ratio, for all entry VMs together.
	Extra float64
	// Zones is the number of availability zones. VMs of zones that were cut off from each
	// other may not know each other, but those of one zone do.
	Zones int
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget allows retries of one service on this VM. Each request is a credit for half of the
// ratio, which can be used once and within one window. So the retries of all VMs in any window
// are at most the ratio of the requests in it or in the one before, whatever VMs there are,
// and whenever they start and stop. Without credit, a VM has its share of Extra, so that one
// with few requests can retry too. The zero value has zero Limits and allows no retries.
// Times are readings of a monotonic clock that continues while the machine is suspended. A
// Budget is not safe for concurrent use.
type Budget struct {
	// Started is the time at which the process started.
	Started time.Duration

	limits Limits
	// current is the number of the newest bucket, counted from time 0.
	current int64
	// credits holds the retries that the requests of each bucket still allow.
	credits [bucketCount]float64
	// extras holds the times of the retries within the last window that used the share of Extra.
	extras []time.Duration
}

// SetLimits replaces the limits. The credits of earlier requests end, since their times within
// another window are not known.
func (budget *Budget) SetLimits(limits Limits) {
	*budget = Budget{Started: budget.Started, limits: limits, extras: budget.extras}
}

// AddRequest counts one request of a caller, whose head was read at the given time. The time may
// be before that of other calls; a request whose credit would have ended gives none.
func (budget *Budget) AddRequest(at time.Duration) {
	budget.advance(at)
	if bucket := budget.bucket(at); budget.current-bucket < bucketCount {
		budget.credits[bucket%bucketCount] += creditShare * budget.limits.Ratio
	}
}

// Allow takes the credit for one retry, from the oldest requests, and returns true. Without
// credit, it takes the retry from the share of Extra. It returns false, and takes nothing, if
// neither the requests that this VM has counted nor the share allow it. vms is the number of
// entry VMs that this VM knows, itself included.
func (budget *Budget) Allow(now time.Duration, vms int) bool {
	budget.advance(now)
	credit := 0.0
	for _, left := range budget.credits {
		credit += left
	}
	if credit < 1-roundingMargin {
		return budget.allowExtra(now, vms)
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

// allowExtra takes one retry from the share of Extra, if it is not used up. The VMs that know
// each other have the part of one zone together, so that the sum holds even if no zone knows of
// another one. The share is not rounded up: with many VMs nobody has one.
func (budget *Budget) allowExtra(now time.Duration, vms int) bool {
	// A retry that was allowed before may arrive up to the margin later.
	window := budget.limits.Window * (bucketsPerWindow + marginBuckets) / bucketsPerWindow
	// The process that ran here before may have used the share of the same window.
	if budget.limits.Window <= 0 || now < budget.Started+window {
		return false
	}
	budget.extras = slices.DeleteFunc(budget.extras, func(at time.Duration) bool { return at <= now-window })
	share := budget.limits.Extra / float64(max(1, budget.limits.Zones)*max(1, vms))
	if float64(len(budget.extras)+1) > share {
		return false
	}
	budget.extras = append(budget.extras, now)
	return true
}

// bucket returns the number of the bucket of a time.
func (budget *Budget) bucket(at time.Duration) int64 {
	return int64(at / max(1, budget.limits.Window/bucketsPerWindow))
}

// advance moves to the bucket of the given time and ends the credits that are too old.
func (budget *Budget) advance(now time.Duration) {
	bucket := budget.bucket(now)
	if bucket-budget.current >= bucketCount {
		budget.credits, budget.current = [bucketCount]float64{}, bucket
	}
	for budget.current < bucket {
		budget.current++
		budget.credits[budget.current%bucketCount] = 0
	}
}
