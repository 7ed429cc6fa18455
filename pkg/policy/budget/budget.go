package budget

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Share is the part of the store's limit that one zone may use.
type Share struct {
	PerSecond core.LoadsPerSecond
	// Concurrent is the number of loads that the store serves at full speed at
	// once. At least one load is always allowed while PerSecond is positive.
	Concurrent int
	// Transits is the number of loads in transit above which each of them takes
	// proportionally longer. Zero means that Concurrent is the only bound.
	Transits int
	// LoadTime is the time of one load at full speed.
	LoadTime time.Duration
}

// Burst returns the number of loads that may start at the same moment.
func (share Share) Burst() float64 { return math.Max(1, float64(share.Concurrent)) }

// Budget is a token bucket of load starts and a count of the loads in transit.
// Create it with New.
type Budget struct {
	share   Share
	tokens  float64
	at      time.Time
	transit int
	// reserved counts loads that are decided but wait for an eviction.
	reserved int
}

// New returns a budget with a full bucket.
func New(share Share, now time.Time) *Budget {
	return &Budget{share: share, tokens: share.Burst(), at: now}
}

// SetShare changes the share. Tokens beyond the new burst are lost, and loads in
// transit stay counted.
func (budget *Budget) SetShare(share Share, now time.Time) {
	budget.refill(now)
	budget.share = share
	budget.tokens = math.Min(budget.tokens, share.Burst())
}

// Share returns the share in force.
func (budget *Budget) Share() Share { return budget.share }

// Take starts a load if the budget allows one now.
func (budget *Budget) Take(now time.Time) bool {
	if !budget.Allows(now, 0) {
		return false
	}
	budget.tokens--
	budget.transit++
	return true
}

// Allows reports whether a load may start now and leave reserve further starts
// in the bucket.
func (budget *Budget) Allows(now time.Time, reserve float64) bool {
	budget.refill(now)
	needed := 1 + math.Min(reserve, budget.share.Burst()-1) + float64(budget.reserved)
	return budget.transit+budget.reserved < budget.places() && budget.tokens >= needed-tokenSlack
}

// tokenSlack absorbs rounding of the refill, so that Take succeeds at the time
// that Next names.
const tokenSlack = 1e-6

// Done ends one load: answered, failed, or past its time limit.
func (budget *Budget) Done() { budget.transit-- }

// Reserve keeps a start that Allows granted for a load that waits for an
// eviction. The start is taken when the load begins, so that evictions which end
// together do not bunch more starts than the burst.
func (budget *Budget) Reserve() { budget.reserved++ }

// Unreserve gives up a reserved start, or allows Take to use it.
func (budget *Budget) Unreserve() { budget.reserved-- }

// Transit returns the number of loads in transit.
func (budget *Budget) Transit() int { return budget.transit }

// Next returns the time at which the bucket holds one start that is not reserved. It returns false if
// a load in transit must end first or the share allows no loads at all.
func (budget *Budget) Next(now time.Time) (time.Time, bool) {
	budget.refill(now)
	if budget.transit+budget.reserved >= budget.places() || budget.share.PerSecond <= 0 {
		return time.Time{}, false
	}
	missing := math.Max(0, 1+float64(budget.reserved)-budget.tokens)
	return now.Add(time.Duration(math.Ceil(missing / float64(budget.share.PerSecond) * float64(time.Second)))), true
}

// Expected returns the time that a load takes if it starts now.
func (budget *Budget) Expected() time.Duration {
	load := float64(budget.share.LoadTime)
	if transits := budget.share.Transits; transits > 0 && budget.transit >= transits {
		load *= float64(budget.transit+1) / float64(transits)
	}
	return time.Duration(load)
}

func (budget *Budget) places() int {
	if budget.share.PerSecond <= 0 {
		return 0
	}
	return max(1, budget.share.Concurrent)
}

func (budget *Budget) refill(now time.Time) {
	passed := now.Sub(budget.at).Seconds()
	if passed <= 0 {
		return
	}
	budget.at = now
	budget.tokens = math.Min(budget.tokens+passed*float64(budget.share.PerSecond), budget.share.Burst())
}
