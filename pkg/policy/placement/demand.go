package placement

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Demand describes the calls that wait for a load of one adapter.
type Demand struct {
	// Priority is the highest priority of the waiting calls.
	Priority core.Priority
	// Waiting is the number of waiting calls.
	Waiting int
	// Arrivals is the number of further calls expected during the load.
	Arrivals float64
	// Copies is the number of existing copies of the adapter.
	Copies int
	// Since is the arrival time of the call at the head of the queue.
	Since time.Time
}

// extraCopyDivisor divides the work of a demand whose adapter has a copy already.
// Its calls are served, but more slowly.
const extraCopyDivisor = 4

// Work returns the number of calls whose wait the load shortens, waiting and
// expected, divided by extraCopyDivisor if the adapter has a copy already.
func (demand Demand) Work() float64 {
	work := float64(demand.Waiting) + demand.Arrivals
	if demand.Copies > 0 {
		work /= extraCopyDivisor
	}
	return work
}

// Before reports whether demand is loaded before other: the higher priority first,
// then the larger Work, then the earlier Since.
func (demand Demand) Before(other Demand) bool {
	if demand.Priority != other.Priority {
		return demand.Priority > other.Priority
	}
	if left, right := demand.Work(), other.Work(); left != right {
		return left > right
	}
	return demand.Since.Before(other.Since)
}

// extraCopyDrainFactor is the multiple of the load time that the queue of a
// resident adapter must take to drain before the adapter gets one more copy.
const extraCopyDrainFactor = 2

// NeedsExtraCopy reports whether a resident adapter should get one more copy, given the
// time that its queue takes to drain and the time of one load.
func NeedsExtraCopy(drain, load time.Duration) bool { return drain > extraCopyDrainFactor*load }

// Backoff returns the delay before the next load of an adapter after a number of
// consecutive failed loads. The first retry has no delay and prefers another engine.
func Backoff(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	return min(initialBackoff<<min(failures-2, 16), maxBackoff)
}

const (
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// RetriesExhausted reports whether the calls that wait for an adapter are refused after a
// number of consecutive failed loads.
func RetriesExhausted(failures int) bool { return failures >= maxLoadFailures }

// maxLoadFailures bounds the loads that one call to a broken adapter can cause. If
// 5% of loads fail at random, five consecutive failures happen once in three
// million loads.
const maxLoadFailures = 5
