package residency

import (
	"math"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// decayingCount is a count with exponential decay.
type decayingCount struct {
	value float64
	at    time.Duration
}

// valueAt returns the decayed count at the time now.
func (count *decayingCount) valueAt(now, halfLife time.Duration) float64 {
	return count.value * math.Exp2(-float64(now-count.at)/float64(halfLife))
}

// demand holds a decaying count of the requests for each set of weights. Counts below
// minDemand are removed once per half-life.
type demand struct {
	halfLife  time.Duration
	counts    map[core.WeightKey]*decayingCount
	lastSweep time.Duration
}

// minDemand is the decayed number of requests below which an entry is removed.
const minDemand = 0.02

// add increases the decayed count of the weights by increment.
func (demand *demand) add(now time.Duration, key core.WeightKey, increment float64) {
	entry := demand.counts[key]
	if entry == nil {
		entry = &decayingCount{at: now}
		demand.counts[key] = entry
	}
	entry.value = entry.valueAt(now, demand.halfLife) + increment
	entry.at = now
	demand.sweep(now)
}

// count returns the decayed number of requests for the weights.
func (demand *demand) count(now time.Duration, key core.WeightKey) float64 {
	entry := demand.counts[key]
	if entry == nil {
		return 0
	}
	return entry.valueAt(now, demand.halfLife)
}

// sweep removes the counts below minDemand, at most once per half-life.
func (demand *demand) sweep(now time.Duration) {
	if now-demand.lastSweep < demand.halfLife {
		return
	}
	demand.lastSweep = now
	for key, entry := range demand.counts {
		if entry.valueAt(now, demand.halfLife) < minDemand {
			delete(demand.counts, key)
		}
	}
}
