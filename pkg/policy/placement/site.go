package placement

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
)

// Site is a slot that could take an adapter.
type Site struct {
	// Keep is the expected arrival rate of the adapter that would be evicted; zero
	// for a free slot.
	Keep core.RequestsPerSecond
	// Others is the number of further copies of that adapter.
	Others int
	// FirstToken is the expected time to the first token on the engine.
	FirstToken time.Duration
	// Fill is the filled part of the engine's batch.
	Fill float64
	// Avoid is set for an engine on which the last load failed.
	Avoid bool
}

const (
	// horizon is the time over which a copy's saved waits are counted.
	horizon = 60 * time.Second
	// copyValue is the value of one of several copies in parts of the only one.
	copyValue = 0.1
	// avoidCost keeps a load off the engine that failed it while others can take it.
	avoidCost = 1e3
)

// Cost returns the cost, in seconds, of loading an adapter with the given work
// into a site: the waits that the evicted copy would have saved within the
// horizon, and the wait on the engine.
func Cost(site Site, work float64, load time.Duration, setting batching.Setting) float64 {
	keep := float64(site.Keep)
	if site.Others > 0 {
		keep *= copyValue
	}
	cost := keep*horizon.Seconds()*load.Seconds() + work*setting.Cost(site.FirstToken, site.Fill)
	if site.Avoid {
		cost += avoidCost
	}
	return cost
}

const (
	// hysteresis is the factor by which an adapter's rate must exceed that of the
	// copy it replaces without waiting calls.
	hysteresis = 1.5
	// prefetchHorizon is the time within which a prefetch must save one stall more
	// than the copy that it replaces.
	prefetchHorizon = 120 * time.Second
)

// Worth reports whether a load without waiting calls pays: the adapter is
// expected to be asked for clearly more often than the one that it replaces.
func Worth(gain, keep core.RequestsPerSecond) bool {
	return float64(gain) > hysteresis*float64(keep) && float64(gain-keep)*prefetchHorizon.Seconds() >= 1
}
