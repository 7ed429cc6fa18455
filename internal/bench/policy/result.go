package policy

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// firstTokenTarget is the design's target for the time to the first token.
const firstTokenTarget = 370 * time.Millisecond

// Result holds the measurements of one simulation.
type Result struct {
	Answered, Refused int
	Loads, Wasted     int
	// Violations counts evictions of an adapter with unfinished calls and calls sent to
	// an engine that does not hold the adapter.
	Violations int
	// TotalWait is the sum over all calls of the time from arrival to being sent or
	// refused.
	TotalWait time.Duration
	WaitP95   time.Duration
	// Fill is the mean fraction of the batch in use, over the time in which an engine
	// runs at least one call.
	Fill         float64
	FirstP95     time.Duration // 95th percentile of the time to the first token
	FirstInTime  float64       // fraction of calls within firstTokenTarget
	Unaccounted  int           // calls neither answered nor refused
	PerCallWait  time.Duration
	BusySeconds  float64
	PrefetchPart float64
}

// summary computes the result at the end of a simulation.
func (sim *simulation) summary() Result {
	result := *sim.result
	for _, wait := range sim.waits {
		result.TotalWait += wait
	}
	filled := 0.0
	for _, engine := range sim.engines {
		filled += engine.fillSeconds
		result.BusySeconds += engine.busySeconds
	}
	if result.BusySeconds > 0 {
		result.Fill = filled / result.BusySeconds
	}
	result.WaitP95 = percentile(sim.waits, 0.95)
	result.FirstP95 = percentile(sim.firstTokenTimes, 0.95)
	inTime := 0
	for _, first := range sim.firstTokenTimes {
		if first <= firstTokenTarget {
			inTime++
		}
	}
	result.FirstInTime = float64(inTime) / float64(max(1, len(sim.firstTokenTimes)))
	result.PerCallWait = result.TotalWait / time.Duration(max(1, len(sim.waits)))
	result.Unaccounted = len(sim.calls)
	sim.addStats(&result)
	return result
}

// addStats copies the counts that only the policy has.
func (sim *simulation) addStats(result *Result) {
	counted, ok := sim.policy.(interface{ Stats() scheduler.Stats })
	if !ok {
		return
	}
	stats := counted.Stats()
	result.Wasted = int(stats.WastedLoads)
	result.PrefetchPart = float64(stats.Prefetches) / float64(max(1, stats.Loads))
}

// percentile returns the value at a quantile from 0 to 1, or 0 if the list is empty.
func percentile(list []time.Duration, quantile float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(quantile*float64(len(sorted))))]
}
