package placement

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Demand describes the calls that wait for a load.
type Demand struct {
	// Priority is the highest of the waiting calls.
	Priority core.Priority
	Waiting  int
	// Arrivals is the number of further calls expected while the load runs.
	Arrivals float64
	// Copies counts the copies that exist already.
	Copies int
	// Since is the arrival of the call at the head.
	Since time.Time
}

// copyWork divides the work of a demand that has a copy already: its calls are
// being served, only more slowly.
const copyWork = 4

// Work returns the number of calls whose wait the load shortens.
func (demand Demand) Work() float64 {
	work := float64(demand.Waiting) + demand.Arrivals
	if demand.Copies > 0 {
		work /= copyWork
	}
	return work
}

// Before reports whether demand is loaded before other: by priority, then by
// waiting work, then by age.
func (demand Demand) Before(other Demand) bool {
	if demand.Priority != other.Priority {
		return demand.Priority > other.Priority
	}
	if left, right := demand.Work(), other.Work(); left != right {
		return left > right
	}
	return demand.Since.Before(other.Since)
}

// extraCopyWait is the multiple of the load time that waiting calls must save
// before an adapter that is resident gets one more copy.
const extraCopyWait = 2

// WantsCopy reports whether calls that would drain in the given time should get
// one more copy of their adapter.
func WantsCopy(drain, load time.Duration) bool { return drain > extraCopyWait*load }

// Backoff returns how long an adapter is not loaded after a number of failed
// loads in a row. The first retry follows at once on another engine.
func Backoff(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	return min(backoffStart<<min(failures-2, 16), backoffLimit)
}

const (
	backoffStart = 250 * time.Millisecond
	backoffLimit = 10 * time.Second
)

// GivesUp reports whether the calls that wait for an adapter are refused after a
// number of failed loads in a row.
func GivesUp(failures int) bool { return failures >= maxFailures }

// maxFailures bounds the loads that one call can cost a broken adapter. With 5%
// random failures, five in a row happen once in three million loads.
const maxFailures = 5
