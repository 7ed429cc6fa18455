package budget

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Share is the part of the store's limit that one zone may use.
type Share struct {
	// PerSecond is the rate of load starts. Zero allows no load.
	PerSecond core.LoadsPerSecond
	// Concurrent is the maximum number of loads in transit: those that the store
	// serves at full speed at once. Zero counts as 1 while PerSecond is positive.
	Concurrent int
	// Transits is the number of loads in transit above which each of them takes
	// proportionally longer. Zero means that loads always run at full speed.
	Transits int
	// LoadTime is the time of one load at full speed.
	LoadTime time.Duration
}

// Burst returns the capacity of the token bucket, which is the number of loads that
// may start at the same time.
func (share Share) Burst() float64 { return math.Max(1, float64(share.Concurrent)) }

// Budget is a token bucket for load starts and a counter of the loads in transit.
// Create it with New.
type Budget struct {
	share      Share
	tokens     float64
	lastRefill time.Time
	inTransit  int
	// reserved is the number of loads that wait for an eviction before they start.
	reserved int
}

// New returns a budget with a full token bucket.
func New(share Share, now time.Time) *Budget {
	return &Budget{share: share, tokens: share.Burst(), lastRefill: now}
}

// SetShare changes the share. Tokens beyond the new burst are discarded, and loads
// in transit remain counted.
func (budget *Budget) SetShare(share Share, now time.Time) {
	budget.refill(now)
	budget.share = share
	budget.tokens = math.Min(budget.tokens, share.Burst())
}

// Share returns the current share.
func (budget *Budget) Share() Share { return budget.share }

// Take counts the start of a load and returns true if the budget allows a load now.
func (budget *Budget) Take(now time.Time) bool {
	if !budget.Allows(now, 0) {
		return false
	}
	budget.tokens--
	budget.inTransit++
	return true
}

// Allows reports whether a load may start now and leave reserve further tokens in
// the bucket. reserve is limited to one less than the burst.
func (budget *Budget) Allows(now time.Time, reserve float64) bool {
	budget.refill(now)
	neededTokens := 1 + math.Min(reserve, budget.share.Burst()-1) + float64(budget.reserved)
	return budget.inTransit+budget.reserved < budget.maxInTransit() && budget.tokens >= neededTokens-tokenSlack
}

// tokenSlack absorbs rounding errors of the refill, so that Take succeeds at the time
// that NextStart returns.
const tokenSlack = 1e-6

// EndLoad counts the end of one load: it succeeded, failed, or reached its time limit.
func (budget *Budget) EndLoad() { budget.inTransit-- }

// Reserve reserves a start that Allows has permitted for a load that waits for an
// eviction. Its token is taken only when the load starts, so that evictions that end
// at the same time do not cause more simultaneous starts than the burst.
func (budget *Budget) Reserve() { budget.reserved++ }

// Unreserve releases a reserved start, either because the load is cancelled or so
// that the next Take can use it.
func (budget *Budget) Unreserve() { budget.reserved-- }

// InTransit returns the number of loads in transit.
func (budget *Budget) InTransit() int { return budget.inTransit }

// NextStart returns the earliest time at which the bucket holds a token that is not
// reserved. It returns false if a load in transit or a reservation must end first, or
// if the share allows no loads.
func (budget *Budget) NextStart(now time.Time) (time.Time, bool) {
	budget.refill(now)
	if budget.inTransit+budget.reserved >= budget.maxInTransit() || budget.share.PerSecond <= 0 {
		return time.Time{}, false
	}
	missingTokens := math.Max(0, 1+float64(budget.reserved)-budget.tokens)
	return now.Add(time.Duration(math.Ceil(missingTokens / float64(budget.share.PerSecond) * float64(time.Second)))), true
}

// ExpectedLoadTime returns the expected duration of a load that starts now: LoadTime,
// extended in proportion to the loads in transit if, with the new one, they exceed a
// positive Transits.
func (budget *Budget) ExpectedLoadTime() time.Duration {
	load := float64(budget.share.LoadTime)
	if transits := budget.share.Transits; transits > 0 && budget.inTransit >= transits {
		load *= float64(budget.inTransit+1) / float64(transits)
	}
	return time.Duration(load)
}

// maxInTransit returns the maximum number of loads in transit and reserved.
func (budget *Budget) maxInTransit() int {
	if budget.share.PerSecond <= 0 {
		return 0
	}
	return max(1, budget.share.Concurrent)
}

// refill adds the tokens accrued since lastRefill, up to the burst.
func (budget *Budget) refill(now time.Time) {
	elapsed := now.Sub(budget.lastRefill).Seconds()
	if elapsed <= 0 {
		return
	}
	budget.lastRefill = now
	budget.tokens = math.Min(budget.tokens+elapsed*float64(budget.share.PerSecond), budget.share.Burst())
}
