package retry

import "time"

// buckets is the number of parts of the window of a budget.
const buckets = 10

// Limits bound the repeated sends to one service in any window.
type Limits struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Extra is the number of repeats beyond Ratio, for all entry VMs together.
	Extra  float64
	Window time.Duration
}

// margin keeps this VM below its share: requests that it counts may be counted in
// another window by those who judge.
const margin = 0.8

// Budget counts the requests and repeats of one service on this VM. Its zero value has
// no limits and allows nothing. Times are readings of a clock that does not stop.
type Budget struct {
	limits   Limits
	slot     int64
	requests [buckets]int
	repeats  [buckets]int
}

// SetLimits changes the limits.
func (budget *Budget) SetLimits(limits Limits) { budget.limits = limits }

// Request counts a request of a caller.
func (budget *Budget) Request(now time.Duration) {
	budget.advance(now)
	budget.requests[budget.slot%buckets]++
}

// Allow counts one more send and returns true, or returns false if it would exceed the
// share of this VM, one of vms.
func (budget *Budget) Allow(now time.Duration, vms int) bool {
	budget.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += budget.requests[i]
		repeats += budget.repeats[i]
	}
	allowed := margin * (budget.limits.Ratio*float64(requests) + budget.limits.Extra/float64(max(1, vms)))
	if float64(repeats+1) > allowed {
		return false
	}
	budget.repeats[budget.slot%buckets]++
	return true
}

func (budget *Budget) advance(now time.Duration) {
	if budget.limits.Window <= 0 {
		return
	}
	slot := int64(now / (budget.limits.Window / buckets))
	for ; budget.slot < slot && slot-budget.slot <= buckets; budget.slot++ {
		budget.requests[(budget.slot+1)%buckets] = 0
		budget.repeats[(budget.slot+1)%buckets] = 0
	}
	if budget.slot < slot {
		budget.requests, budget.repeats = [buckets]int{}, [buckets]int{}
		budget.slot = slot
	}
}
