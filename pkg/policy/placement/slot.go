package placement

import (
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/batching"
)

// CandidateSlot is an adapter slot of an engine into which an adapter could be loaded.
type CandidateSlot struct {
	// Keep is the expected arrival rate of the adapter that would be evicted; zero
	// for a free slot.
	Keep core.RequestsPerSecond
	// Others is the number of further copies of the adapter that would be evicted.
	Others int
	// FirstToken is the expected time to the first token on the engine.
	FirstToken time.Duration
	// Fill is the occupied fraction of the engine's batch, from 0 to 1.
	Fill float64
	// Avoid is set for an engine on which the last load failed.
	Avoid bool
}

const (
	// savingsHorizon is the period over which the waits that a copy saves are summed.
	savingsHorizon = 60 * time.Second
	// extraCopyFactor is the value of one of several copies of an adapter, relative to
	// the value of an only copy.
	extraCopyFactor = 0.1
	// failedEngineCost, in seconds, prevents a retry on the engine where the last load
	// failed while another engine can load the adapter.
	failedEngineCost = 1e3
)

// LoadCost returns the cost, in seconds, of loading an adapter into a slot: the waits
// that the evicted copy would save within savingsHorizon, plus the cost of the wait
// and the batch fill on the engine for each of the calls given by work. load is the
// time of one load.
func LoadCost(slot CandidateSlot, work float64, load time.Duration, setting batching.Setting) float64 {
	keep := float64(slot.Keep)
	if slot.Others > 0 {
		keep *= extraCopyFactor
	}
	cost := keep*savingsHorizon.Seconds()*load.Seconds() + work*setting.Cost(slot.FirstToken, slot.Fill)
	if slot.Avoid {
		cost += failedEngineCost
	}
	return cost
}

const (
	// minRateRatio is the factor by which the arrival rate of a prefetched adapter must
	// exceed that of the adapter it replaces. It keeps two adapters with similar rates
	// from replacing each other repeatedly.
	minRateRatio = 1.5
	// prefetchHorizon is the period within which a prefetch must save at least one
	// load stall more than the copy that it replaces.
	prefetchHorizon = 120 * time.Second
)

// ShouldPrefetch reports whether an adapter without waiting calls should be prefetched. gain
// is its expected arrival rate, and keep that of the adapter that it replaces, zero
// for a free slot.
func ShouldPrefetch(gain, keep core.RequestsPerSecond) bool {
	return float64(gain) > minRateRatio*float64(keep) && float64(gain-keep)*prefetchHorizon.Seconds() >= 1
}
