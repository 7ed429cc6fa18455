package policy

import (
	"slices"
	"time"

	"github.com/dandelionring/dandelionring/pkg/policy/scheduler"
)

// firstTokenTarget is the design's target for the time to the first token.
const firstTokenTarget = 370 * time.Millisecond

// Result holds the figures of one run.
type Result struct {
	Answered, Refused int
	Loads, Wasted     int
	// Violations counts evictions under a call and sends to an engine without the
	// adapter.
	Violations int
	// TotalWait sums the waits of all calls before they were sent or refused.
	TotalWait time.Duration
	WaitP95   time.Duration
	// Fill is the mean filled part of the batch over the time in which an engine
	// runs at least one call.
	Fill         float64
	FirstP95     time.Duration
	FirstInTime  float64
	Unaccounted  int
	PerCallWait  time.Duration
	BusySeconds  float64
	PrefetchPart float64
}

func (world *world) summary() Result {
	result := *world.result
	for _, wait := range world.waits {
		result.TotalWait += wait
	}
	filled := 0.0
	for _, engine := range world.engines {
		filled += engine.filled
		result.BusySeconds += engine.busy
	}
	if result.BusySeconds > 0 {
		result.Fill = filled / result.BusySeconds
	}
	result.WaitP95 = percentile(world.waits, 0.95)
	result.FirstP95 = percentile(world.firsts, 0.95)
	inTime := 0
	for _, first := range world.firsts {
		if first <= firstTokenTarget {
			inTime++
		}
	}
	result.FirstInTime = float64(inTime) / float64(max(1, len(world.firsts)))
	result.PerCallWait = result.TotalWait / time.Duration(max(1, len(world.waits)))
	result.Unaccounted = len(world.calls)
	world.addStats(&result)
	return result
}

// addStats takes over the counts that only the policy knows.
func (world *world) addStats(result *Result) {
	counted, ok := world.policy.(interface{ Stats() scheduler.Stats })
	if !ok {
		return
	}
	stats := counted.Stats()
	result.Wasted = int(stats.WastedLoads)
	result.PrefetchPart = float64(stats.Prefetches) / float64(max(1, stats.Loads))
}

// percentile returns the value below which the given part of the list lies.
func percentile(list []time.Duration, part float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}
